// Internal to the control node: maintains the set of edges in the configuration. A change is acknowledged
// only when a majority of this set has it in force. An edge joins the set when it is first seen alive, and
// leaves it when it has left the membership or after a long absence.
//
// Invariant: each step also needs a majority of the set before it (a joint step), so that any two majorities
// overlap.
#pragma once
#include "control_node/config_changes.h"
#include "control_node/config_reader.h"

namespace herontally::control_node {

class edge_set_manager : public std::enable_shared_from_this<edge_set_manager> {
 public:
  edge_set_manager(std::shared_ptr<context> shared, std::shared_ptr<config_changes> changes,
                   std::shared_ptr<config_reader> reader)
      : context_(std::move(shared)), changes_(std::move(changes)), reader_(std::move(reader)) {}
  // Reviews the set while this node owns the voter groups role, until the process stops.
  task<> run();

 private:
  task<> review();
  std::vector<std::string> target_edges(const configuration::record& config);
  // Whether the agent has left the membership or wasn't live for longer than the maximum absence.
  bool has_departed(const rpc::member& agent);
  // Whether the joint step has been in force at both majorities for long enough to be ended.
  bool can_end_joint_step(const configuration::record& config);
  // `update` changes the edges of a record in place; false: nothing to change.
  task<> change_edges(std::function<bool(configuration::record&)> update);

  std::shared_ptr<context> context_;
  std::shared_ptr<config_changes> changes_;
  std::shared_ptr<config_reader> reader_;
  std::map<std::string, microseconds> absent_since_;  // by agent; 0: it is live
  // The revision of the joint step that both majorities have in force, and since when this node knows it.
  std::int64_t joint_revision_ = 0;
  microseconds joint_since_ = 0;
};

}  // namespace herontally::control_node
