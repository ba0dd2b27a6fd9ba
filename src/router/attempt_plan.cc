#include "router/attempt_plan.h"

#include <algorithm>
#include <limits>

namespace herontally::router {

std::vector<std::string> part_keys(const platform_protocol::request_metadata& metadata,
                                   const routing::route& route) {
  std::vector<std::string> keys;
  // Keys begin with the model: a cache computed with one model's weights is useless to another model.
  std::string chain = metadata.model;
  for (auto& part : metadata.parts) {
    chain += "/" + part.id;
    keys.push_back(chain);
  }
  if (keys.empty() && route.affine && !metadata.affinity.empty())
    keys.push_back("thing/" + metadata.affinity);
  return keys;
}

const routing::service* draw_service(const routing::route& route, const routing::table& table,
                                     std::mt19937_64& random) {
  std::int64_t total = 0;
  for (auto& each : route.targets) total += std::max<std::int64_t>(0, each.share);
  if (total <= 0) return nullptr;
  auto drawn = static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(total));
  for (auto& each : route.targets) {
    drawn -= std::max<std::int64_t>(0, each.share);
    if (drawn < 0) return table.find_service(each.service);
  }
  return nullptr;
}

static std::int64_t tokens_before(const platform_protocol::request_metadata& metadata, std::size_t parts) {
  std::int64_t tokens = 0;
  if (metadata.parts.empty()) return static_cast<std::int64_t>(parts);
  for (std::size_t position = 0; position < parts && position < metadata.parts.size(); ++position)
    tokens += metadata.parts[position].tokens;
  return tokens;
}

std::variant<plan, no_plan> make_plan(const planning_request& request, engine_pool& engines,
                                      const planning_context& context, std::mt19937_64& random) {
  plan result;
  result.version = context.table.version;
  result.attempt = request.attempt;
  result.parts = part_keys(request.metadata, request.route);
  auto prompt = tokens_before(request.metadata, result.parts.size());
  auto candidates = engines.candidates(request.service, context.evacuated_zones, context.zone, context.group,
                                       context.wall, prompt, context.now);
  for (auto& each : candidates)
    each.cached_blocks = static_cast<std::size_t>(tokens_before(
        request.metadata, engines.prefixes().cached_prefix_length(each.number, result.parts, context.now)));
  placement::placement_request placement_input;
  // Lengths are known per part and not per block, so a block is one token here.
  placement_input.block_tokens = 1;
  placement_input.prompt_tokens = static_cast<std::size_t>(prompt);
  // Load is compared in steps (see engine_pool::candidates); the engines' capacity is checked below.
  placement_input.max_concurrent = std::numeric_limits<std::int64_t>::max();
  // Keeps all nodes together below the engine's connection limit, also while two more nodes are being added.
  auto connections =
      std::max<std::int64_t>(2, request.service.connections / (std::max<std::int64_t>(1, context.nodes) + 2));
  for (auto& each : candidates) {
    auto capacity = engines.entry(each.number).listed.capacity;
    each.live = each.live && each.in_flight < std::min(capacity, connections);
  }
  placement_input.warm_seconds = 0;  // engines in slow start are limited by their rate instead
  if (request.service.model)
    placement_input.min_cached_token_delta = request.service.model->min_cached_token_delta;
  placement_input.avoid = request.avoid;
  auto choice = placement::place(placement_input, candidates, random);
  // Being full, in slow start or on probation passes; an engine that drains or is gone doesn't return.
  bool any_usable = engines.count_usable(request.service.name, context.evacuated_zones, context.now) > 0;
  if (!choice) return any_usable ? no_plan::busy : no_plan::no_engine;
  auto& destination = candidates[choice->destination];
  result.engine = destination.number;
  result.engine_id = destination.name;
  result.address = destination.address;
  result.uncached_tokens = prompt - static_cast<std::int64_t>(destination.cached_blocks);
  result.cached_tokens = static_cast<std::int64_t>(destination.cached_blocks);
  if (choice->source) {
    result.source = candidates[*choice->source].name;
    result.source_tokens = static_cast<std::int64_t>(choice->source_blocks);
  }
  result.connections = static_cast<std::size_t>(connections);
  return result;
}

}  // namespace herontally::router
