// One run from one seed: a site under traffic, faults drawn from the seed, then peace, then the oracle's
// verdict.
#pragma once
#include "simulator/site.h"

namespace simulator {

struct run_options {
  std::uint64_t seed = 1;
  std::vector<std::string> only;  // kinds of faults; empty: all
  int faults = 8;
  double storm_seconds = 30, requests_per_second = 5;
  bool final_loss = true;  // ends with the loss of everything
  site_options site;
};

struct run_report {
  std::uint64_t seed = 0;
  std::vector<violation> violations;
  std::vector<std::string> story;  // the faults, as they came
  nlohmann::json counts;
};

// "small", "swanreach", "zastavica" or "both": the sizes of the brief but for the first.
std::optional<site_options> deployment(const std::string& name);
const std::vector<std::string>& fault_kinds();
run_report run_scenario(const run_options& choice);

}  // namespace simulator
