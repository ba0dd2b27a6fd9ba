// Plans one attempt: which engine gets the request, and which engine could supply missing cached tokens. A
// plan is plain data, made without I/O; attempt.cc carries it out unchanged.
#pragma once
#include <random>

#include "router/engine_pool.h"

namespace herontally::router {

// The router's state that a plan depends on. Times in microseconds: `now` of the steady clock, `wall` since
// 1970.
struct planning_context {
  const routing::table& table;
  const std::set<std::string>& evacuated_zones;
  std::string zone;        // of this node
  std::int64_t nodes = 1;  // that share the engines' connection limits, including this one
  node_group group;        // nodes that share the rate limit of engines in slow start
  microseconds now = 0, wall = 0;
};

// The request to plan for.
struct planning_request {
  const routing::route& route;
  const routing::service& service;
  const platform_protocol::request_metadata& metadata;
  std::vector<interning::symbol> avoid;  // engines that earlier attempts were made at
  int attempt = 1;
};

// Where the request goes. Lengths in tokens, of the prompt.
struct plan {
  std::int64_t version = 0;  // of the routing table that the plan was made with
  int attempt = 1;
  interning::symbol engine = 0;
  std::string engine_id, address;
  std::optional<std::string> source;  // id of an engine that holds sufficiently more of the prompt
  std::int64_t cached_tokens = 0, uncached_tokens = 0, source_tokens = 0;
  std::vector<std::string> parts;  // keys in the prefix index of what the engine will have cached afterwards
  std::size_t connections = 1;     // limit of this node's connections to the engine
};

// Why there is no plan. busy: every usable engine is full, in slow start or on probation, which
// passes. no_engine: no engine is usable (see engine_pool::count_usable).
enum class no_plan { busy, no_engine };

// Keys of the prompt's parts in the prefix index. Each key includes the model and all parts before it: a part
// counts as cached only after the same prefix.
std::vector<std::string> part_keys(const platform_protocol::request_metadata& metadata,
                                   const routing::route& route);

// Chooses an engine among those of the request's service. Counts nothing: the caller reports the request to
// `engines` once it is sent.
std::variant<plan, no_plan> make_plan(const planning_request& request, engine_pool& engines,
                                      const planning_context& context, std::mt19937_64& random);

// Draws one of the route's services at random, weighted by their shares. nullptr: no target has a positive
// share, or the table doesn't have the service.
const routing::service* draw_service(const routing::route& route, const routing::table& table,
                                     std::mt19937_64& random);

}  // namespace herontally::router
