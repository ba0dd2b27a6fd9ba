// A request from its arrival to its answer: what must be known first, then one attempt after another.
#include "forward/door_state.h"

namespace herontally::forward {

// A majority answers within milliseconds; beyond this a client is better served by trying elsewhere.
constexpr microseconds longest_ledger_wait = 1200 * millisecond;

// Never for half of the time that the client has: the rest is for its next try.
static microseconds ledger_deadline(const exchange& one) {
  auto most = (one.deadline - one.arrived) * 2 / 5;
  return one.arrived + std::min(longest_ledger_wait, most);
}

static task<> reserve_into(ledger::programs programs, exchange_pointer one, microseconds until,
                           runtime::slot<ledger::reserve_end> done) {
  auto end = co_await programs.reserve(one->terms.program, one->terms.attempt, one->terms.budget,
                                       one->terms.most_tokens, until);
  done.set(end);
}

task<bool> door::state::prepare(exchange_pointer one) {
  auto self = shared_from_this();
  auto until = ledger_deadline(*one);
  bool budgeted = !one->terms.program.empty() && one->terms.budget >= 0 &&
                  one->route.kind == routing::category::streaming;
  runtime::slot<ledger::reserve_end> reserved(self->runtime);
  // The reservation and the chain are asked for side by side: neither needs the other.
  if (budgeted) self->runtime.spawn(reserve_into(self->programs, one, until, reserved));
  ledger::chain_result chain;
  chain.end = ledger::chain_result::what::found;
  if (one->route.kept && !one->terms.previous.empty())
    chain = co_await self->programs.chain(one->terms.previous, until);
  if (budgeted) {
    auto end = co_await reserved.wait();
    one->reserved = end == ledger::reserve_end::granted;
    if (end == ledger::reserve_end::spent) {
      self->refuse(one, 402, "the program's budget is spent");
      co_return false;
    }
    if (!one->reserved) {
      self->refuse(one, 503, "the ledger can't be reached by a majority", 300);
      co_return false;
    }
  }
  if (chain.end == ledger::chain_result::what::missing) {
    self->refuse(one, 404, "no such turn");
    co_return false;
  }
  if (chain.end == ledger::chain_result::what::unreachable) {
    self->refuse(one, 503, "the kept turns can't be read now", 300);
    co_return false;
  }
  if (chain.turns.empty()) {
    one->body = one->request.body;
    co_return true;
  }
  for (auto& each : chain.turns) {
    one->body += each.input;
    one->body += each.output;
  }
  one->body += one->request.body;
  co_return true;
}

task<> door::state::run(exchange_pointer one) {
  auto self = shared_from_this();
  bool clear = co_await self->prepare(one);
  if (clear) co_await self->attempts(one);
  // What went out is spent; nobody waits for the ledger's word on it.
  if (one->reserved) self->runtime.spawn(self->settle(one));
}

task<> door::state::settle(exchange_pointer one) {
  auto self = shared_from_this();
  std::int64_t each = one->service.model ? one->service.model->event_tokens : 1;
  auto result = co_await self->programs.settle(one->terms.program, one->terms.attempt, one->events * each,
                                               self->runtime.now() + 5 * second);
  if (result != ledger::settle_result::settled) self->logger.count("herontally_unsettled_turns_total");
}

task<> door::state::attempts(exchange_pointer one) {
  auto self = shared_from_this();
  std::vector<interning::symbol> avoid;
  int offered = 0;
  // Engines that never heard of the request don't count as tries, but there is an end to them too.
  for (int turn = 1; turn <= 6; ++turn) {
    if (one->gone || one->out->closed()) co_return;
    if (self->runtime.now() >= one->deadline) {
      self->refuse(one, one->offered ? 504 : 503, "the time is over", one->offered ? 0 : 100);
      co_return;
    }
    // The table may have changed since the last attempt; an attempt is made under the one that is in force.
    auto host = one->request.headers.find("host");
    const auto* route =
        self->table.match(host == one->request.headers.end() ? "" : host->second, one->request.path);
    bool same = route && route->kept == one->route.kept && route->kind == one->route.kind;
    if (same && turn > 1) {
      one->route = *route;
      bool listed = false;
      for (auto& each : route->targets)
        listed = listed || (each.service == one->service.name && each.share > 0);
      const auto* other = listed ? self->table.find_service(one->service.name)
                                 : draw_service(*route, self->table, self->runtime.random());
      same = other != nullptr;
      if (same) one->service = *other;
    }
    if (!same) {
      self->refuse(one, 503, "the route has changed", 50);
      co_return;
    }
    subject asked{one->route, one->service, one->terms, avoid, turn};
    auto planned = make_plan(asked, self->engines, self->context(), self->runtime.random());
    if (auto* why = std::get_if<unplanned>(&planned)) {
      // Held no longer than a part of its aim without an engine: another node may have room.
      auto patience = one->arrived + one->route.aim * millisecond / 5;
      bool hopeless = *why == unplanned::hopeless;
      bool room = false;
      if (!hopeless)
        room = co_await self->wait_for_room(std::min(one->deadline, patience), one->route.urgency);
      if (room) {
        --turn;
        continue;
      }
      self->refuse(one, 503, hopeless ? "no engine can take it" : "all engines are busy",
                   hopeless ? 300 : 100);
      co_return;
    }
    auto& made = std::get<plan>(planned);
    avoid.push_back(made.engine);
    auto service = one->service.name;
    auto end = co_await self->attempt(one, std::move(made));
    if (end == attempt_end::done || end == attempt_end::gone || end == attempt_end::cut) co_return;
    if (end == attempt_end::overdue) {
      self->refuse(one, 504, "the engine did not answer in time");
      co_return;
    }
    // Nothing listens at that place, or another engine does: the request went to none.
    if (end == attempt_end::not_sent || end == attempt_end::wrong_one) continue;
    ++offered;
    bool repeatable = one->route.kind == routing::category::idempotent ||
                      (one->route.kind == routing::category::streaming && one->route.resumable);
    bool again = offered < one->route.tries && (end == attempt_end::not_run || repeatable);
    if (again) continue;
    if (end == attempt_end::not_run)
      self->refuse(one, 503, "the engine is full", 60);
    else
      self->refuse(one, 502, "the engine's answer was lost");
    co_return;
  }
  self->refuse(one, one->offered ? 502 : 503, "no engine could be reached", one->offered ? 0 : 100);
}

}  // namespace herontally::forward
