// Internal to the control node: what stands against an operator's change of the document besides its shape.
// Decisions only, without any I/O.
#pragma once
#include "control_node/config_changes.h"

namespace herontally::control_node {

// What a change is judged by: the nodes, the engines and the copies as this node knows them.
struct site_state {
  std::vector<rpc::member> members;
  std::string engines;             // the engine list as JSON
  std::size_t storage_voters = 0;  // of the storage group's view
};
site_state site_state_of(const context& shared);

// Stands for the operators who may change every section.
constexpr const char* all_partners = "*";

// Only what the change adds is looked at: a machine or zone that went away meanwhile blocks nothing else.
std::vector<configuration::violation> operational_violations(const json& before, const json& after,
                                                             const site_state& site);

// The rules that every change of the document has to keep: own sections only, right shape, nothing that can't
// be borne. The result carries the next record, or the refusal.
edit_result judge(const configuration::record& current, json document, const std::string& partner,
                  const std::string& change_id, const site_state& site);

}  // namespace herontally::control_node
