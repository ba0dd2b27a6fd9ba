// The routing table: routes, services, tenants and limits on client requests, with their JSON form and their
// validation. The table chooses a route for a request; it doesn't choose an engine (see placement/). It is
// part of the stored configuration, so the JSON keys must not change; the platform's own format of the same
// settings is converted elsewhere.
#pragma once
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "serialization/json_fields.h"

namespace herontally::routing {

using json = nlohmann::json;

// How the requests of a route may be sent and answered.
enum class category {
  idempotent,  // may be sent to several engines
  mutating,    // must not be run more than once
  streaming,   // answered as a stream of events
  keyed,       // requests of a tenant with the same operation key are one operation, which runs once
};
NLOHMANN_JSON_SERIALIZE_ENUM(category, {{category::mutating, "mutating"},
                                        {category::idempotent, "idempotent"},
                                        {category::streaming, "streaming"},
                                        {category::keyed, "keyed"}})

// One of the services among which a route's requests are divided, in proportion to their shares.
struct target {
  std::string service;
  std::int64_t share = 1;

  static constexpr bool missing_keys_allowed = true;
  static constexpr auto json_fields() {
    using serialization::json_field;
    return std::make_tuple(json_field(&target::service, "service"), json_field(&target::share, "share"));
  }
};

// Maps the requests for a host and path prefix to services. Times are in milliseconds; 0: not set.
struct route {
  std::string name, host, prefix;
  category kind = category::mutating;
  std::int64_t deadline = 0;         // within which a request must be answered
  std::int64_t latency_target = 0;   // within which a request should be answered
  std::int64_t urgency = 0;          // 0: the most urgent
  std::int64_t max_attempts = 1;     // maximum number of engines that a request is sent to
  std::int64_t interval_target = 0;  // target for the time between two events of a stream
  std::int64_t retention = 0;        // how long turns are stored, if `stores_turns`
  std::vector<target> targets;
  bool stores_turns = false;  // conversations are stored, and prompts are built from the stored turns
  bool affine = false;        // engines that recently served the request's affinity key are faster
  bool resumable = false;     // an interrupted stream may be continued on another engine
  bool anonymous = false;     // requests need no credential

  static constexpr bool missing_keys_allowed = true;
  static constexpr auto json_fields() {
    using serialization::json_field;
    return std::make_tuple(json_field(&route::name, "name"), json_field(&route::host, "host"),
                           json_field(&route::prefix, "prefix"), json_field(&route::kind, "kind"),
                           json_field(&route::deadline, "deadline"),
                           json_field(&route::latency_target, "aim"), json_field(&route::urgency, "urgency"),
                           json_field(&route::max_attempts, "tries"),
                           json_field(&route::interval_target, "gap"), json_field(&route::retention, "keep"),
                           json_field(&route::targets, "targets"), json_field(&route::stores_turns, "kept"),
                           json_field(&route::affine, "affine"), json_field(&route::resumable, "resumable"),
                           serialization::json_field_when_set(&route::anonymous, "anonymous"));
  }
};

// Properties of the engines of a service that run models. `memory_tokens` is in tokens, `event_tokens` in
// tokens per event of a stream.
struct model_engine {
  std::int64_t capacity = 0, memory_tokens = 0, event_tokens = 1;
  std::optional<std::int64_t> min_cached_token_delta;  // nothing: no source of cached blocks is chosen
  std::vector<std::string> models;
};

// A group of engines that answer the same requests. `probe` is the path of the health check.
struct service {
  std::string name, probe;
  std::int64_t connections = 64;  // maximum per engine, over all nodes
  double slow_start_seconds = 0;
  double slow_start_rate = 0;  // requests per second to an engine during slow start; 0: unlimited
  bool deduplicates = false;   // its engines share one table of operation keys and deduplicate by them
  std::optional<model_engine> model;
};

// A sender of requests, identified by a credential. The quota applies to all nodes together.
struct tenant {
  std::string name;
  std::vector<std::string> credentials;
  std::int64_t urgency = 0;        // takes precedence over the route's; 0: the most urgent
  double requests_per_second = 0;  // 0: no quota
  double burst_requests = 0;       // requests allowed in a burst beyond the rate

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

// Limits on client connections: sizes of a request head and body in bytes, timeouts in milliseconds.
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

// A complete routing table. `check` reports what is wrong with it.
struct table {
  std::int64_t version = 0;  // set by the operator
  std::vector<route> routes;
  std::vector<service> services;
  std::vector<tenant> tenants;  // empty: requests need no credential
  routing::limits limits;
  // The service of this name; null if there is none.
  const service* find_service(const std::string& name) const;
  // The route of this host with the longest matching prefix; null if there is none. The host's case and port
  // are ignored.
  const route* match(const std::string& host, const std::string& path) const;
};

void to_json(json& document, const model_engine& from);
void from_json(const json& document, model_engine& to);
void to_json(json& document, const service& from);
void from_json(const json& document, service& to);
void to_json(json& document, const table& from);
void from_json(const json& document, table& to);

// An error in a table: a JSON pointer to it in the table's JSON form, and a message, which is part of HTTP
// responses.
struct violation {
  std::string pointer, what;
};
// Validates a table. Reports unknown services, duplicate names, two routes with the same host and prefix,
// routes without a target or a deadline, negative shares or only shares of 0, and credentials used by two
// tenants. Returns an empty list for a valid table.
std::vector<violation> check(const table& content);

}  // namespace herontally::routing
