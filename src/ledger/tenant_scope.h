// Scopes stored ids by tenant. Clients choose the ids of programs, turns and operations; scoping keeps an id
// of one tenant from matching a record of another.
#pragma once
#include <optional>
#include <string>

namespace herontally::ledger {

// Returns the id under which a tenant's record is stored. `tenant` is empty for requests without a
// credential, and nullopt if the configuration defines no tenants; ids are then stored unscoped. An empty id
// stays empty.
inline std::string scoped_id(const std::optional<std::string>& tenant, const std::string& id) {
  if (!tenant || id.empty()) return id;
  // The length prefix distinguishes "a" + "b/c" from "a/b" + "c".
  return std::to_string(tenant->size()) + ":" + *tenant + "/" + id;
}

}  // namespace herontally::ledger
