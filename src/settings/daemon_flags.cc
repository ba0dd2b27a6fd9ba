// Flags that every daemon has; a file of their own, so that the tools don't get them.
#include <absl/flags/flag.h>
#include <stdio.h>

#include <fstream>
#include <sstream>

#include "settings/settings.h"

ABSL_FLAG(std::string, settings, "", "JSON file with this process's settings");
ABSL_FLAG(std::string, name, "", "this process's name");
ABSL_FLAG(std::string, zone, "", "the zone that it stands in");
ABSL_FLAG(std::string, inner, "", "ip:port that other processes of the system reach it at");
ABSL_FLAG(std::string, http, "", "ip:port of its HTTP side");
ABSL_FLAG(std::string, seeds, "", "three ip:port of other processes, with commas between");
ABSL_FLAG(std::string, data, "", "data folder");
ABSL_FLAG(std::string, agent, "", "proxy: ip:port of the agent beside it");
ABSL_FLAG(std::string, platform, "", "control_node, agent: ip:port of the platform's HTTP side");
ABSL_FLAG(std::string, log_level, "", "DEBUG, INFO, WARN, ERROR or OFF");

namespace herontally::settings {

using json = nlohmann::json;

static json split(const std::string& text) {
  json parts = json::array();
  std::stringstream stream(text);
  std::string part;
  while (std::getline(stream, part, ',')) parts.push_back(part);
  return parts;
}

settings from_command_line(int count, char** words, const std::string& role, const std::string& purpose) {
  std::string usage = role + ": " + purpose + "\n\nUsage: " + role +
                      " --settings FILE [--name N] [--zone Z] [--inner IP:PORT] [--http IP:PORT]\n"
                      "       [--seeds A,B,C] [--data FOLDER] [--agent IP:PORT] [--platform IP:PORT]\n"
                      "       [--log_level DEBUG|INFO|WARN|ERROR|OFF]\n\n"
                      "A flag goes before the same field of the file. Example:\n  " +
                      role + " --settings examples/one/" + role + ".json --zone b\n";
  auto rest = parse_flags(count, words, usage);
  if (!rest.empty()) end_with(role, {rest[0], "is not expected"});
  json document = json::object();
  std::string file = absl::GetFlag(FLAGS_settings);
  if (!file.empty()) {
    std::ifstream stream(file);
    if (!stream) end_with(role, {"--settings", "names a file that can't be read: " + file});
    document = json::parse(stream, nullptr, false);
    if (document.is_discarded()) end_with(role, {"--settings", "names a file that is not JSON: " + file});
    if (!document.is_object())
      end_with(role, {"--settings", "names a file that is not a JSON object: " + file});
  }
  auto lay = [&](const char* field, const std::string& value) {
    if (!value.empty()) document[field] = value;
  };
  lay("name", absl::GetFlag(FLAGS_name));
  lay("zone", absl::GetFlag(FLAGS_zone));
  lay("inner", absl::GetFlag(FLAGS_inner));
  lay("http", absl::GetFlag(FLAGS_http));
  lay("data", absl::GetFlag(FLAGS_data));
  lay("agent", absl::GetFlag(FLAGS_agent));
  lay("platform", absl::GetFlag(FLAGS_platform));
  lay("log_level", absl::GetFlag(FLAGS_log_level));
  if (!absl::GetFlag(FLAGS_seeds).empty()) document["seeds"] = split(absl::GetFlag(FLAGS_seeds));
  auto checked = from_json(document, role);
  if (auto* found = std::get_if<fault>(&checked)) end_with(role, *found);
  return std::get<settings>(checked);
}

}  // namespace herontally::settings
