#include "configuration/snapshot.h"

namespace herontally::configuration {

namespace {

std::optional<std::int64_t> parse_delta(const json& value) {
  if (value.is_null()) return std::nullopt;
  return value.get<std::int64_t>();
}

model parse_model(const std::string& name, const json& from) {
  model out;
  out.name = name;
  out.weights = from["weights"];
  out.hash_seed = from["hash_seed"];
  out.block_tokens = from["block_tokens"];
  if (from.contains("minCachedTokenDelta"))
    out.min_cached_token_delta = parse_delta(from["minCachedTokenDelta"]);
  out.near_tie_tokens = from.value("near_tie_tokens", out.near_tie_tokens);
  out.pull_seconds = from.value("pull_seconds", out.pull_seconds);
  out.warm_seconds = from.value("warm_seconds", out.warm_seconds);
  out.max_pulls_per_source = from.value("pulls_per_lender", out.max_pulls_per_source);
  out.max_pulls_per_destination = from.value("pulls_per_borrower", out.max_pulls_per_destination);
  out.turns_per_engine = from.value("turns_per_engine", out.turns_per_engine);
  out.cold_turns = from.value("cold_turns", out.cold_turns);
  return out;
}

table parse_table(const json& from) {
  table out;
  out.usage_weight = from.value("usage_weight", out.usage_weight);
  out.prefix_preference = from.value("prefix_preference", out.prefix_preference);
  out.engine_weights = from.value("engine_weights", out.engine_weights);
  out.zone_weights = from.value("zone_weights", out.zone_weights);
  if (from.contains("minCachedTokenDelta"))
    for (auto& [name, value] : from["minCachedTokenDelta"].items())
      out.min_cached_token_delta[name] = parse_delta(value);
  return out;
}

program parse_program(const json& from) {
  program out;
  out.model = from["model"];
  out.table = from.value("table", "");
  out.shared_prefix = from.value("shared_prefix", "");
  out.budget_tokens = from["budget_tokens"];
  out.turn_tokens = from.value("turn_tokens", out.turn_tokens);
  out.keep_seconds = from.value("keep_seconds", out.keep_seconds);
  out.turn_seconds = from.value("turn_seconds", out.turn_seconds);
  return out;
}

route parse_route(const json& from) {
  route out;
  out.application = from["application"];
  out.path = from["path"];
  out.outcome_path = from.value("outcome_path", "");
  out.table = from.value("table", "");
  out.effectful = from.value("effectful", true);
  out.answer_retention_seconds = from.value("receipt_seconds", out.answer_retention_seconds);
  out.timeout_seconds = from.value("timeout_seconds", out.timeout_seconds);
  return out;
}

// Calls `handle_entry` with the name and the value of each entry of this kind.
template <class Handler>
void for_each_entry(const json& section, const char* kind, Handler handle_entry) {
  if (!section.contains(kind)) return;
  for (auto& [name, entry] : section[kind].items()) handle_entry(name, entry);
}

partner parse_partner(const json& section) {
  partner out;
  for_each_entry(section, "models",
                 [&](auto& name, auto& entry) { out.models[name] = parse_model(name, entry); });
  for_each_entry(section, "tables", [&](auto& name, auto& entry) { out.tables[name] = parse_table(entry); });
  for_each_entry(section, "programs",
                 [&](auto& name, auto& entry) { out.programs[name] = parse_program(entry); });
  for_each_entry(section, "routes", [&](auto& name, auto& entry) { out.routes[name] = parse_route(entry); });
  for_each_entry(section, "applications", [&](auto& name, auto& entry) {
    application parsed;
    parsed.calls_per_engine = entry.value("calls_per_engine", parsed.calls_per_engine);
    parsed.warm_seconds = entry.value("warm_seconds", parsed.warm_seconds);
    out.applications[name] = parsed;
  });
  return out;
}

}  // namespace

const program* partner::find_program(const std::string& instance) const {
  auto found = programs.find(instance.substr(0, instance.find(':')));
  return found == programs.end() ? nullptr : &found->second;
}

table partner::table_of(const std::string& name) const {
  auto found = tables.find(name);
  return found == tables.end() ? table{} : found->second;
}

snapshot snapshot_of(const record& content) {
  snapshot out;
  out.revision = content.revision;
  out.version = content.version;
  out.edges = content.edges;
  out.previous_edges = content.previous_edges;
  json shared = content.document.value("shared", json::object());
  out.evacuated_zones = shared_list(content.document, evacuated_zones);
  out.retiring_storage = shared_list(content.document, retiring_storage);
  json limits = shared.value("limits", json::object());
  out.limits.queue_seconds = limits.value("queue_seconds", out.limits.queue_seconds);
  out.limits.client_buffer_kilobytes =
      limits.value("client_buffer_kilobytes", out.limits.client_buffer_kilobytes);
  out.limits.requests_per_client = limits.value("requests_per_client", out.limits.requests_per_client);
  // Bound to a reference: a temporary returned by value() would be destroyed before the loop ends.
  static const json no_partners = json::object();
  const json& partners = content.document.contains("partners") ? content.document["partners"] : no_partners;
  for (auto& [name, section] : partners.items()) out.partners[name] = parse_partner(section);
  if (content.routing.is_object()) out.routing = content.routing.get<routing::table>();
  return out;
}

}  // namespace herontally::configuration
