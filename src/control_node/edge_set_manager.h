// Internal to the control node: the set of edges whose majority must have a change in force before it is
// acknowledged. Edges join it when they are first seen alive, and leave it after a long absence.
//
// Invariant: each step needs a majority of the set before it as well (a joint step), so that no two
// majorities can miss each other.
#pragma once
#include "control_node/config_changes.h"
#include "control_node/config_reader.h"

namespace herontally::control_node {

class edge_set_manager : public std::enable_shared_from_this<edge_set_manager> {
 public:
  edge_set_manager(std::shared_ptr<context> shared, std::shared_ptr<config_changes> changes,
                   std::shared_ptr<config_reader> reader)
      : context_(std::move(shared)), changes_(std::move(changes)), reader_(std::move(reader)) {}
  // Runs until the process stops.
  task<> run();

 private:
  task<> review();
  std::vector<std::string> wanted_edges(const configuration::record& content);
  bool is_long_gone(const rpc::member& agent);
  // Whether the joint step has been in force at both majorities for long enough to be ended.
  bool may_end_joint(const configuration::record& content);
  task<> change_edges(std::function<bool(configuration::record&)> move);

  std::shared_ptr<context> context_;
  std::shared_ptr<config_changes> changes_;
  std::shared_ptr<config_reader> reader_;
  std::map<std::string, microseconds> gone_since_;  // by agent; 0: it lives
  std::int64_t joint_revision_ = 0;  // the joint step that was seen widely in force, and since when
  microseconds joint_since_ = 0;
};

}  // namespace herontally::control_node
