// Internal to the agent: polls the platform's engine list directly while the list from the cores is outdated.
//
// The platform answers only a few requests per second, so one core polls it for all nodes. An edge that is
// cut off from that core polls the platform itself. It uses only the information which engines drain: the
// rest of the list is versioned by the core's epoch, which an edge doesn't have.
#pragma once
#include "agent/context.h"

namespace herontally::agent {

class draining_watch : public std::enable_shared_from_this<draining_watch> {
 public:
  explicit draining_watch(std::shared_ptr<context> shared) : context_(std::move(shared)) {}
  // Polls the platform while the known list is outdated, until the process stops.
  task<> run();
  // Engines that the platform reported as draining while the list was outdated.
  const std::vector<std::string>& draining() const { return draining_; }
  // Whether the engine list of this reply may be stored. The first list after a start may be outdated at its
  // source and then miss draining engines, which this node can't know from before its start. Such a list is
  // rejected until the platform was polled once. It is accepted even if the poll failed: then the state that
  // the engines themselves report is the only information. A rejection makes `run` poll the platform.
  bool accepts_engine_list(const rpc::config_update_reply& reply);
  // Whether this node has learned since its start which engines drain, or its poll of the platform has
  // failed.
  bool knows_draining_engines() const;

 private:
  // For an engine list of this age; a negative age is unknown and counts as outdated.
  bool is_outdated(std::int64_t age_milliseconds) const;
  // Updates `draining_` and wakes waiting polls if it changed. A failed poll leaves it as it is.
  task<> poll_platform();
  // Names of the draining engines; nullopt if the platform can't be reached or its answer can't be used.
  task<std::optional<std::vector<std::string>>> fetch_draining();
  microseconds poll_delay(bool outdated);

  std::shared_ptr<context> context_;
  std::vector<std::string> draining_;
  bool platform_polled_ = false;  // since the start, successfully or not
  bool list_deferred_ = false;    // a list was rejected until the platform is polled
};

}  // namespace herontally::agent
