// Command line of the platform simulator: runs the product on the simulated platform from seeds, with faults,
// and reports each seed that breaks one of the users' rules.
#include <absl/flags/flag.h>
#include <stdio.h>

#include <algorithm>
#include <numeric>

#include "../deploy_file.h"
#include "../platform_site_faults.h"
#include "logging/logging.h"
#include "runtime/breaks.h"
#include "settings/settings.h"
#include "simulator/seed_runs.h"

ABSL_FLAG(std::string, seeds, "1..1", "seeds to run, as A..B");
ABSL_FLAG(std::string, only, "", "kinds of faults, with commas between; empty: all");
ABSL_FLAG(std::int64_t, faults, 8, "faults in each run");
ABSL_FLAG(std::int64_t, losses, 1, "machines that keep data to be lost at once: 1 or 2");
ABSL_FLAG(std::string, shape, "",
          "small, many_stores, large or four_zones, as the deploy file runs it; empty: the fewest machines");
ABSL_FLAG(double, long_day, 0, "virtual seconds of overlapping faults; 0: one fault after another");
ABSL_FLAG(std::int64_t, pause_ms, 80, "longest pause between the starts of two clients, in milliseconds");
ABSL_FLAG(bool, long_requests, false, "also requests that take seconds, on connections that were idle");
ABSL_FLAG(bool, verbose, false, "print each run's faults and counts");
ABSL_FLAG(std::string, broken, "", "a protecting mechanism to break (only in the build made for it)");
ABSL_FLAG(std::string, expect, "", "with --broken: the rule whose violation must be detected");

using namespace herontally;

static const char* usage_text =
    "platform_simulator: runs the product on the users' platform in virtual time, from seeds, with faults, "
    "and checks their rules\n\n"
    "Usage: platform_simulator --seeds A..B [--only KIND,...] [--faults N] [--losses N] [--shape NAME] "
    "[--long_day SECONDS] [--pause_ms N] "
    "[--long_requests] [--verbose] "
    "[--broken NAME "
    "--expect RULE]\n\n"
    "Example:\n  platform_simulator --seeds 1..40 --only edge_roll,change\n";

// The machines of one of the users' deployments. It has fewer edges than theirs, since all edges are alike.
static std::optional<platform_simulator::site_shape> deployment_named(const std::string& name) {
  if (name == "small") return {{.cores = 5, .stores = 3, .edges = 6, .zones = 3, .losses = 1}};
  if (name == "many_stores") return {{.cores = 5, .stores = 10, .edges = 8, .zones = 3, .losses = 2}};
  if (name == "large") return {{.cores = 9, .stores = 8, .edges = 8, .zones = 3, .losses = 2}};
  if (name == "four_zones") return {{.cores = 9, .stores = 10, .edges = 8, .zones = 4, .losses = 2}};
  return std::nullopt;
}

// On how many machines, distributed over the zones in turn, the deploy file runs the role.
static int started_machines(const std::string& role, int machines, int zones) {
  std::vector<int> by_zone(static_cast<std::size_t>(zones), 0);
  for (int number = 0; number < machines; ++number) ++by_zone[static_cast<std::size_t>(number % zones)];
  auto in_use = deploy_file::machines_in_use(by_zone, deploy_file::share_of(role));
  return std::accumulate(in_use.begin(), in_use.end(), 0);
}

// The shape of the site by --shape and --losses, reduced to the machines that the deploy file uses.
static platform_simulator::site_shape shape_of_flags() {
  auto losses = static_cast<int>(absl::GetFlag(FLAGS_losses));
  if (losses < 1 || losses > 2)
    settings::exit_with_fault("platform_simulator", {"--losses", "must be 1 or 2"});
  auto name = absl::GetFlag(FLAGS_shape);
  if (name.empty()) return platform_simulator::smallest_shape(losses);
  auto shape = deployment_named(name);
  if (!shape)
    settings::exit_with_fault("platform_simulator",
                              {"--shape", "must be small, many_stores, large or four_zones"});
  shape->cores = started_machines("core", shape->cores, shape->zones);
  shape->stores = started_machines("store", shape->stores, shape->zones);
  return *shape;
}

static platform_simulator::run_options options_of_flags() {
  platform_simulator::run_options options;
  options.faults = static_cast<int>(absl::GetFlag(FLAGS_faults));
  options.shape = shape_of_flags();
  options.long_day = static_cast<runtime::microseconds>(absl::GetFlag(FLAGS_long_day) * runtime::second);
  auto pause = absl::GetFlag(FLAGS_pause_ms);
  if (pause < 1) settings::exit_with_fault("platform_simulator", {"--pause_ms", "must be 1 or more"});
  options.pause = pause * runtime::millisecond;
  options.long_requests = absl::GetFlag(FLAGS_long_requests);
  auto kinds = platform_simulator::fault_kinds();
  auto& named = platform_simulator::named_fault_kinds();
  kinds.insert(kinds.end(), named.begin(), named.end());
  options.only = simulator::parse_kinds("platform_simulator", absl::GetFlag(FLAGS_only), kinds);
  return options;
}

static void print_violations(const platform_simulator::run_options& options,
                             const platform_simulator::run_report& report) {
  constexpr std::size_t most_shown = 6;
  auto seed = static_cast<unsigned long long>(options.seed);
  auto only = absl::GetFlag(FLAGS_only), shape = absl::GetFlag(FLAGS_shape);
  printf(
      "seed %llu breaks rules %zu times; replay: platform_simulator --seeds %llu..%llu --faults %d "
      "--losses %d%s%s --long_day %g --pause_ms %lld%s%s%s --verbose\n",
      seed, report.violations.size(), seed, seed, options.faults, options.shape.losses,
      shape.empty() ? "" : " --shape ", shape.c_str(), absl::GetFlag(FLAGS_long_day),
      static_cast<long long>(options.pause / runtime::millisecond),
      options.long_requests ? " --long_requests" : "", only.empty() ? "" : " --only ", only.c_str());
  simulator::print_first(report.violations, most_shown);
}

// Runs each seed. Returns the exit code: 1 if any seed broke a rule.
static int run_seeds(platform_simulator::run_options options, simulator::seed_range seeds) {
  int failed = 0;
  std::int64_t requests = 0, served = 0;
  for (auto seed = seeds.first; seed <= seeds.last; ++seed) {
    options.seed = seed;
    auto report = platform_simulator::run_scenario(options);
    requests += report.counts["requests"];
    served += report.counts["served"];
    if (absl::GetFlag(FLAGS_verbose)) {
      for (auto& line : report.event_log) printf("  %s\n", line.c_str());
      for (auto& [what, number] : report.counts)
        printf("  %s: %lld\n", what.c_str(), static_cast<long long>(number));
    }
    if (report.violations.empty()) continue;
    ++failed;
    print_violations(options, report);
  }
  printf("%llu seeds, %d with broken rules; %lld requests, %lld served\n",
         static_cast<unsigned long long>(seeds.size()), failed, static_cast<long long>(requests),
         static_cast<long long>(served));
  return failed ? 1 : 0;
}

int main(int count, char** arguments) {
  auto rest = settings::parse_flags(count, arguments, usage_text);
  if (!rest.empty()) settings::exit_with_fault("platform_simulator", {rest[0], "is not expected"});
  auto seeds = simulator::parse_seeds("platform_simulator", absl::GetFlag(FLAGS_seeds));
  auto options = options_of_flags();
  logging::start("platform_simulator", "OFF");
  auto rule = absl::GetFlag(FLAGS_expect);
  auto run = [&options](std::uint64_t seed) {
    options.seed = seed;
    return platform_simulator::run_scenario(options);
  };
  if (!rule.empty()) return simulator::show_break(run, seeds, absl::GetFlag(FLAGS_broken), rule);
  return run_seeds(options, seeds);
}
