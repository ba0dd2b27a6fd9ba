// Internal to the control node: puts a calendar's table into its program at the times of the calendar's cron
// expression (UTC), on the core that owns the calendar role. Times that pass while no core owns the role are
// skipped, not made up for later.
#pragma once
#include "control_node/config_changes.h"

namespace herontally::control_node {

// Checks the calendars once a second.
class calendar_scheduler : public std::enable_shared_from_this<calendar_scheduler> {
 public:
  calendar_scheduler(std::shared_ptr<context> shared, std::shared_ptr<config_changes> changes)
      : context_(std::move(shared)), changes_(std::move(changes)) {}
  // Runs until the process stops.
  task<> run();

 private:
  // A calendar that is due, and the program whose table it switches.
  struct due_switch {
    std::string partner, calendar, program;
  };
  // `minute`: minutes since 1970.
  std::vector<due_switch> due_at(const configuration::record& config, std::int64_t minute) const;
  // Changes the configuration's record, unless this switch was made already.
  task<> apply(due_switch due, std::int64_t minute);

  std::shared_ptr<context> context_;
  std::shared_ptr<config_changes> changes_;
};

}  // namespace herontally::control_node
