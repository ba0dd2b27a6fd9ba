// The product on the users' platform, simulated from seeds, under the users' rules.
#include <absl/flags/flag.h>
#include <stdio.h>

#include <algorithm>

#include "../platform_site_faults.h"
#include "logging/logging.h"
#include "runtime/breaks.h"
#include "settings/settings.h"

ABSL_FLAG(std::string, seeds, "1..1", "seeds to run, as A..B");
ABSL_FLAG(std::string, only, "", "kinds of faults, with commas between; empty: all");
ABSL_FLAG(std::int64_t, faults, 8, "faults in each run");
ABSL_FLAG(std::int64_t, losses, 1, "machines that keep data to be lost at once: 1 or 2");
ABSL_FLAG(bool, verbose, false, "print each run's faults and counts");
ABSL_FLAG(std::string, broken, "", "a protecting mechanism to break (only in the build made for it)");
ABSL_FLAG(std::string, expect, "", "with --broken: the rule whose violation must be noticed");

using namespace herontally;

static const char* usage_text =
    "platform_simulator: runs the product on the users' platform in virtual time, from seeds, with faults, "
    "by their "
    "rules\n\n"
    "Usage: platform_simulator --seeds A..B [--only KIND,...] [--faults N] [--losses N] [--verbose] "
    "[--broken NAME "
    "--expect RULE]\n\n"
    "Example:\n  platform_simulator --seeds 1..40 --only edge_roll,change\n";

// With the mechanism whole no seed breaks a rule; with it broken, some seed breaks the rule that it protects.
static int show_break(platform_simulator::run_options choice, std::uint64_t first, std::uint64_t last) {
  auto rule = absl::GetFlag(FLAGS_expect), what = absl::GetFlag(FLAGS_broken);
#ifdef HERONTALLY_BREAKS
  for (auto seed = first; seed <= last; ++seed) {
    choice.seed = seed;
    breaks().clear();
    auto whole = platform_simulator::run_scenario(choice);
    if (!whole.violations.empty()) {
      printf("seed %llu breaks %s without any break: %s\n", static_cast<unsigned long long>(seed),
             whole.violations[0].rule.c_str(), whole.violations[0].what.c_str());
      return 1;
    }
    breaks().insert(what);
    for (auto& each : platform_simulator::run_scenario(choice).violations) {
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

int main(int count, char** words) {
  auto rest = settings::parse_flags(count, words, usage_text);
  if (!rest.empty()) settings::end_with("platform_simulator", {rest[0], "is not expected"});
  std::string seeds = absl::GetFlag(FLAGS_seeds);
  auto dots = seeds.find("..");
  bool digits = dots != std::string::npos && dots > 0 && dots + 2 < seeds.size() &&
                seeds.find_first_not_of("0123456789.") == std::string::npos;
  if (!digits) settings::end_with("platform_simulator", {"--seeds", "must be A..B"});
  std::uint64_t first = std::stoull(seeds.substr(0, dots)), last = std::stoull(seeds.substr(dots + 2));
  platform_simulator::run_options choice;
  choice.faults = static_cast<int>(absl::GetFlag(FLAGS_faults));
  choice.losses = static_cast<int>(absl::GetFlag(FLAGS_losses));
  if (choice.losses < 1 || choice.losses > 2)
    settings::end_with("platform_simulator", {"--losses", "must be 1 or 2"});
  std::string only = absl::GetFlag(FLAGS_only);
  for (std::size_t begin = 0; begin < only.size();) {
    auto end = std::min(only.find(',', begin), only.size());
    choice.only.push_back(only.substr(begin, end - begin));
    auto& kinds = platform_simulator::fault_kinds();
    if (std::find(kinds.begin(), kinds.end(), choice.only.back()) == kinds.end())
      settings::end_with("platform_simulator", {"--only", "names no kind of fault: " + choice.only.back()});
    begin = end + 1;
  }
  logging::start("platform_simulator", "OFF");
  if (!absl::GetFlag(FLAGS_expect).empty()) return show_break(choice, first, last);
  int failed = 0;
  std::int64_t requests = 0, served = 0;
  for (auto seed = first; seed <= last; ++seed) {
    choice.seed = seed;
    auto report = platform_simulator::run_scenario(choice);
    requests += report.counts["requests"];
    served += report.counts["served"];
    if (absl::GetFlag(FLAGS_verbose)) {
      for (auto& line : report.story) printf("  %s\n", line.c_str());
      for (auto& [what, number] : report.counts)
        printf("  %s: %lld\n", what.c_str(), static_cast<long long>(number));
    }
    if (report.violations.empty()) continue;
    ++failed;
    printf(
        "seed %llu breaks rules %zu times; replay: platform_simulator --seeds %llu..%llu --faults %d "
        "--losses %d%s%s "
        "--verbose\n",
        static_cast<unsigned long long>(seed), report.violations.size(),
        static_cast<unsigned long long>(seed), static_cast<unsigned long long>(seed), choice.faults,
        choice.losses, only.empty() ? "" : " --only ", only.c_str());
    std::size_t shown = 0;
    for (auto& each : report.violations)
      if (shown++ < 6)
        printf("  %.3f s %s: %s\n", static_cast<double>(each.when) / 1e6, each.rule.c_str(),
               each.what.c_str());
    fflush(stdout);
  }
  printf("%llu seeds, %d with broken rules; %lld requests, %lld served\n",
         static_cast<unsigned long long>(last - first + 1), failed, static_cast<long long>(requests),
         static_cast<long long>(served));
  return failed ? 1 : 0;
}
