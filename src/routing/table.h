// The routing table: which request goes to which service, and on what terms. Part of the configuration, in
// the product's own form; JSON keys are part of the stored data and stay as they are.
#pragma once
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "serialization/json_fields.h"

namespace herontally::routing {

using json = nlohmann::json;

enum class category {
  idempotent,  // may be sent to several engines
  mutating,    // is sent to one engine once
  streaming,   // answered event by event
  keyed,       // requests of one tenant under one operation key are one operation, which runs once
};
NLOHMANN_JSON_SERIALIZE_ENUM(category, {{category::mutating, "mutating"},
                                        {category::idempotent, "idempotent"},
                                        {category::streaming, "streaming"},
                                        {category::keyed, "keyed"}})

// One service among those that a route's requests are spread over; shares are relative.
struct target {
  std::string service;
  std::int64_t share = 1;

  static constexpr bool missing_keys_allowed = true;
  static constexpr auto json_fields() {
    using serialization::json_field;
    return std::make_tuple(json_field(&target::service, "service"), json_field(&target::share, "share"));
  }
};

// Times are in milliseconds; 0: not given.
struct route {
  std::string name, host, prefix;
  category kind = category::mutating;
  std::int64_t deadline = 0;         // by which a request must be answered
  std::int64_t latency_target = 0;   // by which it should be
  std::int64_t urgency = 0;          // 0: the most urgent
  std::int64_t tries = 1;            // engines that a request may be sent to
  std::int64_t interval_target = 0;  // between two events of a stream
  std::int64_t keep = 0;             // how long kept turns are kept
  std::vector<target> targets;
  bool kept = false;       // the system holds what was said and builds the prompt from it
  bool affine = false;     // an engine that has seen the thing lately works faster
  bool resumable = false;  // a cut stream may be gone on with at another engine
  bool anonymous = false;  // requests need no credential

  static constexpr bool missing_keys_allowed = true;
  static constexpr auto json_fields() {
    using serialization::json_field;
    return std::make_tuple(json_field(&route::name, "name"), json_field(&route::host, "host"),
                           json_field(&route::prefix, "prefix"), json_field(&route::kind, "kind"),
                           json_field(&route::deadline, "deadline"),
                           json_field(&route::latency_target, "aim"), json_field(&route::urgency, "urgency"),
                           json_field(&route::tries, "tries"), json_field(&route::interval_target, "gap"),
                           json_field(&route::keep, "keep"), json_field(&route::targets, "targets"),
                           json_field(&route::kept, "kept"), json_field(&route::affine, "affine"),
                           json_field(&route::resumable, "resumable"),
                           serialization::json_field_when_set(&route::anonymous, "anonymous"));
  }
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
  bool deduplicates = false;               // its engines share a table of operation keys
  std::optional<model_engine> model;
};

// Who sends requests, identified by a credential. The quota is over all nodes together.
struct tenant {
  std::string name;
  std::vector<std::string> credentials;
  std::int64_t urgency = 0;        // decides before the route's; 0: the most urgent
  double requests_per_second = 0;  // 0: no quota
  double burst_requests = 0;       // beyond the rate

  static constexpr bool missing_keys_allowed = true;
  static constexpr auto json_fields() {
    using serialization::json_field;
    return std::make_tuple(json_field(&tenant::name, "name"), json_field(&tenant::credentials, "credentials"),
                           json_field(&tenant::urgency, "urgency"),
                           json_field(&tenant::requests_per_second, "requests_per_second"),
                           json_field(&tenant::burst_requests, "burst_requests"));
  }
  bool has_quota() const { return requests_per_second > 0; }
};

// What a client may send: bytes and milliseconds.
struct limits {
  std::int64_t max_head_bytes = 16384, max_body_bytes = 4 << 20, header_timeout = 3000, idle_timeout = 15000;

  static constexpr bool missing_keys_allowed = true;
  static constexpr auto json_fields() {
    using serialization::json_field;
    return std::make_tuple(json_field(&limits::max_head_bytes, "largest_head"),
                           json_field(&limits::max_body_bytes, "largest_body"),
                           json_field(&limits::header_timeout, "header_patience"),
                           json_field(&limits::idle_timeout, "idle_patience"));
  }
};

struct table {
  std::int64_t version = 0;  // the operator's number
  std::vector<route> routes;
  std::vector<service> services;
  std::vector<tenant> tenants;  // empty: requests need no credential
  routing::limits limits;
  const service* find_service(const std::string& name) const;
  // The longest prefix among the routes of this host; nothing: no such place.
  const route* match(const std::string& host, const std::string& path) const;
};

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
// Unknown services, two routes in one place, shares that add up to 0, no deadline, a credential of two
// tenants.
std::vector<violation> check(const table& content);

}  // namespace herontally::routing
