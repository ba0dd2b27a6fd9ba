#include "proxy/attempt_plan.h"

namespace herontally::proxy {

using runtime::millisecond;
using runtime::second;

std::vector<placement::engine> placement_engines(const std::vector<engine::engine_state>& rows,
                                                 const std::string& kind, const std::string& partner,
                                                 const std::string& serves, const planning_context& context) {
  std::vector<placement::engine> engines;
  for (auto& row : rows) {
    if (row.kind != kind || row.partner != partner || row.serves != serves) continue;
    placement::engine engine;
    engine.number = row.number;
    engine.name = row.name;
    engine.zone = row.zone;
    engine.address = row.address;
    engine.weights = row.weights;
    engine.live = row.listed && row.healthy;
    engine.draining = row.draining_by_platform || row.draining_by_engine;
    engine.evacuated = context.config.evacuated_zones.contains(row.zone);
    engine.reported = row.queue + row.running;
    engine.queue = row.queue;
    engine.sent_since_report = row.sent_since_report;
    engine.in_flight = row.in_flight;
    engine.pulls_as_source = row.pulls_as_source;
    engine.pulls_as_destination = row.pulls_as_destination;
    engine.age_seconds = static_cast<double>(context.now - row.first_ready) / second;
    engines.push_back(std::move(engine));
  }
  return engines;
}

static prefix::identity identity_of(const turn_plan_input& input) {
  prefix::identity identity;
  identity.partner = input.partner;
  identity.model = input.model.name;
  identity.weights = input.model.weights;
  identity.hash_seed = input.model.hash_seed;
  identity.block_tokens = input.model.block_tokens;
  identity.shared_tokens = input.shared_tokens;
  identity.program = input.program;
  return identity;
}

// Sets the fields common to turns and calls: this proxy's share of the engines' caps, and engines to avoid.
static void set_common_fields(placement::placement_request& request, const planning_context& context) {
  request.proxies = context.ranks.proxies;
  request.rank = context.ranks.rank;
  request.previous_proxies = context.ranks.previous_proxies;
  request.previous_rank = context.ranks.previous_rank;
  request.avoid = context.avoid;
}

static placement::placement_request placement_request_for(const turn_plan_input& input,
                                                          const planning_context& context) {
  placement::placement_request request;
  request.weights = input.model.weights;
  request.block_tokens = input.model.block_tokens;
  request.prompt_tokens = input.prompt.size();
  request.near_tie_tokens = input.model.near_tie_tokens;
  request.max_concurrent = input.model.turns_per_engine;
  request.slow_start_concurrent = input.model.cold_turns;
  request.max_pulls_per_source = input.model.max_pulls_per_source;
  request.max_pulls_per_destination = input.model.max_pulls_per_destination;
  request.warm_seconds = input.model.warm_seconds;
  set_common_fields(request, context);
  request.table = context.config.partners.at(input.partner).table_of(input.settings.table);
  // A minimum in the sharing table takes precedence over the model's own.
  request.min_cached_token_delta = input.model.min_cached_token_delta;
  auto table_delta = request.table.min_cached_token_delta.find(input.model.name);
  if (table_delta != request.table.min_cached_token_delta.end())
    request.min_cached_token_delta = table_delta->second;
  return request;
}

// Makes the plan pull from `source`, which is believed to hold the first `source_blocks` blocks of the
// prompt.
static void set_source(turn_plan& plan, const placement::engine& source, std::size_t source_blocks,
                       double pull_seconds) {
  plan.source = source.number;
  plan.expected_blocks = source_blocks - std::min(source_blocks, plan.destination_blocks);
  plan.request.source = source.address;
  // Request only the blocks that the destination lacks.
  for (std::size_t position = plan.destination_blocks; position < source_blocks; ++position)
    plan.request.source_blocks.push_back(plan.hashes[position]);
  // The destination counts this time from the turn's arrival. A source that starts draining may be asked for
  // 3 s; the bound is below that by the maximum age of this proxy's knowledge.
  plan.request.pull_milliseconds =
      std::min<std::int64_t>(max_pull_milliseconds, static_cast<std::int64_t>(pull_seconds * 1000));
}

std::variant<turn_plan, plan_failure> plan_turn(const turn_plan_input& input, const planning_context& context,
                                                const std::vector<engine::engine_state>& rows,
                                                const prefix::index& prefixes, std::mt19937_64& random) {
  turn_plan plan;
  auto identity = identity_of(input);
  plan.hashes = prefix::block_hashes(identity, input.prompt);
  auto engines = placement_engines(rows, "model", input.partner, input.model.name, context);
  for (auto& engine : engines) {
    engine.cached_blocks = prefixes.cached_prefix_length(engine.number, plan.hashes, context.now);
    engine.prediction_accuracy = prefixes.prediction_accuracy(engine.number);
  }
  auto request = placement_request_for(input, context);
  auto choice = placement::place(request, engines, random);
  if (!choice)
    return placement::has_eligible_engine(request, engines) ? plan_failure::no_capacity
                                                            : plan_failure::no_usable_engine;
  const auto& destination = engines[choice->destination];
  plan.config_revision = context.config.revision;
  plan.attempt = context.attempt;
  plan.destination = destination.number;
  plan.destination_name = destination.name;
  plan.destination_blocks = destination.cached_blocks;
  plan.deadline = input.deadline;
  plan.lease_end = input.lease_end;
  plan.request.address = destination.address;
  plan.request.model = input.model.name;
  plan.request.request_id = input.request_id;
  plan.request.prompt = input.prompt;
  plan.request.max_tokens = input.max_tokens;
  plan.request.identity = identity;
  if (choice->source)
    set_source(plan, engines[*choice->source], choice->source_blocks, input.model.pull_seconds);
  return plan;
}

std::optional<call_plan> plan_call(const call_plan_input& input, const planning_context& context,
                                   const std::vector<engine::engine_state>& rows, std::mt19937_64& random) {
  auto engines = placement_engines(rows, "application", input.partner, input.route.application, context);
  placement::placement_request request;
  request.max_concurrent = input.application.calls_per_engine;
  request.warm_seconds = input.application.warm_seconds;
  set_common_fields(request, context);
  request.table = context.config.partners.at(input.partner).table_of(input.route.table);
  auto choice = placement::place(request, engines, random);
  if (!choice) return std::nullopt;
  const auto& destination = engines[choice->destination];
  call_plan plan;
  plan.config_revision = context.config.revision;
  plan.attempt = context.attempt;
  plan.destination = destination.number;
  plan.destination_name = destination.name;
  plan.address = destination.address;
  plan.deadline = input.deadline;
  plan.request.method = "POST";
  plan.request.path = input.route.path;
  plan.request.body = input.body;
  plan.request.headers["Content-Type"] = input.content_type;
  plan.request.headers["X-Request-Id"] = input.request_id;
  if (!input.key.empty()) plan.request.headers["Idempotency-Key"] = input.key;
  return plan;
}

}  // namespace herontally::proxy
