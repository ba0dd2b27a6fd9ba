#include "control_node/operator_rules.h"

#include <algorithm>

namespace herontally::control_node {

using configuration::shared_list;
using configuration::violation;

namespace {

using name_set = std::set<std::string>;

const std::string zones_pointer = "/shared/evacuated_zones";
const std::string storage_pointer = "/shared/retiring_storage";

// Zones that have a running engine; empty if the list can't be read.
name_set engine_zones_of(const std::string& engine_list) {
  name_set zones;
  auto engines = json::parse(engine_list, nullptr, false);
  if (!engines.is_array()) return zones;
  for (auto& engine : engines)
    if (engine.is_object() && engine.value("state", "running") == "running")
      zones.insert(engine.value("zone", ""));
  return zones;
}

void check_evacuations(const name_set& before, const name_set& after, const deployment_state& deployment,
                       std::vector<violation>& violations) {
  name_set engine_zones = engine_zones_of(deployment.engines), zones = engine_zones;
  for (auto& member : deployment.members) zones.insert(member.zone);
  for (auto& zone : after)
    if (!before.contains(zone) && !zones.contains(zone))
      violations.push_back({zones_pointer, "nothing stands in zone " + zone});
  // While no engine is known, every zone that has a member counts as in use.
  auto& in_use = engine_zones.empty() ? zones : engine_zones;
  bool none_left = std::includes(after.begin(), after.end(), in_use.begin(), in_use.end());
  if (after != before && none_left && !in_use.empty() && after.size() > before.size())
    violations.push_back({zones_pointer, "no zone in use would be left"});
}

void check_retirements(const name_set& before, const name_set& after, const deployment_state& deployment,
                       std::vector<violation>& violations) {
  std::map<std::string, bool> storage;  // whether it can keep copies now, by name
  for (auto& member : deployment.members)
    if (member.role == rpc::node_role::store) storage[member.name] = member.is_live();
  std::size_t remaining = 0;
  for (auto& [name, live] : storage) remaining += live && !after.contains(name) ? 1 : 0;
  for (auto& node : after) {
    if (before.contains(node)) continue;
    if (!storage.contains(node))
      violations.push_back({storage_pointer, "no storage machine is named " + node});
    else if (remaining < deployment.storage_voters)
      violations.push_back({storage_pointer, "too few storage machines would be left for " +
                                                 std::to_string(deployment.storage_voters) +
                                                 " copies; start a spare first"});
  }
}

// Why the operator may not make these changes; empty: they are permitted.
std::string forbidden_section(const configuration::section_changes& changes, const std::string& partner) {
  if (partner == all_partners) return "";
  if (changes.shared) return "the token may not change the shared section";
  std::string reason;
  for (auto& name : changes.partners)
    if (partner != name) reason = "the token may not change partner " + name;
  return reason;
}

}  // namespace

deployment_state deployment_state_of(const context& shared) {
  return {shared.members.all(), shared.configs.engines_text(), shared.stores.current_view().voters.size()};
}

std::vector<violation> operational_violations(const json& before, const json& after,
                                              const deployment_state& deployment) {
  std::vector<violation> violations;
  check_evacuations(shared_list(before, configuration::evacuated_zones),
                    shared_list(after, configuration::evacuated_zones), deployment, violations);
  check_retirements(shared_list(before, configuration::retiring_storage),
                    shared_list(after, configuration::retiring_storage), deployment, violations);
  return violations;
}

edit_result validate_change(const configuration::record& current, json document, const std::string& partner,
                            const std::string& change_id, const deployment_state& deployment) {
  edit_result result;
  result.reason = forbidden_section(configuration::changed_sections(current.document, document), partner);
  if (!result.reason.empty()) {
    result.refusal = change_outcome::forbidden;
    return result;
  }
  result.violations = configuration::validate(document);
  if (result.violations.empty())
    result.violations = operational_violations(current.document, document, deployment);
  if (!result.violations.empty()) {
    result.refusal = change_outcome::invalid;
    return result;
  }
  result.next = configuration::next_revision(current, std::move(document), change_id);
  return result;
}

}  // namespace herontally::control_node
