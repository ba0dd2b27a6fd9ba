// Finds the tenant that a request's credential belongs to.
//
// Credentials are secrets: they are looked up by a salted digest, so that the time of a look-up tells nothing
// about them, and they are never logged.
#pragma once
#include <random>
#include <unordered_map>

#include "routing/table.h"

namespace herontally::router {

class tenant_directory {
 public:
  // Takes the place of what was known. `random` draws the salt.
  void set_tenants(const std::vector<routing::tenant>& tenants, std::mt19937_64& random);
  // Without tenants requests need no credential.
  bool empty() const { return tenants_.empty(); }
  // nullptr: the credential is nobody's.
  const routing::tenant* find(const std::string& credential) const;

 private:
  std::string salt_;
  std::vector<routing::tenant> tenants_;
  std::unordered_map<std::string, std::size_t> by_digest_;  // positions in `tenants_`
};

}  // namespace herontally::router
