// What operators do from a shell.
#pragma once
#include <string>
#include <vector>

#include "runtime/runtime.h"

namespace herontally::herontallyctl {

// Exit codes, also in --help.
enum exit_code { done = 0, refused = 1, usage = 2, unreachable = 3, stale = 4, faulty = 5, unknown = 6 };

struct setting {
  std::vector<std::string> cores, proxies;
  std::string token;
  double timeout_seconds = 10;
};

std::string help();
// Carries out one command and prints its result; the arguments follow the flags.
runtime::task<int> run(runtime::handle runtime, setting given, std::vector<std::string> arguments);

}  // namespace herontally::herontallyctl
