#include "routing/table.h"

#include <algorithm>
#include <map>
#include <set>

namespace herontally::routing {

namespace {

// Compares host names, ignoring the case of ASCII letters.
bool same_host(std::string_view left, std::string_view right) {
  auto lower = [](char letter) { return letter >= 'A' && letter <= 'Z' ? letter + ('a' - 'A') : +letter; };
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [&](char one, char other) { return lower(one) == lower(other); });
}

// Strips the port, which routes ignore.
std::string_view without_port(std::string_view host) {
  auto colon = host.rfind(':');
  // Colons inside the brackets of an IPv6 address are part of the host.
  if (colon == std::string_view::npos || host.find(']', colon) != std::string_view::npos) return host;
  return host.substr(0, colon);
}

}  // namespace

void to_json(json& document, const model_engine& from) {
  document = {{"capacity", from.capacity},
              {"memory_tokens", from.memory_tokens},
              {"event_tokens", from.event_tokens},
              {"models", from.models}};
  if (from.min_cached_token_delta) document["minCachedTokenDelta"] = *from.min_cached_token_delta;
}

void from_json(const json& document, model_engine& to) {
  to = model_engine{};
  to.capacity = document.value("capacity", to.capacity);
  to.memory_tokens = document.value("memory_tokens", to.memory_tokens);
  to.event_tokens = document.value("event_tokens", to.event_tokens);
  to.models = document.value("models", to.models);
  auto delta = document.find("minCachedTokenDelta");
  if (delta != document.end() && !delta->is_null()) to.min_cached_token_delta = delta->get<std::int64_t>();
}

void to_json(json& document, const service& from) {
  document = {{"name", from.name},
              {"probe", from.probe},
              {"connections", from.connections},
              {"cold_seconds", from.slow_start_seconds},
              {"cold_rate", from.slow_start_rate}};
  if (from.deduplicates) document["deduplicates"] = true;
  if (from.model) document["model"] = *from.model;
}

void from_json(const json& document, service& to) {
  to = service{};
  to.name = document.value("name", to.name);
  to.probe = document.value("probe", to.probe);
  to.connections = document.value("connections", to.connections);
  to.slow_start_seconds = document.value("cold_seconds", to.slow_start_seconds);
  to.slow_start_rate = document.value("cold_rate", to.slow_start_rate);
  to.deduplicates = document.value("deduplicates", to.deduplicates);
  auto model = document.find("model");
  if (model != document.end() && !model->is_null()) to.model = model->get<model_engine>();
}

void to_json(json& document, const table& from) {
  document = {{"version", from.version},
              {"routes", from.routes},
              {"services", from.services},
              {"limits", from.limits}};
  if (!from.tenants.empty()) document["tenants"] = from.tenants;
}

void from_json(const json& document, table& to) {
  to = table{};
  to.version = document.value("version", to.version);
  to.routes = document.value("routes", to.routes);
  to.services = document.value("services", to.services);
  to.limits = document.value("limits", to.limits);
  to.tenants = document.value("tenants", to.tenants);
}

const service* table::find_service(const std::string& name) const {
  for (auto& each : services)
    if (each.name == name) return &each;
  return nullptr;
}

const route* table::match(const std::string& host, const std::string& path) const {
  auto hostname = without_port(host);
  const route* best = nullptr;
  for (auto& each : routes) {
    if (best && each.prefix.size() <= best->prefix.size()) continue;
    if (path.compare(0, each.prefix.size(), each.prefix) == 0 && same_host(each.host, hostname)) best = &each;
  }
  return best;
}

static void check_route(const table& content, const route& entry, const std::string& pointer,
                        std::vector<violation>& violations) {
  if (entry.deadline <= 0) violations.push_back({pointer + "/deadline", "must be above 0"});
  std::int64_t positive_shares = 0;
  bool has_negative_share = false;
  for (std::size_t number = 0; number < entry.targets.size(); ++number) {
    auto& target = entry.targets[number];
    auto target_pointer = pointer + "/targets/" + std::to_string(number);
    if (!content.find_service(target.service))
      violations.push_back({target_pointer + "/service", "names no service: " + target.service});
    if (target.share < 0) violations.push_back({target_pointer + "/share", "must not be below 0"});
    has_negative_share = has_negative_share || target.share < 0;
    // Counts the positive shares instead of adding them up: a sum of huge shares would overflow.
    positive_shares += target.share > 0 ? 1 : 0;
  }
  if (entry.targets.empty())
    violations.push_back({pointer + "/targets", "names no service"});
  else if (positive_shares == 0 && !has_negative_share)
    violations.push_back({pointer + "/targets", "the shares add up to 0"});
}

static void check_tenants(const table& content, std::vector<violation>& violations) {
  std::set<std::string> names;
  std::map<std::string, std::string> tenant_of_credential;
  for (std::size_t number = 0; number < content.tenants.size(); ++number) {
    auto& entry = content.tenants[number];
    auto pointer = "/tenants/" + std::to_string(number);
    if (!names.insert(entry.name).second)
      violations.push_back({pointer + "/name", "another tenant has this name: " + entry.name});
    for (auto& credential : entry.credentials) {
      auto [owner, added] = tenant_of_credential.emplace(credential, entry.name);
      // The credential is a secret and must not appear in the message.
      if (!added && owner->second != entry.name)
        violations.push_back({pointer + "/credentials", "shares a credential with " + owner->second});
    }
  }
}

std::vector<violation> check(const table& content) {
  std::vector<violation> violations;
  std::set<std::string> names;
  std::set<std::pair<std::string, std::string>> host_prefixes;
  for (std::size_t number = 0; number < content.services.size(); ++number) {
    auto& entry = content.services[number];
    if (!names.insert(entry.name).second)
      violations.push_back(
          {"/services/" + std::to_string(number) + "/name", "another service has this name: " + entry.name});
  }
  names.clear();
  for (std::size_t number = 0; number < content.routes.size(); ++number) {
    auto& entry = content.routes[number];
    auto pointer = "/routes/" + std::to_string(number);
    if (!names.insert(entry.name).second)
      violations.push_back({pointer + "/name", "another route has this name: " + entry.name});
    std::string host(without_port(entry.host));
    std::transform(host.begin(), host.end(), host.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    if (!host_prefixes.insert({host, entry.prefix}).second)
      violations.push_back(
          {pointer + "/prefix", "another route has this host and prefix: " + entry.host + entry.prefix});
    check_route(content, entry, pointer, violations);
  }
  check_tenants(content, violations);
  return violations;
}

}  // namespace herontally::routing
