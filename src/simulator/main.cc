// Command line of the simulator: runs a range of seeds, a measurement, or the check that a broken mechanism
// is detected.
#include <absl/flags/flag.h>
#include <stdio.h>

#include "logging/logging.h"
#include "runtime/breaks.h"
#include "settings/settings.h"
#include "simulator/measure.h"
#include "simulator/scenario.h"
#include "simulator/seed_runs.h"

ABSL_FLAG(std::string, seeds, "1..1", "seeds to run, as A..B");
ABSL_FLAG(std::string, only, "", "comma-separated kinds of faults; empty: all");
ABSL_FLAG(std::int64_t, faults, 8, "faults in each run");
ABSL_FLAG(double, seconds, 30, "virtual seconds of load and faults");
ABSL_FLAG(double, requests_per_second, 5, "programs begun each virtual second");
ABSL_FLAG(bool, story, false, "print each run's faults and counts");
ABSL_FLAG(std::string, measure, "", "measurement to run instead of seeds");
ABSL_FLAG(std::string, expect, "", "with --broken: the rule whose violation must be detected");
ABSL_FLAG(
    std::int64_t, budget, 100000,
    "token budget of each program; some seeds lower it to at most 120 and raise it with each configuration");
ABSL_FLAG(std::string, deployment, "small", "small, swanreach, zastavica or both");
ABSL_FLAG(std::string, broken, "",
          "mechanism to disable; with --expect, several with commas between (needs a build with "
          "HERONTALLY_BREAKS)");

using namespace herontally;

static const char* usage_text =
    "simulator: runs whole sites in virtual time, from seeds, with faults, and checks safety rules\n\n"
    "Usage: simulator --seeds A..B [--only KIND,...] [--faults N] [--seconds N] [--requests_per_second N] "
    "[--story]\n\n"
    "Kinds: kill freeze cut split zone store core roll race configure evacuate engine disk weights stale "
    "doze total retire add platform warn rollall corrupt twice lender reply await upgrade pair\n"
    "With --measure NAME one measurement is run: control controls crowd fork in-force join "
    "register repair replace roll slow-disk spread threshold times\n"
    "A failing seed prints the command that replays it. Exit codes: 0 no violation, 1 a rule was violated, 2 "
    "bad usage.\n\n"
    "Example:\n  simulator --seeds 1..100\n";

static simulator::run_options options_of_flags() {
  simulator::run_options options;
  auto shape = simulator::deployment(absl::GetFlag(FLAGS_deployment));
  if (!shape)
    settings::exit_with_fault("simulator", {"--deployment", "must be small, swanreach, zastavica or both"});
  options.site = *shape;
  options.only = simulator::parse_kinds("simulator", absl::GetFlag(FLAGS_only), simulator::fault_kinds());
  options.faults = static_cast<int>(absl::GetFlag(FLAGS_faults));
  options.fault_seconds = absl::GetFlag(FLAGS_seconds);
  options.site.budget_tokens = absl::GetFlag(FLAGS_budget);
  options.requests_per_second = absl::GetFlag(FLAGS_requests_per_second);
  return options;
}

static void disable_mechanism(const std::string& mechanism) {
  if (mechanism.empty()) return;
#ifdef HERONTALLY_BREAKS
  breaks().insert(mechanism);
#else
  settings::exit_with_fault("simulator", {"--broken", "needs a build with HERONTALLY_BREAKS"});
#endif
}

static void print_violations(const simulator::run_options& options, const simulator::run_report& report) {
  constexpr std::size_t most_shown = 5;
  auto seed = static_cast<unsigned long long>(options.seed);
  auto only = absl::GetFlag(FLAGS_only);
  printf(
      "seed %llu breaks %zu rules; replay: simulator --seeds %llu..%llu --faults %d --seconds %g "
      "--requests_per_second %g --deployment %s --budget %lld%s%s --story\n",
      seed, report.violations.size(), seed, seed, options.faults, options.fault_seconds,
      options.requests_per_second, absl::GetFlag(FLAGS_deployment).c_str(),
      static_cast<long long>(options.site.budget_tokens), only.empty() ? "" : " --only ", only.c_str());
  simulator::print_first(report.violations, most_shown);
}

// Runs each seed; returns the exit code: 1 if any violated a rule.
static int run_seeds(simulator::run_options options, simulator::seed_range seeds) {
  std::int64_t failed = 0, complete = 0, calls = 0;
  double moved = 0;
  for (auto seed = seeds.first; seed <= seeds.last; ++seed) {
    options.seed = seed;
    auto report = simulator::run_scenario(options);
    complete += report.counts.value("complete", std::int64_t{0});
    calls += report.counts.value("calls", std::int64_t{0});
    moved += report.counts.value("bytes_moved", 0.0);
    if (absl::GetFlag(FLAGS_story)) {
      for (auto& line : report.fault_log) printf("  %s\n", line.c_str());
      printf("  %s\n", report.counts.dump().c_str());
    }
    if (report.violations.empty()) continue;
    ++failed;
    print_violations(options, report);
  }
  printf("%llu seeds, %lld with broken rules; %lld turns complete, %lld calls, %.0f bytes of cache moved\n",
         static_cast<unsigned long long>(seeds.size()), static_cast<long long>(failed),
         static_cast<long long>(complete), static_cast<long long>(calls), moved);
  return failed ? 1 : 0;
}

int main(int count, char** arguments) {
  auto rest = settings::parse_flags(count, arguments, usage_text);
  if (!rest.empty()) settings::exit_with_fault("simulator", {rest[0], "is not expected"});
  auto seeds = simulator::parse_seeds("simulator", absl::GetFlag(FLAGS_seeds));
  auto options = options_of_flags();
  std::string broken = absl::GetFlag(FLAGS_broken);
  disable_mechanism(broken);
  logging::start("simulator", "OFF");
  std::string measurement = absl::GetFlag(FLAGS_measure);
  if (!measurement.empty()) {
    if (simulator::measure(measurement)) return 0;
    settings::exit_with_fault("simulator",
                              {"--measure", "must be one of: " + simulator::measurement_names()});
  }
  auto rule = absl::GetFlag(FLAGS_expect);
  auto run = [&options](std::uint64_t seed) {
    options.seed = seed;
    return simulator::run_scenario(options);
  };
  if (!rule.empty()) return simulator::show_break(run, seeds, broken, rule);
  return run_seeds(options, seeds);
}
