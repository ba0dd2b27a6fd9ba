#include "router/attempt_plan.h"

#include <algorithm>
#include <limits>

namespace herontally::router {

std::vector<std::string> part_keys(const platform_protocol::request_metadata& metadata,
                                   const routing::route& route) {
  std::vector<std::string> keys;
  // The model stands in front: what was computed under one model's weights is nothing to another.
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

std::variant<plan, unplanned> make_plan(const subject& asked, engine_pool& engines,
                                        const planning_context& context, std::mt19937_64& random) {
  plan made;
  made.version = context.table.version;
  made.attempt = asked.attempt;
  made.parts = part_keys(asked.metadata, asked.route);
  auto prompt = tokens_before(asked.metadata, made.parts.size());
  auto all = engines.candidates(asked.service, context.evacuated_zones, context.zone, context.group,
                                context.wall, prompt, context.now);
  for (auto& each : all)
    each.cached_blocks = static_cast<std::size_t>(
        tokens_before(asked.metadata, engines.prefixes().leading(each.number, made.parts, context.now)));
  placement::placement_request question;
  // Lengths are known by part, so that a block is one token here.
  question.block_tokens = 1;
  question.prompt_tokens = static_cast<std::size_t>(prompt);
  // Work is compared in steps (see engine_pool); that an engine has places left is looked at here.
  question.max_concurrent = std::numeric_limits<std::int64_t>::max();
  // All nodes together stay under the engine's cap on connections, also while some more are being added.
  auto connections =
      std::max<std::int64_t>(2, asked.service.connections / (std::max<std::int64_t>(1, context.nodes) + 2));
  for (auto& each : all) {
    auto capacity = engines.row(each.number).listed.capacity;
    each.live = each.live && each.in_flight < std::min(capacity, connections);
  }
  question.warm_seconds = 0;  // cold engines are held back by their rate
  if (asked.service.model) question.min_cached_token_delta = asked.service.model->min_cached_token_delta;
  question.avoid = asked.avoid;
  auto choice = placement::place(question, all, random);
  // Full, cold or out of use for a moment: that passes; an engine that leaves or is gone doesn't come back.
  bool some = engines.usable(asked.service.name, context.evacuated_zones, context.now) > 0;
  if (!choice) return some ? unplanned::busy : unplanned::hopeless;
  auto& destination = all[choice->destination];
  made.engine = destination.number;
  made.engine_id = destination.name;
  made.address = destination.address;
  made.unread_tokens = prompt - static_cast<std::int64_t>(destination.cached_blocks);
  made.cached_tokens = static_cast<std::int64_t>(destination.cached_blocks);
  if (choice->source) {
    made.source = all[*choice->source].name;
    made.source_tokens = static_cast<std::int64_t>(choice->source_blocks);
  }
  made.connections = static_cast<std::size_t>(connections);
  return made;
}

}  // namespace herontally::router
