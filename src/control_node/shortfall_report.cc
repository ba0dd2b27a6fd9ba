#include "control_node/shortfall_report.h"

namespace herontally::control_node {

void shortfall_report::set_gauge(const char* name, std::size_t value) const {
  logger_.gauge(std::string(name) + "{group=\"" + group_ + "\"}", static_cast<double>(value));
}

void shortfall_report::update(const std::vector<consensus::voter_info>& voters) {
  auto shortfall = shortfall_of(voters, budget_);
  set_gauge("herontally_voters_needed", budget_.voters());
  set_gauge("herontally_voters_lacking", shortfall.missing_voters);
  set_gauge("herontally_voters_crowded", shortfall.over_zone_limit);
  if (last_reported_ == shortfall) return;
  last_reported_ = shortfall;
  if (shortfall == voter_shortfall{}) {
    logger_.info("a group of voters can bear all losses that it should", {{"group", group_}});
    return;
  }
  logger_.warn("a group of voters can't bear all losses that it should",
               {{"group", group_},
                {"voters", voters.size()},
                {"needed", budget_.voters()},
                {"lacking", shortfall.missing_voters},
                {"crowded", shortfall.over_zone_limit}});
}

}  // namespace herontally::control_node
