#include <absl/flags/flag.h>

#include "herontallyctl/commands.h"
#include "runtime/event_loop.h"
#include "settings/settings.h"

ABSL_FLAG(std::string, core, "", "HTTP addresses of cores, with commas between");
ABSL_FLAG(std::string, proxy, "", "HTTP address of a proxy");
ABSL_FLAG(std::string, token, "", "operator's bearer token");
ABSL_FLAG(double, timeout, 10, "seconds to wait for an answer");
ABSL_FLAG(std::int64_t, expect, -1, "version that the change expects");

using namespace herontally;

static std::vector<std::string> split(const std::string& text, const char* flag) {
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

int main(int count, char** arguments) {
  auto rest = settings::parse_flags(count, arguments, herontallyctl::help());
  if (rest.empty()) settings::exit_with_fault("herontallyctl", {"COMMAND", "is missing; see --help"});
  herontallyctl::setting given;
  given.cores = split(absl::GetFlag(FLAGS_core), "--core");
  given.proxies = split(absl::GetFlag(FLAGS_proxy), "--proxy");
  given.token = absl::GetFlag(FLAGS_token);
  given.timeout_seconds = absl::GetFlag(FLAGS_timeout);
  if (given.timeout_seconds <= 0 || given.timeout_seconds > 600)
    settings::exit_with_fault("herontallyctl", {"--timeout", "must be from 0 to 600 seconds"});
  if (given.cores.empty() && rest[0] != "ledger")
    settings::exit_with_fault("herontallyctl", {"--core", "is missing"});
  if (absl::GetFlag(FLAGS_expect) >= 0) {
    rest.push_back("expect");
    rest.push_back(std::to_string(absl::GetFlag(FLAGS_expect)));
  }
  runtime::event_loop loop("");
  int code = 0;
  auto work = [](runtime::event_loop* owner, herontallyctl::setting given, std::vector<std::string> rest,
                 int* result) -> runtime::task<> {
    *result = co_await herontallyctl::run(owner->runtime(), given, rest);
    owner->stop();
  };
  loop.runtime().spawn(work(&loop, given, rest, &code));
  loop.run();
  loop.runtime().stop();
  return code;
}
