// Commands of herontallyctl: each sends HTTP requests to a core or proxy and prints the response. The command
// line itself is read in main.cc.
#pragma once
#include <string>
#include <vector>

#include "runtime/runtime.h"

namespace herontally::herontallyctl {

// Exit codes of the program, as --help describes them.
enum exit_code {
  done = 0,
  refused = 1,
  usage = 2,
  unreachable = 3,
  version_conflict = 4,
  invalid_configuration = 5,
  result_unknown = 6
};

// Connection options from the command line. Addresses are ip:port and are tried in order.
struct client_options {
  std::vector<std::string> cores, proxies;
  std::string token;            // sent as a bearer token; empty: no Authorization header
  double timeout_seconds = 10;  // per request
};

// The usage text of --help.
std::string help();
// Runs one command, prints its result, and returns the exit code. `arguments` holds the command and its
// arguments without flags, followed by "expect" and a version if --expect is set; it must not be empty.
runtime::task<int> run(runtime::handle runtime, client_options options, std::vector<std::string> arguments);

}  // namespace herontally::herontallyctl
