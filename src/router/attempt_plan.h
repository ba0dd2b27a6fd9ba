// The plan of one attempt: which engine takes a request and who could lend it what it lacks. Made as data,
// without I/O, then carried out as it stands.
#pragma once
#include <random>

#include "router/engine_pool.h"

namespace herontally::router {

struct planning_context {
  const routing::table& table;
  const std::set<std::string>& evacuated_zones;
  std::string zone;
  std::int64_t nodes = 1;  // that share the engines' caps on connections, this one included
  node_group group;        // that share the rates of cold engines
  microseconds now = 0, wall = 0;
};

struct subject {
  const routing::route& route;
  const routing::service& service;
  const platform_protocol::request_metadata& metadata;
  std::vector<interning::symbol> avoid;
  int attempt = 1;
};

struct plan {
  std::int64_t version = 0;  // of the routing table that it was made under
  int attempt = 1;
  interning::symbol engine = 0;
  std::string engine_id, address;
  std::optional<std::string> source;  // an engine that holds enough more of the prompt
  std::int64_t cached_tokens = 0, unread_tokens = 0, source_tokens = 0;
  std::vector<std::string> parts;  // what the engine keeps afterwards, in the prefix index's keys
  std::size_t connections = 1;     // to this engine, of this node
};

// Why there is no plan: engines are busy or out of use for a moment, or none is there that could take it.
enum class unplanned { busy, hopeless };

// Keys of the prompt's parts, each chained to those before it and to the model: a part counts as kept only
// behind all that stands before it.
std::vector<std::string> part_keys(const platform_protocol::request_metadata& metadata,
                                   const routing::route& route);

std::variant<plan, unplanned> make_plan(const subject& asked, engine_pool& engines,
                                        const planning_context& context, std::mt19937_64& random);

// One of a route's services, drawn by their shares.
const routing::service* draw_service(const routing::route& route, const routing::table& table,
                                     std::mt19937_64& random);

}  // namespace herontally::router
