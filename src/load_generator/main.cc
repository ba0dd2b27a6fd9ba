// Command line of the load generator: reads the flags, generates the load and prints its report as JSON.
#include <absl/flags/flag.h>
#include <stdio.h>

#include "load_generator/load.h"
#include "runtime/event_loop.h"
#include "settings/settings.h"

ABSL_FLAG(std::string, proxies, "", "comma-separated HTTP addresses of proxies");
ABSL_FLAG(std::string, shape, "swanreach", "traffic of which deployment: swanreach or zastavica");
ABSL_FLAG(double, requests_per_second, 20, "programs started per second");
ABSL_FLAG(double, seconds, 10, "for how many seconds programs are started");
ABSL_FLAG(double, crowd_at_second, -1, "second at which --crowd programs start at once; -1: never");
ABSL_FLAG(std::int64_t, crowd, 100, "number of programs that start at --crowd_at_second");

using namespace herontally;

int main(int argument_count, char** arguments) {
  auto positional = settings::parse_flags(
      argument_count, arguments,
      "load_generator: sends a partner's traffic to proxies and reports the results\n\n"
      "Usage: load_generator --proxies A,B,... [--shape swanreach|zastavica]\n"
      "       [--requests_per_second N] [--seconds N] [--crowd_at_second N] [--crowd N]\n\n"
      "The report is JSON. Exit code 1 if a response had a protocol error or no turn completed.\n\n"
      "Example:\n  load_generator --proxies 127.0.0.1:7302,127.0.0.1:7304 --seconds 20\n");
  if (!positional.empty()) settings::exit_with_fault("load_generator", {positional[0], "is not expected"});
  load_generator::options config;
  std::string text = absl::GetFlag(FLAGS_proxies);
  for (std::size_t begin = 0; begin < text.size();) {
    auto end = std::min(text.find(',', begin), text.size());
    config.proxies.push_back(text.substr(begin, end - begin));
    if (!settings::is_address(config.proxies.back()))
      settings::exit_with_fault("load_generator", {"--proxies", "must be a comma-separated list of ip:port"});
    begin = end + 1;
  }
  if (config.proxies.empty()) settings::exit_with_fault("load_generator", {"--proxies", "is missing"});
  config.shape = absl::GetFlag(FLAGS_shape);
  if (config.shape != "swanreach" && config.shape != "zastavica")
    settings::exit_with_fault("load_generator", {"--shape", "must be swanreach or zastavica"});
  config.requests_per_second = absl::GetFlag(FLAGS_requests_per_second);
  config.seconds = absl::GetFlag(FLAGS_seconds);
  if (config.requests_per_second <= 0 || config.requests_per_second > 10000)
    settings::exit_with_fault("load_generator",
                              {"--requests_per_second", "must be above 0 and at most 10000"});
  if (config.seconds <= 0 || config.seconds > 86400)
    settings::exit_with_fault("load_generator", {"--seconds", "must be above 0 and at most 86400"});
  config.crowd_at_second = absl::GetFlag(FLAGS_crowd_at_second);
  config.crowd = absl::GetFlag(FLAGS_crowd);
  runtime::event_loop loop("");
  int code = 0;
  auto generate = [](runtime::event_loop* owner, load_generator::options config,
                     int* result) -> runtime::task<> {
    load_generator::watcher observer;
    auto report = co_await load_generator::run(owner->runtime(), config, observer);
    printf("%s\n", report.dump(2).c_str());
    bool succeeded = report["oddities"].empty() && report["turns_complete"].get<std::int64_t>() > 0;
    *result = succeeded ? 0 : 1;
    owner->stop();
  };
  loop.runtime().spawn(generate(&loop, config, &code));
  loop.run();
  loop.runtime().stop();
  return code;
}
