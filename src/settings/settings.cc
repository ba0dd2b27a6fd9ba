#include "settings/settings.h"

#include <event2/util.h>
#include <sys/socket.h>

#include <algorithm>
#include <set>

#include "interning/symbol_table.h"

namespace herontally::settings {

using json = nlohmann::json;

bool is_address(const std::string& text) {
  sockaddr_storage parsed{};
  int length = sizeof parsed;
  // Host names are refused: processes identify each other by IP address and port alone.
  if (evutil_parse_sockaddr_port(text.c_str(), reinterpret_cast<sockaddr*>(&parsed), &length) != 0)
    return false;
  auto colon = text.rfind(':');
  if (colon == std::string::npos || colon + 1 == text.size()) return false;
  if (parsed.ss_family == AF_INET && text.find(':') != colon) return false;
  if (parsed.ss_family == AF_INET6 && text.front() != '[') return false;
  auto port = text.substr(colon + 1);
  return std::all_of(port.begin(), port.end(),
                     [](unsigned char character) { return std::isdigit(character); }) &&
         port.size() <= 5 && std::stoi(port) >= 1 && std::stoi(port) <= 65535;
}

namespace {

// Reads and checks typed fields of a JSON object. Reading goes on after a fault; only the first one is kept.
struct reader {
  const json& document;
  std::optional<fault> found;
  void fail(const std::string& field, const std::string& what) {
    if (!found) found = fault{field, what};
  }
  std::string text(const std::string& field, bool required) {
    auto entry = document.find(field);
    if (entry == document.end()) {
      if (required) fail(field, "is missing");
      return "";
    }
    if (!entry->is_string()) {
      fail(field, "must be a string");
      return "";
    }
    return entry->get<std::string>();
  }
  std::string address(const std::string& field, bool required) {
    auto value = text(field, required);
    if (!value.empty() && !is_address(value)) fail(field, "must be ip:port, not \"" + value + "\"");
    if (value.empty() && required) fail(field, "is missing");
    return value;
  }
  std::int64_t number(const std::string& field, std::int64_t default_value, std::int64_t minimum,
                      std::int64_t maximum) {
    auto entry = document.find(field);
    if (entry == document.end()) return default_value;
    if (!entry->is_number_integer() || entry->get<std::int64_t>() < minimum ||
        entry->get<std::int64_t>() > maximum) {
      fail(field,
           "must be a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
      return default_value;
    }
    return entry->get<std::int64_t>();
  }
};

void read_seeds(reader& from, settings& out) {
  auto entry = from.document.find("seeds");
  if (entry == from.document.end()) return from.fail("seeds", "is missing");
  if (!entry->is_array() || entry->size() != 3)
    return from.fail("seeds", "must be a list of three addresses");
  std::set<std::string> seen;
  for (auto& seed : *entry) {
    if (!seed.is_string() || !is_address(seed.get<std::string>()))
      return from.fail("seeds", "must be ip:port, not " + seed.dump());
    if (!seen.insert(seed.get<std::string>()).second)
      return from.fail("seeds", "lists " + seed.dump() + " twice");
    out.seeds.push_back(seed.get<std::string>());
  }
}

void read_operators(reader& from, settings& out) {
  auto entry = from.document.find("operators");
  if (entry == from.document.end()) return;
  if (!entry->is_array()) return from.fail("operators", "must be a list");
  for (auto& item : *entry) {
    if (!item.is_object() || !item.contains("token") || !item.contains("partner") ||
        !item["token"].is_string() || !item["partner"].is_string() ||
        item["token"].get<std::string>().size() < 8)
      return from.fail("operators", "must have a token of at least 8 characters and a partner in each entry");
    out.operators.push_back({item["token"], item["partner"]});
  }
}

}  // namespace

std::variant<settings, fault> from_json(const json& document, const std::string& role) {
  if (!document.is_object()) return fault{"settings", "must be a JSON object"};
  static const std::set<std::string> known_fields{"name",           "zone",
                                                  "inner",          "http",
                                                  "seeds",          "data",
                                                  "agent",          "platform",
                                                  "log_level",      "operators",
                                                  "requests",       "queue",
                                                  "disk_megabytes", "notice_milliseconds",
                                                  "machine_losses", "zone_losses"};
  for (auto& [field, value] : document.items())
    if (!known_fields.contains(field)) return fault{field, "is not a known setting"};
  reader from{document, std::nullopt};
  settings out;
  out.name = from.text("name", true);
  if (!interning::is_plain_name(out.name)) from.fail("name", "must be letters, digits, '-', '_', '.' or ':'");
  out.zone = from.text("zone", true);
  if (!interning::is_plain_name(out.zone)) from.fail("zone", "must be letters, digits, '-', '_', '.' or ':'");
  out.inner = from.address("inner", true);
  out.http = from.address("http", true);
  read_seeds(from, out);
  bool needs_data = role == "control_node" || role == "storage_node";
  out.data = from.text("data", needs_data);
  if (needs_data && out.data.empty()) from.fail("data", "is missing");
  out.agent = from.address("agent", role == "proxy");
  out.platform = from.address("platform", role == "control_node" || role == "agent");
  read_operators(from, out);
  auto level = from.text("log_level", false);
  static const std::set<std::string> levels{"", "DEBUG", "INFO", "WARN", "ERROR", "OFF"};
  if (!levels.contains(level)) from.fail("log_level", "must be DEBUG, INFO, WARN, ERROR or OFF");
  if (!level.empty()) out.log_level = level;
  out.disk_megabytes = from.number("disk_megabytes", out.disk_megabytes, 1, 1 << 20);
  out.notice_milliseconds = from.number("notice_milliseconds", out.notice_milliseconds, 100, 600000);
  out.queue = from.number("queue", out.queue, 0, 100000);
  out.requests = from.number("requests", out.requests, 1, 100000);
  out.machine_losses = from.number("machine_losses", out.machine_losses, 0, 10);
  out.zone_losses = from.number("zone_losses", out.zone_losses, 0, 10);
  if (from.found) return *from.found;
  return out;
}

}  // namespace herontally::settings
