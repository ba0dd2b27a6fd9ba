// Command line of the platform stand-in: serves an engine list and checks nodes' readiness until it is
// killed.
#include <absl/flags/flag.h>

#include "platform_stand_in/node.h"
#include "runtime/event_loop.h"
#include "settings/settings.h"

ABSL_FLAG(std::string, listen, "", "ip:port to serve on");
ABSL_FLAG(std::string, engines, "", "JSON file with the list of engines");
ABSL_FLAG(std::string, nodes, "", "comma-separated HTTP addresses of the nodes whose readiness is checked");
ABSL_FLAG(double, late_milliseconds, 400, "milliseconds until a change of the list is visible");

using namespace herontally;

int main(int argument_count, char** arguments) {
  std::string usage =
      "platform_stand_in: a stand-in for the platform that lists engines and checks readiness\n\n"
      "Usage: platform_stand_in --listen IP:PORT --engines FILE [--nodes A,B,...] [--late_milliseconds N]\n\n"
      "Example:\n  platform_stand_in --listen 127.0.0.1:7900 --engines fleet/engines.json\n";
  auto positional = settings::parse_flags(argument_count, arguments, usage);
  if (!positional.empty()) settings::exit_with_fault("platform_stand_in", {positional[0], "is not expected"});
  platform_stand_in::options config;
  config.http = absl::GetFlag(FLAGS_listen);
  if (!settings::is_address(config.http))
    settings::exit_with_fault("platform_stand_in", {"--listen", "must be ip:port"});
  FILE* file = fopen(absl::GetFlag(FLAGS_engines).c_str(), "rb");
  if (!file) settings::exit_with_fault("platform_stand_in", {"--engines", "names a file that can't be read"});
  config.engines = nlohmann::json::parse(file, nullptr, false);
  fclose(file);
  if (!config.engines.is_array())
    settings::exit_with_fault("platform_stand_in", {"--engines", "names a file that is not a JSON list"});
  std::string nodes = absl::GetFlag(FLAGS_nodes);
  for (std::size_t begin = 0; begin < nodes.size();) {
    auto end = std::min(nodes.find(',', begin), nodes.size());
    config.nodes.push_back(nodes.substr(begin, end - begin));
    begin = end + 1;
  }
  for (auto& address : config.nodes)
    if (!settings::is_address(address))
      settings::exit_with_fault("platform_stand_in",
                                {"--nodes", "must be a comma-separated list of ip:port"});
  config.late_milliseconds = absl::GetFlag(FLAGS_late_milliseconds);
  logging::start("platform_stand_in", "WARN");
  runtime::event_loop loop("");
  platform_stand_in::node node(loop.runtime(), config, logging::logger("platform"));
  int code = 0;
  auto begin = [](platform_stand_in::node* started, runtime::event_loop* owner,
                  int* result) -> runtime::task<> {
    auto error = co_await started->start();
    if (!error) co_return;
    fprintf(stderr, "platform_stand_in: %s\n", error->c_str());
    *result = 1;
    owner->stop();
  };
  loop.runtime().spawn(begin(&node, &loop, &code));
  loop.run();
  loop.runtime().stop();
  return code;
}
