// Internal to the agent: its own look at the platform's engine list, when nobody who polls it can be heard.
//
// The platform answers only a few times a second, so that one core polls it for all. An edge that is cut off
// from that core looks for itself. It takes from the platform only that engines drain: whatever else the list
// says is versioned by the core's epoch, which an edge doesn't have.
#pragma once
#include "agent/context.h"

namespace herontally::agent {

class draining_watch : public std::enable_shared_from_this<draining_watch> {
 public:
  explicit draining_watch(std::shared_ptr<context> shared) : context_(std::move(shared)) {}
  // Looks whenever the known list is old, until the process stops.
  task<> run();
  // Engines that were seen draining while the list was old.
  const std::vector<std::string>& draining() const { return draining_; }
  // Whether the engine list of this reply may be taken. The first list after a start, when it is old where it
  // comes from, may not say which engines drain, and we can't know it from before. The platform is looked at
  // first, and the list taken once that look is over: without an answer the engines' own word is all there
  // is.
  bool may_take_list(const rpc::config_update_reply& reply);
  // Whether this node has heard since its start which engines drain, or has asked the platform in vain.
  bool is_informed() const;

 private:
  bool is_old(std::int64_t age_milliseconds) const;
  task<> look();
  task<std::optional<std::vector<std::string>>> fetch_draining();
  microseconds pause(bool old);

  std::shared_ptr<context> context_;
  std::vector<std::string> draining_;
  bool looked_ = false;        // since the start, with or without an answer
  bool list_waiting_ = false;  // a list waits for our look
};

}  // namespace herontally::agent
