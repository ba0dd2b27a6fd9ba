// The command-line flags that all daemons share, and the merge of flags and settings file. In a file of their
// own, so that the tools aren't linked with these flags.
#include <absl/flags/flag.h>
#include <stdio.h>

#include <fstream>
#include <sstream>

#include "settings/settings.h"

ABSL_FLAG(std::string, settings, "", "JSON file with the settings of this process");
ABSL_FLAG(std::string, name, "", "name of this process");
ABSL_FLAG(std::string, zone, "", "zone of the machine that it runs on");
ABSL_FLAG(std::string, inner, "", "ip:port where it listens for other processes of the system");
ABSL_FLAG(std::string, http, "", "ip:port where it serves HTTP");
ABSL_FLAG(std::string, seeds, "", "ip:port of three other processes, separated by commas");
ABSL_FLAG(std::string, data, "", "data directory");
ABSL_FLAG(std::string, agent, "", "proxy: ip:port of its agent");
ABSL_FLAG(std::string, platform, "", "control_node, agent: ip:port of the platform's HTTP API");
ABSL_FLAG(std::string, log_level, "", "DEBUG, INFO, WARN, ERROR or OFF");

namespace herontally::settings {

using json = nlohmann::json;

static json split_at_commas(const std::string& text) {
  json parts = json::array();
  std::stringstream stream(text);
  std::string part;
  while (std::getline(stream, part, ',')) parts.push_back(part);
  return parts;
}

settings from_command_line(int count, char** arguments, const std::string& role, const std::string& purpose) {
  std::string usage = role + ": " + purpose + "\n\nUsage: " + role +
                      " --settings FILE [--name N] [--zone Z] [--inner IP:PORT] [--http IP:PORT]\n"
                      "       [--seeds A,B,C] [--data FOLDER] [--agent IP:PORT] [--platform IP:PORT]\n"
                      "       [--log_level DEBUG|INFO|WARN|ERROR|OFF]\n\n"
                      "A flag overrides the same field of the settings file. Example:\n  " +
                      role + " --settings examples/one/" + role + ".json --zone b\n";
  auto positional = parse_flags(count, arguments, usage);
  if (!positional.empty()) exit_with_fault(role, {positional[0], "is not expected"});
  json document = json::object();
  std::string file = absl::GetFlag(FLAGS_settings);
  if (!file.empty()) {
    std::ifstream stream(file);
    if (!stream) exit_with_fault(role, {"--settings", "names a file that can't be read: " + file});
    document = json::parse(stream, nullptr, false);
    if (document.is_discarded())
      exit_with_fault(role, {"--settings", "names a file that is not JSON: " + file});
    if (!document.is_object())
      exit_with_fault(role, {"--settings", "names a file that is not a JSON object: " + file});
  }
  auto override_field = [&](const char* field, const std::string& value) {
    if (!value.empty()) document[field] = value;
  };
  override_field("name", absl::GetFlag(FLAGS_name));
  override_field("zone", absl::GetFlag(FLAGS_zone));
  override_field("inner", absl::GetFlag(FLAGS_inner));
  override_field("http", absl::GetFlag(FLAGS_http));
  override_field("data", absl::GetFlag(FLAGS_data));
  override_field("agent", absl::GetFlag(FLAGS_agent));
  override_field("platform", absl::GetFlag(FLAGS_platform));
  override_field("log_level", absl::GetFlag(FLAGS_log_level));
  if (!absl::GetFlag(FLAGS_seeds).empty()) document["seeds"] = split_at_commas(absl::GetFlag(FLAGS_seeds));
  auto checked = from_json(document, role);
  if (auto* found = std::get_if<fault>(&checked)) exit_with_fault(role, *found);
  return std::get<settings>(checked);
}

}  // namespace herontally::settings
