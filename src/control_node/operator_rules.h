// Internal to the control node: the rules that an operator's change of the configuration document must keep:
// permission, schema, and what the deployment can bear now. Decisions only, without I/O: config_changes.h
// makes the change.
#pragma once
#include "control_node/config_changes.h"

namespace herontally::control_node {

// What a change is checked against: members, engines and storage voters as this node knows them.
struct deployment_state {
  std::vector<rpc::member> members;
  std::string engines;             // the engine list as JSON
  std::size_t storage_voters = 0;  // in the storage group's view: each one keeps a copy of every key
};
// The state as this node knows it now.
deployment_state deployment_state_of(const context& shared);

// In place of a partner's name: operators who may change every section.
constexpr const char* all_partners = "*";

// What the deployment can't bear now: evacuating an unknown zone or the last one in use, retiring an unknown
// storage machine or one without which too few would be left for the copies. Only names that the change adds
// are checked: a machine or zone that has gone since it was listed doesn't block other changes.
std::vector<configuration::violation> operational_violations(const json& before, const json& after,
                                                             const deployment_state& deployment);

// Checks a new document against all rules, in this order: the operator changes permitted sections only
// (`partner`: the one that the token belongs to, or `all_partners`), the document is valid, and the
// deployment can bear it. Returns the next record, or the refusal: `forbidden` with a reason, or `invalid`
// with the violations.
edit_result validate_change(const configuration::record& current, json document, const std::string& partner,
                            const std::string& change_id, const deployment_state& deployment);

}  // namespace herontally::control_node
