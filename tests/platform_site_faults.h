// Faults of the site, one after another, by seed.
#pragma once
#include "platform_site.h"

namespace herontally::psim {

struct run_options {
  std::uint64_t seed = 1;
  std::vector<std::string> only;
  int faults = 8;
};
struct run_report {
  std::vector<violation> violations;
  std::vector<std::string> story;
  std::map<std::string, std::int64_t> counts;
};

const std::vector<std::string>& fault_kinds();
// The site's one loss at a time among cores and stores: nothing is struck there before the last one is whole.
void strike(site& where, const std::string& kind);
void closing_fault(site& where, const std::string& kind);
run_report run_scenario(const run_options& choice);

}  // namespace herontally::psim
