#include <absl/flags/flag.h>
#include <stdio.h>

#include "logging/logging.h"
#include "runtime/breaks.h"
#include "settings/settings.h"
#include "simulator/measure.h"
#include "simulator/scenario.h"
#include "simulator/seed_runs.h"

ABSL_FLAG(std::string, seeds, "1..1", "seeds to run, as A..B");
ABSL_FLAG(std::string, only, "", "kinds of faults, with commas between; empty: all");
ABSL_FLAG(std::int64_t, faults, 8, "faults in each run");
ABSL_FLAG(double, seconds, 30, "virtual seconds of faults");
ABSL_FLAG(double, requests_per_second, 5, "programs begun each virtual second");
ABSL_FLAG(bool, story, false, "print each run's faults and counts");
ABSL_FLAG(std::string, measure, "", "a measurement to make instead");
ABSL_FLAG(std::string, expect, "", "with --broken: the rule whose violation must be noticed");
ABSL_FLAG(std::int64_t, budget, 100000, "token budget of each program; small ones grow with each state");
ABSL_FLAG(std::string, deployment, "small", "small, swanreach, zastavica or both");
ABSL_FLAG(std::string, broken, "", "a protecting mechanism to break (only in the build made for it)");

using namespace herontally;

static const char* usage_text =
    "simulator: runs whole sites in virtual time, from seeds, with faults, and checks the never-rules\n\n"
    "Usage: simulator --seeds A..B [--only KIND,...] [--faults N] [--seconds N] [--requests_per_second N] "
    "[--story]\n\n"
    "Kinds: kill freeze cut split zone store core roll race configure evacuate engine disk weights stale "
    "doze total retire add platform warn rollall corrupt twice lender reply await upgrade pair\n"
    "With --measure NAME a measurement is made: control controls crowd fork in-force join "
    "register repair replace roll slow-disk spread threshold times\n"
    "A failing seed prints the command that replays it. Exit codes: 0 all well, 1 a rule was broken, 2 bad "
    "usage.\n\n"
    "Example:\n  simulator --seeds 1..100\n";

static simulator::run_options options_of_flags() {
  simulator::run_options choice;
  auto shape = simulator::deployment(absl::GetFlag(FLAGS_deployment));
  if (!shape)
    settings::exit_with_fault("simulator", {"--deployment", "must be small, swanreach, zastavica or both"});
  choice.site = *shape;
  choice.only = simulator::parse_kinds("simulator", absl::GetFlag(FLAGS_only), simulator::fault_kinds());
  choice.faults = static_cast<int>(absl::GetFlag(FLAGS_faults));
  choice.storm_seconds = absl::GetFlag(FLAGS_seconds);
  choice.site.budget_tokens = absl::GetFlag(FLAGS_budget);
  choice.requests_per_second = absl::GetFlag(FLAGS_requests_per_second);
  return choice;
}

static void take_break(const std::string& broken_one) {
  if (broken_one.empty()) return;
#ifdef HERONTALLY_BREAKS
  breaks().insert(broken_one);
#else
  settings::exit_with_fault("simulator", {"--broken", "is only known to the build made for it"});
#endif
}

static void print_violations(const simulator::run_options& choice, const simulator::run_report& report) {
  constexpr std::size_t most_shown = 5;
  auto seed = static_cast<unsigned long long>(choice.seed);
  auto only = absl::GetFlag(FLAGS_only);
  printf(
      "seed %llu breaks %zu rules; replay: simulator --seeds %llu..%llu --faults %d --seconds %g "
      "--requests_per_second %g --deployment %s --budget %lld%s%s --story\n",
      seed, report.violations.size(), seed, seed, choice.faults, choice.storm_seconds,
      choice.requests_per_second, absl::GetFlag(FLAGS_deployment).c_str(),
      static_cast<long long>(choice.site.budget_tokens), only.empty() ? "" : " --only ", only.c_str());
  simulator::print_first(report.violations, most_shown);
}

// Runs each seed; the exit code tells whether any broke a rule.
static int run_seeds(simulator::run_options choice, simulator::seed_range seeds) {
  std::int64_t failed = 0, complete = 0, calls = 0;
  double moved = 0;
  for (auto seed = seeds.first; seed <= seeds.last; ++seed) {
    choice.seed = seed;
    auto report = simulator::run_scenario(choice);
    complete += report.counts.value("complete", std::int64_t{0});
    calls += report.counts.value("calls", std::int64_t{0});
    moved += report.counts.value("bytes_moved", 0.0);
    if (absl::GetFlag(FLAGS_story)) {
      for (auto& line : report.story) printf("  %s\n", line.c_str());
      printf("  %s\n", report.counts.dump().c_str());
    }
    if (report.violations.empty()) continue;
    ++failed;
    print_violations(choice, report);
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
  auto choice = options_of_flags();
  std::string broken_one = absl::GetFlag(FLAGS_broken);
  take_break(broken_one);
  logging::start("simulator", "OFF");
  std::string measurement = absl::GetFlag(FLAGS_measure);
  if (!measurement.empty()) {
    if (simulator::measure(measurement)) return 0;
    settings::exit_with_fault("simulator",
                              {"--measure", "must be one of: " + simulator::measurement_names()});
  }
  auto rule = absl::GetFlag(FLAGS_expect);
  auto run = [&choice](std::uint64_t seed) {
    choice.seed = seed;
    return simulator::run_scenario(choice);
  };
  if (!rule.empty()) return simulator::show_break(run, seeds, broken_one, rule);
  return run_seeds(choice, seeds);
}
