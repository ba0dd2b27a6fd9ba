// The model test of the replicated register: the production proposers, voters, group moves, fill, repair and
// storage run in a simulated world under the faults of a seed, and every key's history is checked for
// linearizability. With --broken it checks instead that a disabled mechanism leads to a violation. It tests
// no network and no disk of the operating system.
#include <absl/flags/flag.h>
#include <stdio.h>

#include <chrono>
#include <set>
#include <sstream>

#include "logging/logging.h"
#include "model/shrink.h"
#include "runtime/breaks.h"
#include "settings/settings.h"

ABSL_FLAG(std::string, seeds, "1..100", "seeds to run, as A..B");
ABSL_FLAG(int, voters, 3, "voters of the group: 3 or 5");
ABSL_FLAG(int, spares, 2, "storage machines in addition to the voters");
ABSL_FLAG(std::uint64_t, variation, 0, "another random seed of the simulated world, under the same faults");
ABSL_FLAG(std::int64_t, span_ms, 0, "virtual milliseconds until the writers stop; 0: chosen by the seed");
ABSL_FLAG(std::string, faults, "", "only these faults of the plan, as 0,3,7; none: no faults; empty: all");
ABSL_FLAG(std::string, only, "", "kinds of faults, by the names that --story prints, comma-separated");
ABSL_FLAG(bool, story, false, "print each run's faults");
ABSL_FLAG(bool, shrink, true, "reduce a failing run to a shorter one that fails in the same way");
ABSL_FLAG(int, failures, 3, "stop after this many failing seeds");
ABSL_FLAG(std::string, broken, "",
          "protecting mechanisms to disable, comma-separated (only in register_model_breaks)");
ABSL_FLAG(std::string, expect, "", "with --broken: the violation that must be found; empty: any");

using namespace herontally;

namespace {

constexpr int exit_success = 0, exit_violated = 1, exit_usage = 2;
constexpr std::int64_t microseconds_per_millisecond = 1000;

const char* usage_text =
    "register_model: checks the replicated register under seeded schedules of faults\n\n"
    "Usage: register_model --seeds A..B [--voters N] [--spares N] [--story] [--broken NAME --expect KIND]\n\n"
    "A failing seed prints the command that repeats it, and that of the shortest failing run found.\n"
    "Kinds: not linearizable, undecided, not readable, not whole, spares unusable, not begun.\n"
    "Exit codes: 0 all well, 1 a seed failed or a broken mechanism was not noticed, 2 bad usage.\n";

struct seed_range {
  std::uint64_t first = 0, last = 0;
};

std::optional<seed_range> parse_seeds(const std::string& text) {
  seed_range range;
  char dots[3] = "";
  unsigned long long first = 0, last = 0;
  bool complete = sscanf(text.c_str(), "%llu%2[.]%llu", &first, dots, &last) == 3;
  if (!complete || first > last) return std::nullopt;
  range.first = first;
  range.last = last;
  return range;
}

std::vector<int> parse_positions(const std::string& text) {
  std::vector<int> positions;
  std::stringstream parts(text == "none" ? "" : text);
  for (std::string part; std::getline(parts, part, ',');) positions.push_back(atoi(part.c_str()));
  return positions;
}

std::set<std::string> parse_names(const std::string& text) {
  std::set<std::string> names;
  std::stringstream parts(text);
  for (std::string part; std::getline(parts, part, ',');) names.insert(part);
  return names;
}

// Nothing if a name belongs to no kind.
std::optional<std::vector<model::fault_kind>> parse_kinds(const std::string& text) {
  std::vector<model::fault_kind> kinds;
  for (auto& name : parse_names(text)) {
    auto named = model::kinds_named(name);
    if (named.empty()) return std::nullopt;
    kinds.insert(kinds.end(), named.begin(), named.end());
  }
  return kinds;
}

model::run_options options_from_flags() {
  model::run_options options;
  options.voters = absl::GetFlag(FLAGS_voters);
  options.spares = absl::GetFlag(FLAGS_spares);
  options.variation = absl::GetFlag(FLAGS_variation);
  options.print_events = absl::GetFlag(FLAGS_story);
  auto span = absl::GetFlag(FLAGS_span_ms);
  if (span > 0) options.span = span * microseconds_per_millisecond;
  auto faults = absl::GetFlag(FLAGS_faults);
  options.all_faults = faults.empty();
  options.only_faults = parse_positions(faults);
  return options;
}

void print_failure(const model::run_options& options, const model::run_result& result) {
  auto& failure = *result.failure;
  printf("seed %llu: %s\n  %s\n", static_cast<unsigned long long>(options.seed),
         model::name_of(failure.kind).c_str(), failure.description.c_str());
  printf("  repeat: %s\n", model::command_of(options).c_str());
}

void print_events(const model::run_result& result) {
  for (auto& line : result.events) printf("  %s\n", line.c_str());
}

void print_shrunk(const model::run_options& options, const model::run_result& result) {
  auto shorter = model::shrink(options, result);
  printf("shortest failing run found in %d runs, with %d faults:\n", shorter.attempts, shorter.result.faults);
  print_failure(shorter.options, shorter.result);
  print_events(shorter.result);
}

struct run_totals {
  int runs = 0, failures = 0, operations = 0, acknowledged = 0, moves = 0, faults = 0;
  void add(const model::run_result& result) {
    runs += 1;
    failures += result.failure ? 1 : 0;
    operations += result.operations;
    acknowledged += result.acknowledged;
    moves += result.moves;
    faults += result.faults;
  }
  void print(double seconds) const {
    printf("%d runs, %d failed; %d operations, %d acknowledged sets, %d moves, %d faults; %.1f s\n", runs,
           failures, operations, acknowledged, moves, faults, seconds);
  }
};

int run_seeds(model::run_options options, seed_range range) {
  run_totals sum;
  auto begin = std::chrono::steady_clock::now();
  for (auto seed = range.first; seed <= range.last; ++seed) {
    options.seed = seed;
    auto result = model::run_once(options);
    sum.add(result);
    if (options.print_events) print_events(result);
    if (!result.failure) continue;
    print_failure(options, result);
    if (absl::GetFlag(FLAGS_shrink)) print_shrunk(options, result);
    fflush(stdout);
    if (sum.failures >= absl::GetFlag(FLAGS_failures)) break;
  }
  std::chrono::duration<double> spent = std::chrono::steady_clock::now() - begin;
  sum.print(spent.count());
  return sum.failures > 0 ? exit_violated : exit_success;
}

// With the mechanisms disabled some seed must fail, and that seed must pass with them enabled.
int run_broken([[maybe_unused]] model::run_options options, [[maybe_unused]] seed_range range,
               [[maybe_unused]] const std::string& mechanisms) {
#ifdef HERONTALLY_BREAKS
  std::string expected = absl::GetFlag(FLAGS_expect);
  for (auto seed = range.first; seed <= range.last; ++seed) {
    options.seed = seed;
    // Several mechanisms may protect one property; they are disabled together.
    breaks() = parse_names(mechanisms);
    auto result = model::run_once(options);
    bool violated = result.failure && (expected.empty() || model::name_of(result.failure->kind) == expected);
    if (!violated) continue;
    printf("with \"%s\" broken:\n", mechanisms.c_str());
    print_failure(options, result);
    if (absl::GetFlag(FLAGS_shrink)) print_shrunk(options, result);
    breaks().clear();
    auto intact = model::run_once(options);
    if (!intact.failure) return exit_success;
    print_failure(options, intact);
    printf("this seed also fails with no mechanism broken\n");
    return exit_violated;
  }
  printf("no seed failed as expected with \"%s\" broken\n", mechanisms.c_str());
  return exit_violated;
#else
  printf("this build can't disable mechanisms; use register_model_breaks\n");
  return exit_usage;
#endif
}

}  // namespace

int main(int argc, char** argv) {
  settings::parse_flags(argc, argv, usage_text);
  logging::start("register_model", "OFF");
  auto range = parse_seeds(absl::GetFlag(FLAGS_seeds));
  auto options = options_from_flags();
  auto kinds = parse_kinds(absl::GetFlag(FLAGS_only));
  if (kinds) options.kinds = *kinds;
  bool valid = range && kinds && options.voters >= 1 && options.spares >= 0;
  if (!valid) {
    fputs(usage_text, stderr);
    return exit_usage;
  }
  auto mechanisms = absl::GetFlag(FLAGS_broken);
  return mechanisms.empty() ? run_seeds(options, *range) : run_broken(options, *range, mechanisms);
}
