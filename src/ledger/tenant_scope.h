// Ids of programs, turns and operations are chosen by clients: stored under their tenant, one tenant's id
// never names another's record.
#pragma once
#include <optional>
#include <string>

namespace herontally::ledger {

// The id under which a tenant's record is stored. An empty tenant sends without a credential; nothing: the
// configuration has no tenants, and ids are stored as they are.
inline std::string scoped_id(const std::optional<std::string>& tenant, const std::string& id) {
  if (!tenant || id.empty()) return id;
  // The length in front keeps "a" + "b/c" apart from "a/b" + "c".
  return std::to_string(tenant->size()) + ":" + *tenant + "/" + id;
}

}  // namespace herontally::ledger
