// Builders for tests of the platform adapter: a valid configuration document, an adapter for the operator's
// calls, and requests of the operator.
#pragma once
#include <catch2/catch.hpp>

#include "platform/operator_calls.h"

namespace herontally::tests {

using json = nlohmann::json;

// A valid whole configuration with two routes and two services. One route has an unknown field, which must be
// kept.
inline json whole(int version = 7) {
  return {
      {"generation", version},
      {"routing", json::array({{{"label", "talk"},
                                {"authority", "a.example"},
                                {"path_prefix", "/talk/"},
                                {"category", "streaming"},
                                {"deadline_ms", 4000},
                                {"target_ms", 200},
                                {"urgency", 1},
                                {"mix", json::array({{{"backend", "chat"}, {"share", 90}},
                                                     {{"backend", "tool"}, {"share", 10}}})},
                                {"tries", 2},
                                {"retained", true},
                                {"retain_s", 60.0},
                                {"affine", true},
                                {"resumable", false},
                                {"gap_target_ms", 300}},
                               {{"label", "look"},
                                {"authority", "a.example"},
                                {"path_prefix", "/look/"},
                                {"category", "idempotent"},
                                {"deadline_ms", 1000},
                                {"backend", "tool"},
                                {"news_to_us", 5}}})},
      {"backends", json::array({{{"label", "chat"},
                                 {"probe", "/health"},
                                 {"max_conns", 360},
                                 {"warmup_s", 3.0},
                                 {"warmup_per_s", 22.5},
                                 {"engine",
                                  {{"capacity", 64},
                                   {"cache_tokens", 207117},
                                   {"chunk", 4},
                                   {"catalog", json::array({{{"label", "m"}}})}}}},
                                {{"label", "tool"}, {"probe", "/health"}, {"max_conns", 96}}})},
      {"caps", {{"header_bytes", 16384}, {"body_bytes", 4194304}, {"header_ms", 3000}, {"idle_ms", 15000}}}};
}

// An adapter with only the members for the operator's calls, the engine list and load reports.
inline platform_protocol::adapter operator_adapter() {
  platform_protocol::adapter made;
  platform::fill_operators(made);
  return made;
}

// A request of the operator.
inline runtime::inbound_request call(const std::string& method, const std::string& path,
                                     const std::string& body = "",
                                     const std::map<std::string, std::string>& headers = {}) {
  runtime::inbound_request incoming;
  incoming.method = method;
  incoming.path = path;
  incoming.body = body;
  incoming.headers = headers;
  return incoming;
}

// The JSON pointer of the first violation, "whole" if it concerns the whole document, "" if there is none.
inline std::string against(const std::string& body, const std::optional<std::string>& current = std::nullopt,
                           bool partial = false) {
  auto read = platform::read_configuration(current, {0, partial, body});
  auto* violations = std::get_if<std::vector<routing::violation>>(&read);
  if (!violations) return "";
  REQUIRE(!violations->empty());
  return violations->front().pointer.empty() ? "whole" : violations->front().pointer;
}
inline std::string against(const json& body) { return against(body.dump()); }
// Parses a document that must be valid.
inline platform_protocol::configuration read(const std::string& body,
                                             const std::optional<std::string>& current = std::nullopt,
                                             bool partial = false) {
  auto result = platform::read_configuration(current, {0, partial, body});
  REQUIRE(std::holds_alternative<platform_protocol::configuration>(result));
  return std::get<platform_protocol::configuration>(result);
}

}  // namespace herontally::tests
