// A request between its admission and its answer: what the ledger must say first, then one attempt after
// another.
#include "router/request_router_state.h"

namespace herontally::router {

using ledger::chain_status;
using ledger::program_reservation;

namespace {

// A majority answers within milliseconds; beyond this a client is better served by another node.
constexpr microseconds max_ledger_wait = 1200 * millisecond;
// Attempts that no engine heard of don't count as tries, but there is an end to them too.
constexpr int max_attempts = 6;

// Never for half of the time that the client has: the rest is for its next try.
microseconds ledger_deadline(const exchange& one) {
  auto share = (one.deadline - one.arrived) * 2 / 5;
  return one.arrived + std::min(max_ledger_wait, share);
}

task<> reserve_into(ledger::program_ledger programs, exchange_pointer one, microseconds until,
                    runtime::slot<program_reservation> done) {
  auto result = co_await programs.reserve(one->ledger_id(one->metadata.program), one->metadata.attempt,
                                          one->metadata.budget, one->metadata.most_tokens, until);
  done.set(result);
}

bool is_budgeted(const exchange& one) {
  return !one.metadata.program.empty() && one.metadata.budget >= 0 &&
         one.route.kind == routing::category::streaming;
}

// The turns before, as they were, and the new one.
std::string body_after(const ledger::chain_result& chain, const std::string& body) {
  std::string whole;
  for (auto& turn : chain.turns) {
    whole += turn.input;
    whole += turn.output;
  }
  return whole + body;
}

// Engines that share a table of operation keys run an operation once, however often it is sent.
bool is_deduplicated(const exchange& one) {
  return one.operation && one.operation->deduplicated && one.service.deduplicates;
}

bool is_repeatable(const exchange& one) {
  bool resumable = one.route.kind == routing::category::streaming && one.route.resumable;
  return one.route.kind == routing::category::idempotent || resumable || is_deduplicated(one);
}

}  // namespace

std::optional<rejection> request_router::state::check_ledger(const exchange& one, bool budgeted,
                                                             program_reservation reserved,
                                                             const ledger::chain_result& chain) const {
  if (budgeted && reserved == program_reservation::budget_spent)
    return rejection{402, "the program's budget is spent"};
  if (budgeted && !one.reserved) return rejection{503, "the ledger can't be reached by a majority", 300};
  if (chain.status == chain_status::missing) return rejection{404, "no such turn"};
  if (chain.status == chain_status::unreachable)
    return rejection{503, "the kept turns can't be read now", 300};
  return std::nullopt;
}

task<bool> request_router::state::prepare(exchange_pointer one) {
  auto self = shared_from_this();
  auto until = self->shutdown.bounded(ledger_deadline(*one));
  bool budgeted = is_budgeted(*one);
  runtime::slot<program_reservation> reserving(self->runtime);
  // The reservation and the chain are asked for at once: neither needs the other.
  if (budgeted) self->runtime.spawn(reserve_into(self->programs, one, until, reserving));
  ledger::chain_result chain;
  chain.status = chain_status::found;
  bool continues = one->route.kept && !one->metadata.previous.empty();
  if (continues) chain = co_await self->programs.read_chain(one->ledger_id(one->metadata.previous), until);
  auto reserved = program_reservation::granted;
  if (budgeted) {
    reserved = co_await reserving.wait();
    one->reserved = reserved == program_reservation::granted;
  }
  if (auto against = self->check_ledger(*one, budgeted, reserved, chain)) {
    self->reject(one, *against);
    co_return false;
  }
  one->body = body_after(chain, one->request.body);
  one->chain_kept_until = ledger::kept_until(chain);
  co_return true;
}

task<> request_router::state::answer(exchange_pointer one) {
  auto self = shared_from_this();
  bool prepared = co_await self->prepare(one);
  if (prepared) prepared = co_await self->claim_operation(one);
  if (prepared) co_await self->run_attempts(one);
}

task<> request_router::state::run(exchange_pointer one) {
  auto self = shared_from_this();
  auto failure = co_await runtime::failure_of(self->answer(one));
  if (failure) {
    constexpr int internal_error = 500;
    http_api::report_failure(self->logger, *failure);
    // How far it came isn't known.
    one->may_have_run = true;
    self->reject(one, {internal_error, "internal error"});
  }
  if (must_release(*one)) self->runtime.spawn(self->release_operation(one, take_claim(*one)));
  // What was put out is spent; nobody waits for the ledger's reply.
  if (one->reserved) self->runtime.spawn(self->settle(one));
}

task<> request_router::state::settle(exchange_pointer one) {
  constexpr microseconds settle_timeout = 5 * second;
  auto self = shared_from_this();
  std::int64_t event_tokens = one->service.model ? one->service.model->event_tokens : 1;
  auto result =
      co_await self->programs.settle(one->ledger_id(one->metadata.program), one->metadata.attempt,
                                     one->events * event_tokens, self->runtime.now() + settle_timeout);
  if (result != ledger::program_settlement::settled) self->logger.count("herontally_unsettled_turns_total");
}

// The table may have changed since the last attempt; an attempt is made under the one that is in force.
// False: the request can't go on under it.
bool request_router::state::take_current_route(exchange& one) {
  const auto* route = route_of(one);
  if (!route || route->kept != one.route.kept || route->kind != one.route.kind) return false;
  one.route = *route;
  bool listed = false;
  for (auto& target : route->targets)
    listed = listed || (target.service == one.service.name && target.share > 0);
  // An operation stays with the service that it was claimed for.
  if (!listed && one.operation) return false;
  const auto* service =
      listed ? table.find_service(one.service.name) : draw_service(*route, table, runtime.random());
  if (!service) return false;
  one.service = *service;
  return true;
}

std::optional<rejection> request_router::state::check_before_attempt(exchange& one, int attempt) {
  if (runtime.now() >= one.deadline) {
    bool heard = one.engine_heard;
    return rejection{heard ? 504 : 503, "the time is over", heard ? 0 : 100};
  }
  if (shutdown.is_over(runtime.now()))
    return rejection{503, "this node is ending", closing_retry_milliseconds};
  const auto* route = route_of(one);
  bool same = route && route->kept == one.route.kept && route->kind == one.route.kind;
  if (same && attempt > 1) same = take_current_route(one);
  if (!same) return rejection{503, "the route has changed", 50};
  // A credential may have been withdrawn while the request waited.
  auto identified = identify_sender(one);
  if (auto* against = std::get_if<rejection>(&identified)) return *against;
  if (std::get<sender>(identified).tenant != one.tenant) return rejection{503, "the tenant has changed", 50};
  return std::nullopt;
}

task<planning_result> request_router::state::plan_attempt(exchange_pointer one,
                                                          std::vector<interning::symbol> avoid, int attempt) {
  auto self = shared_from_this();
  subject asked{one->route, one->service, one->metadata, std::move(avoid), attempt};
  auto planned = make_plan(asked, self->engines, self->planning(), self->runtime.random());
  if (auto* made = std::get_if<plan>(&planned)) co_return std::move(*made);
  if (std::get<unplanned>(planned) == unplanned::hopeless) {
    self->reject(one, {503, "no engine can take it", 300});
    co_return not_planned::rejected;
  }
  // Held no longer than a part of its latency target without an engine: another node may have capacity.
  auto until = std::min(one->deadline, one->arrived + one->route.latency_target * millisecond / 5);
  bool notified = co_await self->wait_for_capacity(until, one->urgency);
  if (notified) co_return not_planned::try_again;
  self->reject(one, {503, "all engines are busy", 100});
  co_return not_planned::rejected;
}

static bool may_have_run(attempt_outcome outcome) {
  bool promised = outcome == attempt_outcome::not_run || outcome == attempt_outcome::in_progress;
  bool unheard = outcome == attempt_outcome::not_sent || outcome == attempt_outcome::wrong_engine;
  return !promised && !unheard;
}

// How the client is answered after an attempt; nothing: the next attempt follows.
static std::optional<rejection> rejection_after(attempt_outcome outcome, const exchange& one, int tries) {
  if (outcome == attempt_outcome::overdue) return rejection{504, "the engine did not answer in time"};
  if (outcome == attempt_outcome::in_progress) return rejection{409, "the operation is in progress", 100};
  bool not_run = outcome == attempt_outcome::not_run;
  bool again = tries < one.route.tries && (not_run || is_repeatable(one));
  if (again) return std::nullopt;
  if (not_run) return rejection{503, "the engine is full", 60};
  return rejection{502, "the engine's answer was lost"};
}

task<> request_router::state::run_attempts(exchange_pointer one) {
  auto self = shared_from_this();
  std::vector<interning::symbol> avoid;
  int tries = 0;
  for (int attempt = 1; attempt <= max_attempts;) {
    if (one->client_gone || one->out->closed()) co_return;
    if (auto against = self->check_before_attempt(*one, attempt)) {
      self->reject(one, *against);
      co_return;
    }
    auto planned = co_await self->plan_attempt(one, avoid, attempt);
    auto* made = std::get_if<plan>(&planned);
    if (!made && std::get<not_planned>(planned) == not_planned::try_again) continue;
    if (!made) co_return;
    avoid.push_back(made->engine);
    ++attempt;
    auto outcome = co_await self->run_attempt(one, std::move(*made));
    bool over = outcome == attempt_outcome::answered || outcome == attempt_outcome::client_gone ||
                outcome == attempt_outcome::cut;
    one->may_have_run = one->may_have_run || may_have_run(outcome);
    if (outcome == attempt_outcome::answered)
      self->durations.note(one->route.name, self->runtime.now() - one->arrived, self->runtime.now());
    if (over) co_return;
    // Nothing listens at that address, or another engine does: the request went to none.
    if (outcome == attempt_outcome::not_sent || outcome == attempt_outcome::wrong_engine) continue;
    ++tries;
    if (auto end = rejection_after(outcome, *one, tries)) {
      self->reject(one, *end);
      co_return;
    }
  }
  bool heard = one->engine_heard;
  self->reject(one, {heard ? 502 : 503, "no engine could be reached", heard ? 0 : 100});
}

}  // namespace herontally::router
