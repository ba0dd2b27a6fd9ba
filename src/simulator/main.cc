#include <absl/flags/flag.h>
#include <stdio.h>

#include "logging/logging.h"
#include "runtime/breaks.h"
#include "settings/settings.h"
#include "simulator/measure.h"
#include "simulator/scenario.h"

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

// With the mechanism whole no seed breaks a rule; with it broken, some seed breaks the rule that it protects.
static int show_break(simulator::run_options choice, std::uint64_t first, std::uint64_t last,
                      const std::string& what) {
  std::string rule = absl::GetFlag(FLAGS_expect);
#ifdef HERONTALLY_BREAKS
  for (auto seed = first; seed <= last; ++seed) {
    choice.seed = seed;
    breaks().clear();
    auto whole = simulator::run_scenario(choice);
    if (!whole.violations.empty()) {
      printf("seed %llu breaks %s without any break: %s\n", static_cast<unsigned long long>(seed),
             whole.violations[0].rule.c_str(), whole.violations[0].what.c_str());
      return 1;
    }
    breaks().insert(what);
    auto report = simulator::run_scenario(choice);
    for (auto& each : report.violations) {
      if (each.rule != rule) continue;
      printf("seed %llu: with \"%s\" broken the oracle says %s: %s\n", static_cast<unsigned long long>(seed),
             what.c_str(), rule.c_str(), each.what.c_str());
      return 0;
    }
  }
#else
  (void)choice;
  (void)first;
  (void)last;
#endif
  printf("\"%s\" was broken and no seed broke %s\n", what.c_str(), rule.c_str());
  return 1;
}

struct seed_range {
  std::uint64_t first = 0, last = 0;
};

static seed_range seeds_of(const std::string& text) {
  auto dots = text.find("..");
  bool digits = dots != std::string::npos && dots > 0 && dots + 2 < text.size() &&
                text.find_first_not_of("0123456789.") == std::string::npos;
  if (!digits) settings::end_with("simulator", {"--seeds", "must be A..B"});
  return {std::stoull(text.substr(0, dots)), std::stoull(text.substr(dots + 2))};
}

static std::vector<std::string> kinds_of(const std::string& text) {
  std::vector<std::string> chosen;
  auto& kinds = simulator::fault_kinds();
  for (std::size_t begin = 0; begin < text.size();) {
    auto end = std::min(text.find(',', begin), text.size());
    chosen.push_back(text.substr(begin, end - begin));
    if (std::find(kinds.begin(), kinds.end(), chosen.back()) == kinds.end())
      settings::end_with("simulator", {"--only", "names no kind of fault: " + chosen.back()});
    begin = end + 1;
  }
  return chosen;
}

static simulator::run_options options_of_flags() {
  simulator::run_options choice;
  auto shape = simulator::deployment(absl::GetFlag(FLAGS_deployment));
  if (!shape)
    settings::end_with("simulator", {"--deployment", "must be small, swanreach, zastavica or both"});
  choice.site = *shape;
  choice.only = kinds_of(absl::GetFlag(FLAGS_only));
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
  settings::end_with("simulator", {"--broken", "is only known to the build made for it"});
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
  for (std::size_t shown = 0; shown < std::min(most_shown, report.violations.size()); ++shown) {
    auto& each = report.violations[shown];
    printf("  %.3f s %s: %s\n", static_cast<double>(each.when) / 1e6, each.rule.c_str(), each.what.c_str());
  }
  fflush(stdout);
}

// Runs each seed; the exit code tells whether any broke a rule.
static int run_seeds(simulator::run_options choice, seed_range seeds) {
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
  auto runs = seeds.last - seeds.first + 1;
  printf("%llu seeds, %lld with broken rules; %lld turns complete, %lld calls, %.0f bytes of cache moved\n",
         static_cast<unsigned long long>(runs), static_cast<long long>(failed),
         static_cast<long long>(complete), static_cast<long long>(calls), moved);
  return failed ? 1 : 0;
}

int main(int count, char** arguments) {
  auto rest = settings::parse_flags(count, arguments, usage_text);
  if (!rest.empty()) settings::end_with("simulator", {rest[0], "is not expected"});
  auto seeds = seeds_of(absl::GetFlag(FLAGS_seeds));
  auto choice = options_of_flags();
  std::string broken_one = absl::GetFlag(FLAGS_broken);
  take_break(broken_one);
  logging::start("simulator", "OFF");
  std::string measurement = absl::GetFlag(FLAGS_measure);
  if (!measurement.empty()) {
    if (simulator::measure(measurement)) return 0;
    settings::end_with("simulator", {"--measure", "must be one of: " + simulator::measurement_names()});
  }
  if (!absl::GetFlag(FLAGS_expect).empty()) return show_break(choice, seeds.first, seeds.last, broken_one);
  return run_seeds(choice, seeds);
}
