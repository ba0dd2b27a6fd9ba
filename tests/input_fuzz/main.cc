// Feeds mutated input to the readers of everything that comes from outside: configurations, amendments,
// operators' calls, headers, answers of engines and of the platform, messages of other nodes, records on
// disk. An input that ends the process, that makes a reader throw, or that is acknowledged though it can't be
// used fails the run. It guards against review case 2 (FAULT): input that ends a process.
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
ABSL_FLAG(std::string, only, "", "targets, with commas between; empty: all");

using namespace herontally;

namespace {

constexpr const char* usage_text =
    "input_fuzz: feeds mutated input to the readers of everything that comes from outside\n\n"
    "Usage: input_fuzz --seeds A..B [--only TARGET,...]\n";

char under_way[128];  // the target and the seed, for the handler of fatal signals

void note(const char* name, std::uint64_t seed) {
  snprintf(under_way, sizeof under_way, "input_fuzz: ended by --only %s --seeds %llu..%llu\n", name,
           static_cast<unsigned long long>(seed), static_cast<unsigned long long>(seed));
}

void report_and_end(int) {
  ssize_t ignored = write(STDOUT_FILENO, under_way, strlen(under_way));
  static_cast<void>(ignored);
  _exit(1);
}

// On a stack of its own, since a reader may have used up the usual one.
void watch_fatal_signals() {
  constexpr std::size_t stack_bytes = 64u << 10;
  static char stack[stack_bytes];
  stack_t other{};
  other.ss_sp = stack;
  other.ss_size = stack_bytes;
  sigaltstack(&other, nullptr);
  struct sigaction action {};
  action.sa_handler = report_and_end;
  action.sa_flags = SA_ONSTACK;
  for (int number : {SIGSEGV, SIGABRT, SIGFPE, SIGBUS, SIGILL}) sigaction(number, &action, nullptr);
}

// What is wrong with the reader; empty: nothing.
std::string run_once(const input_fuzz::target& target, std::uint64_t seed) {
  note(target.name, seed);
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
  watch_fatal_signals();
  int failed = 0;
  for (auto& target : input_fuzz::all_targets()) {
    if (!only.empty() && std::find(only.begin(), only.end(), target.name) == only.end()) continue;
    for (auto seed = seeds.first; seed <= seeds.last; ++seed) {
      auto wrong = run_once(target, seed);
      if (wrong.empty()) continue;
      ++failed;
      printf("--only %s --seeds %llu..%llu: %s\n", target.name, static_cast<unsigned long long>(seed),
             static_cast<unsigned long long>(seed), wrong.c_str());
    }
  }
  printf("%llu seeds of each target, %d inputs failed\n", static_cast<unsigned long long>(seeds.size()),
         failed);
  return failed ? 1 : 0;
}
