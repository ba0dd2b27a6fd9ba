#include <absl/flags/flag.h>

#include "platform_stand_in/node.h"
#include "runtime/event_loop.h"
#include "settings/settings.h"

ABSL_FLAG(std::string, listen, "", "ip:port to serve on");
ABSL_FLAG(std::string, engines, "", "JSON file that lists the engines");
ABSL_FLAG(std::string, nodes, "", "HTTP addresses of nodes whose readiness is checked, with commas between");
ABSL_FLAG(double, late_milliseconds, 400, "how late a change of the list is shown");

using namespace herontally;

int main(int count, char** arguments) {
  std::string usage =
      "platform_stand_in: a stand-in for the platform that lists engines and checks readiness\n\n"
      "Usage: platform_stand_in --listen IP:PORT --engines FILE [--nodes A,B,...] [--late_milliseconds N]\n\n"
      "Example:\n  platform_stand_in --listen 127.0.0.1:7900 --engines fleet/engines.json\n";
  auto rest = settings::parse_flags(count, arguments, usage);
  if (!rest.empty()) settings::exit_with_fault("platform_stand_in", {rest[0], "is not expected"});
  platform_stand_in::options choice;
  choice.http = absl::GetFlag(FLAGS_listen);
  if (!settings::is_address(choice.http))
    settings::exit_with_fault("platform_stand_in", {"--listen", "must be ip:port"});
  FILE* file = fopen(absl::GetFlag(FLAGS_engines).c_str(), "rb");
  if (!file) settings::exit_with_fault("platform_stand_in", {"--engines", "names a file that can't be read"});
  choice.engines = nlohmann::json::parse(file, nullptr, false);
  fclose(file);
  if (!choice.engines.is_array())
    settings::exit_with_fault("platform_stand_in", {"--engines", "names a file that is not a JSON list"});
  std::string nodes = absl::GetFlag(FLAGS_nodes);
  for (std::size_t begin = 0; begin < nodes.size();) {
    auto end = std::min(nodes.find(',', begin), nodes.size());
    choice.nodes.push_back(nodes.substr(begin, end - begin));
    begin = end + 1;
  }
  for (auto& address : choice.nodes)
    if (!settings::is_address(address))
      settings::exit_with_fault("platform_stand_in", {"--nodes", "must list ip:port"});
  choice.late_milliseconds = absl::GetFlag(FLAGS_late_milliseconds);
  logging::start("platform_stand_in", "WARN");
  runtime::event_loop loop("");
  platform_stand_in::node node(loop.runtime(), choice, logging::logger("platform"));
  int code = 0;
  auto begin = [](platform_stand_in::node* started, runtime::event_loop* owner,
                  int* result) -> runtime::task<> {
    auto fault = co_await started->start();
    if (!fault) co_return;
    fprintf(stderr, "platform_stand_in: %s\n", fault->c_str());
    *result = 1;
    owner->stop();
  };
  loop.runtime().spawn(begin(&node, &loop, &code));
  loop.run();
  loop.runtime().stop();
  return code;
}
