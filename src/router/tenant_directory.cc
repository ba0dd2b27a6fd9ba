#include "router/tenant_directory.h"

#include "hashing/digest.h"

namespace herontally::router {

void tenant_directory::set_tenants(const std::vector<routing::tenant>& tenants, std::mt19937_64& random) {
  tenants_ = tenants;
  by_digest_.clear();
  if (tenants_.empty()) return;
  if (salt_.empty()) salt_ = std::to_string(random());
  for (std::size_t position = 0; position < tenants_.size(); ++position)
    for (auto& credential : tenants_[position].credentials)
      by_digest_[hashing::sha256(salt_ + credential)] = position;
}

const routing::tenant* tenant_directory::find(const std::string& credential) const {
  if (credential.empty()) return nullptr;
  auto found = by_digest_.find(hashing::sha256(salt_ + credential));
  return found == by_digest_.end() ? nullptr : &tenants_[found->second];
}

}  // namespace herontally::router
