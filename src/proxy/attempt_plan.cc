#include "proxy/attempt_plan.h"

namespace herontally::proxy {

using runtime::millisecond;
using runtime::second;

std::vector<placement::engine> engines_of(const std::vector<engine::engine_state>& rows,
                                          const std::string& kind, const std::string& partner,
                                          const std::string& serves, const planning_context& context) {
  std::vector<placement::engine> engines;
  for (auto& row : rows) {
    if (row.kind != kind || row.partner != partner || row.serves != serves) continue;
    placement::engine each;
    each.number = row.number;
    each.name = row.name;
    each.zone = row.zone;
    each.address = row.address;
    each.weights = row.weights;
    each.live = row.listed && row.healthy;
    each.draining = row.draining_by_platform || row.draining_by_engine;
    each.evacuated = context.config.evacuated_zones.contains(row.zone);
    each.reported = row.queue + row.running;
    each.queue = row.queue;
    each.sent_since_report = row.sent_since_report;
    each.in_flight = row.in_flight;
    each.our_pulls_from = row.our_pulls_from;
    each.our_pulls_into = row.our_pulls_into;
    each.age_seconds = static_cast<double>(context.now - row.first_ready) / second;
    engines.push_back(std::move(each));
  }
  return engines;
}

static prefix::identity identity_of(const turn_subject& subject) {
  prefix::identity identity;
  identity.partner = subject.partner;
  identity.model = subject.model.name;
  identity.weights = subject.model.weights;
  identity.hash_seed = subject.model.hash_seed;
  identity.block_tokens = subject.model.block_tokens;
  identity.shared_tokens = subject.shared_tokens;
  identity.program = subject.program;
  return identity;
}

// What both kinds of plans share: the caps are divided among the proxies.
static void share_caps(placement::placement_request& asked, const planning_context& context) {
  asked.proxies = context.ranks.proxies;
  asked.rank = context.ranks.rank;
  asked.proxies_before = context.ranks.previous_proxies;
  asked.rank_before = context.ranks.previous_rank;
  asked.avoid = context.avoid;
}

static placement::placement_request question_of(const turn_subject& subject,
                                                const planning_context& context) {
  placement::placement_request asked;
  asked.weights = subject.model.weights;
  asked.block_tokens = subject.model.block_tokens;
  asked.prompt_tokens = subject.prompt.size();
  asked.near_tie_tokens = subject.model.near_tie_tokens;
  asked.max_concurrent = subject.model.turns_per_engine;
  asked.slow_start_concurrent = subject.model.cold_turns;
  asked.max_pulls_per_source = subject.model.max_pulls_per_source;
  asked.max_pulls_per_destination = subject.model.max_pulls_per_destination;
  asked.warm_seconds = subject.model.warm_seconds;
  share_caps(asked, context);
  asked.table = context.config.partners.at(subject.partner).table_of(subject.settings.table);
  // A sharing table's lead goes before the model's own.
  asked.min_cached_token_delta = subject.model.min_cached_token_delta;
  auto own = asked.table.min_cached_token_delta.find(subject.model.name);
  if (own != asked.table.min_cached_token_delta.end()) asked.min_cached_token_delta = own->second;
  return asked;
}

// Names the source of a pull: `source_blocks` is what it is believed to hold.
static void name_source(turn_plan& plan, const placement::engine& source, std::size_t source_blocks,
                        double pull_seconds) {
  plan.source = source.number;
  plan.expected_blocks = source_blocks - std::min(source_blocks, plan.destination_blocks);
  plan.order.source = source.address;
  // Only what the destination lacks is asked for.
  for (std::size_t position = plan.destination_blocks; position < source_blocks; ++position)
    plan.order.source_blocks.push_back(plan.hashes[position]);
  // Counted from the turn's arrival at its destination, and never longer than a lender that begins to leave
  // may still be asked for: 3 s less the age that our knowledge may have.
  plan.order.pull_milliseconds =
      std::min<std::int64_t>(max_pull_milliseconds, static_cast<std::int64_t>(pull_seconds * 1000));
}

std::variant<turn_plan, unplanned> plan_turn(const turn_subject& subject, const planning_context& context,
                                             const std::vector<engine::engine_state>& rows,
                                             const prefix::index& held, std::mt19937_64& random) {
  turn_plan plan;
  auto identity = identity_of(subject);
  plan.hashes = prefix::block_hashes(identity, subject.prompt);
  auto engines = engines_of(rows, "model", subject.partner, subject.model.name, context);
  for (auto& each : engines) {
    each.cached_blocks = held.leading(each.number, plan.hashes, context.now);
    each.belief = held.belief(each.number);
  }
  auto asked = question_of(subject, context);
  auto made = placement::place(asked, engines, random);
  if (!made) return placement::could_serve(asked, engines) ? unplanned::busy : unplanned::hopeless;
  const auto& destination = engines[made->destination];
  plan.config_revision = context.config.revision;
  plan.attempt = context.attempt;
  plan.destination = destination.number;
  plan.destination_name = destination.name;
  plan.destination_blocks = destination.cached_blocks;
  plan.deadline = subject.deadline;
  plan.lease_end = subject.lease_end;
  plan.order.address = destination.address;
  plan.order.model = subject.model.name;
  plan.order.request_id = subject.request_id;
  plan.order.prompt = subject.prompt;
  plan.order.most_tokens = subject.most_tokens;
  plan.order.identity = identity;
  if (made->source)
    name_source(plan, engines[*made->source], made->source_blocks, subject.model.pull_seconds);
  return plan;
}

std::optional<call_plan> plan_call(const call_subject& subject, const planning_context& context,
                                   const std::vector<engine::engine_state>& rows, std::mt19937_64& random) {
  auto engines = engines_of(rows, "application", subject.partner, subject.route.application, context);
  placement::placement_request asked;
  asked.max_concurrent = subject.application.calls_per_engine;
  asked.warm_seconds = subject.application.warm_seconds;
  share_caps(asked, context);
  asked.table = context.config.partners.at(subject.partner).table_of(subject.route.table);
  auto made = placement::place(asked, engines, random);
  if (!made) return std::nullopt;
  const auto& destination = engines[made->destination];
  call_plan plan;
  plan.config_revision = context.config.revision;
  plan.attempt = context.attempt;
  plan.destination = destination.number;
  plan.destination_name = destination.name;
  plan.address = destination.address;
  plan.deadline = subject.deadline;
  plan.request.method = "POST";
  plan.request.path = subject.route.path;
  plan.request.body = subject.body;
  plan.request.headers["Content-Type"] = subject.content_type;
  plan.request.headers["X-Request-Id"] = subject.request_id;
  if (!subject.key.empty()) plan.request.headers["Idempotency-Key"] = subject.key;
  return plan;
}

}  // namespace herontally::proxy
