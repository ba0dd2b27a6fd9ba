// Internal to the control node: switches tables at the times of the configuration's calendars, on the core
// that owns the role.
#pragma once
#include "control_node/config_changes.h"

namespace herontally::control_node {

class calendar_scheduler : public std::enable_shared_from_this<calendar_scheduler> {
 public:
  calendar_scheduler(std::shared_ptr<context> shared, std::shared_ptr<config_changes> changes)
      : context_(std::move(shared)), changes_(std::move(changes)) {}
  // Runs until the process stops.
  task<> run();

 private:
  // A calendar whose time is now.
  struct due_switch {
    std::string partner, calendar, program;
  };
  std::vector<due_switch> due_at(const configuration::record& config, std::int64_t minute) const;
  task<> apply(due_switch due, std::int64_t minute);

  std::shared_ptr<context> context_;
  std::shared_ptr<config_changes> changes_;
};

}  // namespace herontally::control_node
