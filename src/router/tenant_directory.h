// Finds the tenant that a request's credential belongs to.
//
// Credentials are secrets: they are looked up by a salted digest, so that the duration of a lookup reveals
// nothing about them, and they are never logged. Quotas are enforced elsewhere (src/quota).
#pragma once
#include <random>
#include <unordered_map>

#include "routing/table.h"

namespace herontally::router {

class tenant_directory {
 public:
  // Replaces all tenants. `random` supplies the salt, once.
  void set_tenants(const std::vector<routing::tenant>& tenants, std::mt19937_64& random);
  // Whether no tenants are configured; requests then need no credential.
  bool empty() const { return tenants_.empty(); }
  // nullptr: the credential is empty or belongs to no tenant. Valid until the next `set_tenants`.
  const routing::tenant* find(const std::string& credential) const;

 private:
  std::string salt_;
  std::vector<routing::tenant> tenants_;
  std::unordered_map<std::string, std::size_t> by_digest_;  // values are indexes into `tenants_`
};

}  // namespace herontally::router
