// One simulated run, reproducible from its seed: a site under load and random faults, then without faults,
// and what the oracle found. The faults themselves are in faults.h, the final probes in probes.h.
#pragma once
#include "simulator/site.h"

namespace simulator {

struct run_options {
  std::uint64_t seed = 1;
  std::vector<std::string> only;  // kinds of faults to draw from; empty: all
  int faults = 8;                 // begun during `fault_seconds`, at random times
  // Virtual duration of load and faults; programs begun in each virtual second.
  double fault_seconds = 30, requests_per_second = 5;
  bool final_loss = true;  // kill all machines at the end and probe the site again
  site_options site;
};

struct run_report {
  std::uint64_t seed = 0;
  std::vector<violation> violations;
  std::vector<std::string> fault_log;  // one line for each fault, in order
  nlohmann::json counts;               // from the oracle, the load generators and the site's metrics
};

// The site named "small", "swanreach", "zastavica" or "both"; all but "small" have the sizes that the
// requirements give. std::nullopt for any other name.
std::optional<site_options> deployment(const std::string& name);
// The names of all kinds of faults, as on the command line.
const std::vector<std::string>& fault_kinds();
// Runs the scenario to its end. The same options give the same report.
run_report run_scenario(const run_options& options);

}  // namespace simulator
