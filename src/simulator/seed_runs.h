// Shared by the command lines of the simulators and other test programs: parsing of seed ranges and fault
// kinds, printing of violations, and the check that a broken mechanism is detected. Runs no scenario itself.
#pragma once
#include <stdio.h>

#include <algorithm>
#include <string>
#include <vector>

#include "runtime/breaks.h"
#include "settings/settings.h"

namespace simulator {

// Seeds from `first` to `last`, both included.
struct seed_range {
  std::uint64_t first = 0, last = 0;
  std::uint64_t size() const { return last - first + 1; }
};

// Parses "A..B"; ends the program with exit code 2 for any other text.
inline seed_range parse_seeds(const std::string& program, const std::string& text) {
  auto dots = text.find("..");
  bool digits = dots != std::string::npos && dots > 0 && dots + 2 < text.size() &&
                text.find_first_not_of("0123456789.") == std::string::npos;
  if (!digits) herontally::settings::exit_with_fault(program, {"--seeds", "must be A..B"});
  return {std::stoull(text.substr(0, dots)), std::stoull(text.substr(dots + 2))};
}

// Splits a comma-separated list.
inline std::vector<std::string> split_names(const std::string& text) {
  std::vector<std::string> names;
  for (std::size_t begin = 0; begin < text.size();) {
    auto end = std::min(text.find(',', begin), text.size());
    names.push_back(text.substr(begin, end - begin));
    begin = end + 1;
  }
  return names;
}

// Parses a comma-separated list of fault kinds; ends the program with exit code 2 for one that isn't in
// `known`.
inline std::vector<std::string> parse_kinds(const std::string& program, const std::string& text,
                                            const std::vector<std::string>& known) {
  auto chosen = split_names(text);
  for (auto& kind : chosen)
    if (std::find(known.begin(), known.end(), kind) == known.end())
      herontally::settings::exit_with_fault(program, {"--only", "names no kind of fault: " + kind});
  return chosen;
}

// Prints the first `limit` violations: virtual time in seconds, rule and details.
template <class Violation>
void print_first(const std::vector<Violation>& violations, std::size_t limit) {
  for (std::size_t shown = 0; shown < std::min(limit, violations.size()); ++shown) {
    auto& each = violations[shown];
    printf("  %.3f s %s: %s\n", static_cast<double>(each.when) / 1e6, each.rule.c_str(), each.what.c_str());
  }
  fflush(stdout);
}

// Checks that the oracle detects a disabled mechanism: runs each seed with all mechanisms intact, which must
// give no violation, and with `mechanism` disabled, until one seed violates `rule`. Returns the program's
// exit code: 0 if one did, 1 otherwise or in a build without HERONTALLY_BREAKS. `run` takes a seed and
// returns a report with `violations`. Several mechanisms that protect one rule are named as a comma-separated
// list and disabled together.
template <class Run>
int show_break([[maybe_unused]] Run run, [[maybe_unused]] seed_range seeds, const std::string& mechanism,
               const std::string& rule) {
#ifdef HERONTALLY_BREAKS
  for (auto seed = seeds.first; seed <= seeds.last; ++seed) {
    herontally::breaks().clear();
    auto intact = run(seed);
    if (!intact.violations.empty()) {
      printf("seed %llu violates %s with all mechanisms intact: %s\n", static_cast<unsigned long long>(seed),
             intact.violations[0].rule.c_str(), intact.violations[0].what.c_str());
      return 1;
    }
    for (auto& name : split_names(mechanism)) herontally::breaks().insert(name);
    auto report = run(seed);
    for (auto& each : report.violations) {
      if (each.rule != rule) continue;
      printf("seed %llu: with \"%s\" broken the oracle says %s: %s\n", static_cast<unsigned long long>(seed),
             mechanism.c_str(), rule.c_str(), each.what.c_str());
      return 0;
    }
  }
#endif
  printf("\"%s\" was broken and no seed broke %s\n", mechanism.c_str(), rule.c_str());
  return 1;
}

}  // namespace simulator
