// Which request goes to which service, and on what terms: part of the desired state, in the product's own
// form.
#pragma once
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace herontally::routing {

using json = nlohmann::json;

enum class category { idempotent, mutating, streaming };

// One service among those that a route's requests are spread over; shares are relative.
struct target {
  std::string service;
  std::int64_t share = 1;
  NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(target, service, share)
};

// Times are in milliseconds.
struct route {
  std::string name, host, prefix;
  category kind = category::mutating;
  std::int64_t deadline = 0, aim = 0, urgency = 0, tries = 1, gap = 0, keep = 0;
  std::vector<target> targets;
  bool kept = false;       // the system holds what was said and builds the prompt from it
  bool affine = false;     // an engine that has seen the thing lately works faster
  bool resumable = false;  // a cut stream may be gone on with at another engine
  NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(route, name, host, prefix, kind, deadline, aim, urgency, tries,
                                              gap, keep, targets, kept, affine, resumable)
};

// What a model engine is made of. Tokens and tokens per event.
struct model_engine {
  std::int64_t capacity = 0, memory_tokens = 0, event_tokens = 1;
  std::optional<std::int64_t> min_cached_token_delta;  // nothing: no source is named
  std::vector<std::string> models;
};

struct service {
  std::string name, probe;
  std::int64_t connections = 64;           // of all callers together
  double cold_seconds = 0, cold_rate = 0;  // requests a second that a cold engine bears; 0: no bound
  std::optional<model_engine> model;
};

// What a client may send: bytes and milliseconds.
struct limits {
  std::int64_t largest_head = 16384, largest_body = 4 << 20, header_patience = 3000, idle_patience = 15000;
  NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(limits, largest_head, largest_body, header_patience,
                                              idle_patience)
};

struct table {
  std::int64_t version = 0;  // the operator's number
  std::vector<route> routes;
  std::vector<service> services;
  routing::limits limits;
  const service* find_service(const std::string& name) const;
  // The longest prefix among the routes of this host; nothing: no such place.
  const route* match(const std::string& host, const std::string& path) const;
};

NLOHMANN_JSON_SERIALIZE_ENUM(category, {{category::mutating, "mutating"},
                                        {category::idempotent, "idempotent"},
                                        {category::streaming, "streaming"}})
void to_json(json& document, const model_engine& from);
void from_json(const json& document, model_engine& to);
void to_json(json& document, const service& from);
void from_json(const json& document, service& to);
void to_json(json& document, const table& from);
void from_json(const json& document, table& to);

// Where a table is wrong: a JSON pointer into the product's form, and what stands against it.
struct violation {
  std::string pointer, what;
};
// Unknown services, two routes in one place, shares that add up to 0, no deadline.
std::vector<violation> check(const table& content);

}  // namespace herontally::routing
