// Command line of herontallyctl: reads and checks the flags and runs one command.
#include <absl/flags/flag.h>

#include "herontallyctl/commands.h"
#include "runtime/event_loop.h"
#include "settings/settings.h"

ABSL_FLAG(std::string, core, "", "comma-separated HTTP addresses of cores");
ABSL_FLAG(std::string, proxy, "", "HTTP address of a proxy");
ABSL_FLAG(std::string, token, "", "operator's bearer token");
ABSL_FLAG(double, timeout, 10, "seconds to wait for a response");
ABSL_FLAG(std::int64_t, expect, -1, "version that apply or patch expects; -1: the one read just before");

using namespace herontally;

// Splits a comma-separated list of addresses. Ends the process with exit code 2 if one is invalid.
static std::vector<std::string> split_addresses(const std::string& text, const char* flag) {
  std::vector<std::string> parts;
  for (std::size_t begin = 0; begin < text.size();) {
    auto end = std::min(text.find(',', begin), text.size());
    parts.push_back(text.substr(begin, end - begin));
    if (!settings::is_address(parts.back()))
      settings::exit_with_fault("herontallyctl", {flag, "must be ip:port, not \"" + parts.back() + "\""});
    begin = end + 1;
  }
  return parts;
}

int main(int argument_count, char** arguments) {
  auto positional = settings::parse_flags(argument_count, arguments, herontallyctl::help());
  if (positional.empty()) settings::exit_with_fault("herontallyctl", {"COMMAND", "is missing; see --help"});
  herontallyctl::client_options options;
  options.cores = split_addresses(absl::GetFlag(FLAGS_core), "--core");
  options.proxies = split_addresses(absl::GetFlag(FLAGS_proxy), "--proxy");
  options.token = absl::GetFlag(FLAGS_token);
  options.timeout_seconds = absl::GetFlag(FLAGS_timeout);
  if (options.timeout_seconds <= 0 || options.timeout_seconds > 600)
    settings::exit_with_fault("herontallyctl", {"--timeout", "must be above 0 and at most 600 seconds"});
  if (options.cores.empty() && positional[0] != "ledger")
    settings::exit_with_fault("herontallyctl", {"--core", "is missing"});
  if (absl::GetFlag(FLAGS_expect) >= 0) {
    positional.push_back("expect");
    positional.push_back(std::to_string(absl::GetFlag(FLAGS_expect)));
  }
  runtime::event_loop loop("");
  int code = 0;
  auto run_command = [](runtime::event_loop* owner, herontallyctl::client_options options,
                        std::vector<std::string> positional, int* result) -> runtime::task<> {
    *result = co_await herontallyctl::run(owner->runtime(), options, positional);
    owner->stop();
  };
  loop.runtime().spawn(run_command(&loop, options, positional, &code));
  loop.run();
  loop.runtime().stop();
  return code;
}
