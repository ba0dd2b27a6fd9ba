// Processes an admitted request: reads the ledger (token reservation and chain of earlier turns), then makes
// one attempt after another until the request is answered or rejected. One attempt is carried out in
// attempt.cc.
#include "router/request_router_state.h"

namespace herontally::router {

using ledger::chain_status;
using ledger::program_reservation;

namespace {

// A majority answers within milliseconds; after this time another node serves the client better.
constexpr microseconds max_ledger_wait = 1200 * millisecond;
// Upper bound on all attempts: those that reached no engine don't count against the route's `max_attempts`.
constexpr int max_attempts = 6;

// Less than half (2/5) of the client's time: the rest is left for its next try.
microseconds ledger_deadline(const client_exchange& exchange) {
  auto share = (exchange.deadline - exchange.arrived) * 2 / 5;
  return exchange.arrived + std::min(max_ledger_wait, share);
}

task<> reserve_into(ledger::program_ledger programs, client_exchange_pointer exchange, microseconds until,
                    runtime::slot<program_reservation> done) {
  auto result =
      co_await programs.reserve(exchange->ledger_id(exchange->metadata.program), exchange->metadata.attempt,
                                exchange->metadata.budget, exchange->metadata.most_tokens, until);
  done.set(result);
}

bool is_budgeted(const client_exchange& exchange) {
  return !exchange.metadata.program.empty() && exchange.metadata.budget >= 0 &&
         exchange.route.kind == routing::category::streaming;
}

std::size_t chain_size(const ledger::chain_result& chain) {
  std::size_t size = 0;
  for (auto& turn : chain.turns) size += turn.input.size() + turn.output.size();
  return size;
}

// Concatenates the earlier turns of the chain, unchanged, and the new request body.
std::string body_with_chain(const ledger::chain_result& chain, const std::string& body) {
  std::string whole;
  whole.reserve(chain_size(chain) + body.size());
  for (auto& turn : chain.turns) {
    whole += turn.input;
    whole += turn.output;
  }
  whole += body;
  return whole;
}

// The body as sent to the engine. The request's own body is kept only where it is stored as a turn.
std::string take_engine_body(client_exchange& exchange, const ledger::chain_result& chain) {
  if (exchange.route.stores_turns) return body_with_chain(chain, exchange.request.body);
  return std::move(exchange.request.body);
}

// Engines that share a table of operation keys run an operation once, no matter how often it is sent.
bool is_deduplicated(const client_exchange& exchange) {
  return exchange.operation && exchange.operation->deduplicated && exchange.service.deduplicates;
}

bool is_repeatable(const client_exchange& exchange) {
  bool resumable = exchange.route.kind == routing::category::streaming && exchange.route.resumable;
  return exchange.route.kind == routing::category::idempotent || resumable || is_deduplicated(exchange);
}

}  // namespace

std::optional<rejection> request_router::state::check_ledger(const client_exchange& exchange, bool budgeted,
                                                             program_reservation reserved,
                                                             const ledger::chain_result& chain) const {
  if (budgeted && reserved == program_reservation::budget_spent)
    return rejection{402, "the program's budget is spent"};
  if (budgeted && !exchange.reserved) return rejection{503, "the ledger can't be reached by a majority", 300};
  if (chain.status == chain_status::missing) return rejection{404, "no such turn"};
  if (chain.status == chain_status::unreachable)
    return rejection{503, "the kept turns can't be read now", 300};
  return std::nullopt;
}

task<bool> request_router::state::prepare(client_exchange_pointer exchange) {
  auto self = shared_from_this();
  auto until = self->shutdown.limit_to_shutdown(ledger_deadline(*exchange));
  bool budgeted = is_budgeted(*exchange);
  runtime::slot<program_reservation> reserving(self->runtime);
  // The reservation and the chain are requested concurrently: they are independent.
  if (budgeted) self->runtime.spawn(reserve_into(self->programs, exchange, until, reserving));
  ledger::chain_result chain;
  chain.status = chain_status::found;
  bool continues = exchange->route.stores_turns && !exchange->metadata.previous.empty();
  if (continues)
    chain = co_await self->programs.read_chain(exchange->ledger_id(exchange->metadata.previous), until);
  auto reserved = program_reservation::granted;
  if (budgeted) {
    reserved = co_await reserving.wait();
    exchange->reserved = reserved == program_reservation::granted;
  }
  if (auto refusal = self->check_ledger(*exchange, budgeted, reserved, chain)) {
    self->reject(exchange, *refusal);
    co_return false;
  }
  // The chain, and a copy of it on its way to an engine.
  if (!exchange->reserve_memory(2 * chain_size(chain))) {
    self->reject(exchange, {503, "no memory for the kept turns", 300});
    co_return false;
  }
  exchange->body = take_engine_body(*exchange, chain);
  exchange->chain_expires_at = ledger::earliest_retention_end(chain);
  co_return true;
}

task<> request_router::state::process(client_exchange_pointer exchange) {
  auto self = shared_from_this();
  bool prepared = co_await self->prepare(exchange);
  if (prepared) prepared = co_await self->claim_operation(exchange);
  if (prepared) co_await self->run_attempts(exchange);
}

task<> request_router::state::run(client_exchange_pointer exchange) {
  auto self = shared_from_this();
  auto failure = co_await runtime::failure_of(self->process(exchange));
  if (failure) {
    constexpr int internal_error = 500;
    http_api::report_failure(self->logger, *failure);
    // How far the request got is unknown.
    exchange->may_have_run = true;
    self->reject(exchange, {internal_error, "internal error"});
  }
  if (must_release_claim(*exchange))
    self->runtime.spawn(self->release_operation(exchange, take_claim(*exchange)));
  // Charges the tokens that were sent to the client, without waiting for the ledger's reply.
  if (exchange->reserved) self->runtime.spawn(self->settle(exchange));
}

task<> request_router::state::settle(client_exchange_pointer exchange) {
  constexpr microseconds settle_timeout = 5 * second;
  auto self = shared_from_this();
  std::int64_t event_tokens = exchange->service.model ? exchange->service.model->event_tokens : 1;
  auto result = co_await self->programs.settle(exchange->ledger_id(exchange->metadata.program),
                                               exchange->metadata.attempt, exchange->events * event_tokens,
                                               self->runtime.now() + settle_timeout);
  if (result != ledger::program_settlement::settled) self->logger.count("herontally_unsettled_turns_total");
}

// Updates the exchange's route and service from the current table, which may have changed since the last
// attempt. False: the request can't continue under the current table.
bool request_router::state::refresh_route(client_exchange& exchange) {
  const auto* route = find_route(exchange);
  if (!route || route->stores_turns != exchange.route.stores_turns || route->kind != exchange.route.kind)
    return false;
  exchange.route = *route;
  bool listed = false;
  for (auto& target : route->targets)
    listed = listed || (target.service == exchange.service.name && target.share > 0);
  // An operation stays with the service that its claim names.
  if (!listed && exchange.operation) return false;
  const auto* service =
      listed ? table.find_service(exchange.service.name) : draw_service(*route, table, runtime.random());
  if (!service) return false;
  exchange.service = *service;
  return true;
}

std::optional<rejection> request_router::state::check_before_attempt(client_exchange& exchange, int attempt) {
  if (runtime.now() >= exchange.deadline) {
    bool reached = exchange.reached_engine;
    return rejection{reached ? 504 : 503, "the time is over", reached ? 0 : 100};
  }
  if (shutdown.is_over(runtime.now()))
    return rejection{503, "this node is ending", shutdown_retry_milliseconds};
  const auto* route = find_route(exchange);
  bool unchanged =
      route && route->stores_turns == exchange.route.stores_turns && route->kind == exchange.route.kind;
  if (unchanged && attempt > 1) unchanged = refresh_route(exchange);
  if (!unchanged) return rejection{503, "the route has changed", 50};
  // The credential may have been revoked while the request waited.
  auto identified = identify_caller(exchange);
  if (auto* refusal = std::get_if<rejection>(&identified)) return *refusal;
  if (std::get<caller_identity>(identified).tenant != exchange.tenant)
    return rejection{503, "the tenant has changed", 50};
  return std::nullopt;
}

task<planning_result> request_router::state::plan_attempt(client_exchange_pointer exchange,
                                                          std::vector<interning::symbol> avoid, int attempt) {
  auto self = shared_from_this();
  planning_request asked{exchange->route, exchange->service, exchange->metadata, std::move(avoid), attempt};
  auto planned = make_plan(asked, self->engines, self->make_planning_context(), self->runtime.random());
  if (auto* attempt_plan = std::get_if<plan>(&planned)) co_return std::move(*attempt_plan);
  if (std::get<no_plan>(planned) == no_plan::no_engine) {
    self->reject(exchange, {503, "no engine can take it", 300});
    co_return planning_failure::rejected;
  }
  // Waits at most a fifth of the latency target for an engine: another node may have capacity.
  auto until =
      std::min(exchange->deadline, exchange->arrived + exchange->route.latency_target * millisecond / 5);
  bool notified = co_await self->wait_for_capacity(until, exchange->urgency);
  if (notified) co_return planning_failure::try_again;
  self->reject(exchange, {503, "all engines are busy", 100});
  co_return planning_failure::rejected;
}

static bool may_have_run(attempt_outcome outcome) {
  bool not_run = outcome == attempt_outcome::not_run || outcome == attempt_outcome::in_progress;
  bool not_sent = outcome == attempt_outcome::not_sent || outcome == attempt_outcome::wrong_engine;
  return !not_run && !not_sent;
}

// The rejection that ends the request after a failed attempt; without a value another attempt follows.
static std::optional<rejection> rejection_after(attempt_outcome outcome, const client_exchange& exchange,
                                                int tries) {
  if (outcome == attempt_outcome::deadline_exceeded)
    return rejection{504, "the engine did not answer in time"};
  if (outcome == attempt_outcome::no_memory) return rejection{502, "no memory for the engine's answer"};
  if (outcome == attempt_outcome::in_progress) return rejection{409, "the operation is in progress", 100};
  bool not_run = outcome == attempt_outcome::not_run;
  bool retry = tries < exchange.route.max_attempts && (not_run || is_repeatable(exchange));
  if (retry) return std::nullopt;
  if (not_run) return rejection{503, "the engine is full", 60};
  return rejection{502, "the engine's answer was lost"};
}

task<> request_router::state::run_attempts(client_exchange_pointer exchange) {
  auto self = shared_from_this();
  std::vector<interning::symbol> avoid;
  int tries = 0;
  for (int attempt = 1; attempt <= max_attempts;) {
    if (exchange->client_disconnected || exchange->out->closed()) co_return;
    if (auto refusal = self->check_before_attempt(*exchange, attempt)) {
      self->reject(exchange, *refusal);
      co_return;
    }
    auto planned = co_await self->plan_attempt(exchange, avoid, attempt);
    auto* attempt_plan = std::get_if<plan>(&planned);
    if (!attempt_plan && std::get<planning_failure>(planned) == planning_failure::try_again) continue;
    if (!attempt_plan) co_return;
    avoid.push_back(attempt_plan->engine);
    ++attempt;
    auto outcome = co_await self->run_attempt(exchange, std::move(*attempt_plan));
    bool finished = outcome == attempt_outcome::answered || outcome == attempt_outcome::client_disconnected ||
                    outcome == attempt_outcome::stream_cut;
    exchange->may_have_run = exchange->may_have_run || may_have_run(outcome);
    if (outcome == attempt_outcome::answered)
      self->durations.record(exchange->route.name, self->runtime.now() - exchange->arrived,
                             self->runtime.now());
    if (finished) co_return;
    // Nothing listens at the address, or another engine instance does: this doesn't count as a try.
    if (outcome == attempt_outcome::not_sent || outcome == attempt_outcome::wrong_engine) continue;
    ++tries;
    if (auto end = rejection_after(outcome, *exchange, tries)) {
      self->reject(exchange, *end);
      co_return;
    }
  }
  bool reached = exchange->reached_engine;
  self->reject(exchange, {reached ? 502 : 503, "no engine could be reached", reached ? 0 : 100});
}

}  // namespace herontally::router
