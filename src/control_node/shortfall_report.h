// Internal to the control node: reports in gauges and in the log how far a group of voters falls short of the
// losses that it must tolerate. It changes nothing in the group.
#pragma once
#include "control_node/voter_plan.h"
#include "logging/logging.h"

namespace herontally::control_node {

// Keeps the gauges `herontally_voters_needed`, `herontally_voters_lacking` and `herontally_voters_crowded` of
// a group, and logs each change of the shortfall once.
class shortfall_report {
 public:
  shortfall_report(logging::logger logger, std::string group, loss_budget budget)
      : logger_(std::move(logger)), group_(std::move(group)), budget_(budget) {}
  // Reports on the group's current voters; called with each review.
  void update(const std::vector<consensus::voter_info>& voters);

 private:
  void set_gauge(const char* name, std::size_t value) const;

  logging::logger logger_;
  std::string group_;
  loss_budget budget_;
  voter_shortfall last_reported_;
};

}  // namespace herontally::control_node
