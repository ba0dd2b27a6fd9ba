#include <absl/flags/flag.h>
#include <stdio.h>

#include "load_generator/load.h"
#include "runtime/event_loop.h"
#include "settings/settings.h"

ABSL_FLAG(std::string, proxies, "", "HTTP addresses of proxies, with commas between");
ABSL_FLAG(std::string, shape, "swanreach", "swanreach or zastavica");
ABSL_FLAG(double, requests_per_second, 20, "programs begun each second");
ABSL_FLAG(double, seconds, 10, "how long new programs are begun");
ABSL_FLAG(double, crowd_at_second, -1, "when a crowd comes all at once; -1: never");
ABSL_FLAG(std::int64_t, crowd, 100, "how many then");

using namespace herontally;

int main(int count, char** arguments) {
  auto rest = settings::parse_flags(
      count, arguments,
      "load_generator: offers a partner's traffic to proxies and reports what came back\n\n"
      "Usage: load_generator --proxies A,B,... [--shape swanreach|zastavica]\n"
      "       [--requests_per_second N] [--seconds N] [--crowd_at_second N] [--crowd N]\n\n"
      "The report is JSON. Exit code 1 when a stream was odd or nothing was complete.\n\n"
      "Example:\n  load_generator --proxies 127.0.0.1:7302,127.0.0.1:7304 --seconds 20\n");
  if (!rest.empty()) settings::exit_with_fault("load_generator", {rest[0], "is not expected"});
  load_generator::options choice;
  std::string text = absl::GetFlag(FLAGS_proxies);
  for (std::size_t begin = 0; begin < text.size();) {
    auto end = std::min(text.find(',', begin), text.size());
    choice.proxies.push_back(text.substr(begin, end - begin));
    if (!settings::is_address(choice.proxies.back()))
      settings::exit_with_fault("load_generator", {"--proxies", "must list ip:port"});
    begin = end + 1;
  }
  if (choice.proxies.empty()) settings::exit_with_fault("load_generator", {"--proxies", "is missing"});
  choice.shape = absl::GetFlag(FLAGS_shape);
  if (choice.shape != "swanreach" && choice.shape != "zastavica")
    settings::exit_with_fault("load_generator", {"--shape", "must be swanreach or zastavica"});
  choice.requests_per_second = absl::GetFlag(FLAGS_requests_per_second);
  choice.seconds = absl::GetFlag(FLAGS_seconds);
  if (choice.requests_per_second <= 0 || choice.requests_per_second > 10000)
    settings::exit_with_fault("load_generator",
                              {"--requests_per_second", "must be above 0 and at most 10000"});
  if (choice.seconds <= 0 || choice.seconds > 86400)
    settings::exit_with_fault("load_generator", {"--seconds", "must be above 0"});
  choice.crowd_at_second = absl::GetFlag(FLAGS_crowd_at_second);
  choice.crowd = absl::GetFlag(FLAGS_crowd);
  runtime::event_loop loop("");
  int code = 0;
  auto work = [](runtime::event_loop* owner, load_generator::options choice, int* result) -> runtime::task<> {
    load_generator::watcher observer;
    auto report = co_await load_generator::run(owner->runtime(), choice, observer);
    printf("%s\n", report.dump(2).c_str());
    bool well = report["oddities"].empty() && report["turns_complete"].get<std::int64_t>() > 0;
    *result = well ? 0 : 1;
    owner->stop();
  };
  loop.runtime().spawn(work(&loop, choice, &code));
  loop.run();
  loop.runtime().stop();
  return code;
}
