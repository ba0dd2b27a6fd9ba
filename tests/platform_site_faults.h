// Injects faults into a simulated site, and runs a site under faults that are drawn from a seed.
#pragma once
#include "platform_site.h"

namespace herontally::platform_simulator {

// What a run does. Times are virtual.
struct run_options {
  std::uint64_t seed = 1;
  std::vector<std::string> only;  // kinds of faults; empty: all
  int faults = 8;
  site_shape shape;
  // Duration of overlapping faults (see run_long_day); 0: `faults` faults, one after another.
  microseconds long_day = 0;
  microseconds pause = default_max_pause;  // the longest between the starts of two clients
  // Also requests that take seconds, on connections that are idle for nearly as long as allowed.
  bool long_requests = false;
};
// What a run showed. It is correct if there are no violations.
struct run_report {
  std::vector<violation> violations;
  std::vector<std::string> event_log;
  std::map<std::string, std::int64_t> counts;
};

// Kinds that every run draws from.
const std::vector<std::string>& fault_kinds();
// Further kinds, which are only injected on long days or if --only names them.
const std::vector<std::string>& named_fault_kinds();
// Injects one fault. The caller makes sure that cores and stores have recovered from the faults before, as
// many as may be lost at once.
void inject_fault(site& target, const std::string& kind);
// Sends a change of the configuration: "change", "amend", "race" (two at once on one version) or "invalid".
void change(site& target, const std::string& kind);
// How long "core_isolated" separates a core from other cores and stores.
constexpr microseconds isolation = 22 * second;
// Stops all machines at once and starts them again, for "disk_lost" with `losses` empty disks.
void inject_closing_fault(site& target, const std::string& kind, int losses);
// Whether a kind of fault is injected only once, at the end of a run.
bool is_closing_fault(const std::string& kind);
// Runs a site with faults drawn from the seed, and checks the users' rules.
run_report run_scenario(const run_options& options);
// A run as dense as the users' own: a change every few hundred milliseconds, overlapping faults of edges and
// engines, and as many machines that keep data lost at once as must be tolerated, again as soon as the users'
// rules allow. The caller adds the loss of everything at the end.
void run_long_day(site& target, const run_options& options, const std::vector<std::string>& kinds);

}  // namespace herontally::platform_simulator
