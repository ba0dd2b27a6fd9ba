// Fuzz test with seeded mutations: feeds mutated input to the parsers of everything that comes from outside:
// configurations, amendments, operators' calls, headers, responses of engines and of the platform, messages
// of other nodes, records on disk. A run fails if an input crashes the process, makes a parser throw, or is
// accepted although it can't be used. It guards against input that ends a process (rule FAULT, review case
// 2). It starts no server and uses no network.
#include <absl/flags/flag.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "logging/logging.h"
#include "settings/settings.h"
#include "simulator/seed_runs.h"
#include "targets.h"

ABSL_FLAG(std::string, seeds, "1..100", "seeds to run, as A..B; one input for each target and seed");
ABSL_FLAG(std::string, only, "", "targets, comma-separated; empty: all");

using namespace herontally;

namespace {

constexpr const char* usage_text =
    "input_fuzz: feeds mutated input to the parsers of everything that comes from outside\n\n"
    "Usage: input_fuzz --seeds A..B [--only TARGET,...]\n";

char crash_report[128];  // the command that repeats the present input, for the handler of fatal signals

void set_crash_report(const char* name, std::uint64_t seed) {
  snprintf(crash_report, sizeof crash_report, "input_fuzz: crashed by --only %s --seeds %llu..%llu\n", name,
           static_cast<unsigned long long>(seed), static_cast<unsigned long long>(seed));
}

void report_crash(int) {
  ssize_t ignored = write(STDOUT_FILENO, crash_report, strlen(crash_report));
  static_cast<void>(ignored);
  _exit(1);
}

// The handler runs on a stack of its own, since a parser may have exhausted the normal one.
void install_crash_handler() {
  constexpr std::size_t stack_bytes = 64u << 10;
  static char stack[stack_bytes];
  stack_t signal_stack{};
  signal_stack.ss_sp = stack;
  signal_stack.ss_size = stack_bytes;
  sigaltstack(&signal_stack, nullptr);
  struct sigaction action {};
  action.sa_handler = report_crash;
  action.sa_flags = SA_ONSTACK;
  for (int number : {SIGSEGV, SIGABRT, SIGFPE, SIGBUS, SIGILL}) sigaction(number, &action, nullptr);
}

// The text of the exception that the target threw; empty if it threw none.
std::string run_once(const input_fuzz::target& target, std::uint64_t seed) {
  set_crash_report(target.name, seed);
  input_fuzz::mutator inputs(seed);
  try {
    target.run(inputs);
  } catch (const std::exception& error) {
    return error.what();
  }
  return "";
}

}  // namespace

int main(int count, char** arguments) {
  settings::parse_flags(count, arguments, usage_text);
  auto seeds = simulator::parse_seeds("input_fuzz", absl::GetFlag(FLAGS_seeds));
  std::vector<std::string> names;
  for (auto& target : input_fuzz::all_targets()) names.push_back(target.name);
  auto only = simulator::parse_kinds("input_fuzz", absl::GetFlag(FLAGS_only), names);
  logging::start("input_fuzz", "OFF");
  install_crash_handler();
  int failed = 0;
  for (auto& target : input_fuzz::all_targets()) {
    if (!only.empty() && std::find(only.begin(), only.end(), target.name) == only.end()) continue;
    for (auto seed = seeds.first; seed <= seeds.last; ++seed) {
      auto error = run_once(target, seed);
      if (error.empty()) continue;
      ++failed;
      printf("--only %s --seeds %llu..%llu: %s\n", target.name, static_cast<unsigned long long>(seed),
             static_cast<unsigned long long>(seed), error.c_str());
    }
  }
  printf("%llu seeds of each target, %d inputs failed\n", static_cast<unsigned long long>(seeds.size()),
         failed);
  return failed ? 1 : 0;
}
