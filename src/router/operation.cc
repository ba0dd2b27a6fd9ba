// Keyed operations: each is claimed in the ledger before it is sent to an engine, and a repeated request is
// answered from the ledger.
#include "router/request_router_state.h"

namespace herontally::router {

using ledger::claim_status;
using ledger::operation_state;

namespace {

constexpr microseconds max_claim_wait = 1200 * millisecond;
// Covers differences between the nodes' clocks and in the time that is left when an engine receives the
// request.
constexpr microseconds clock_margin = 10 * second;
constexpr microseconds finish_timeout = 2 * second;
// How far past its deadline a complete answer may be delayed until the ledger has stored it.
constexpr microseconds store_grace = 200 * millisecond;
// How long the reply to a rejected client may wait for the release of its claim.
constexpr microseconds release_timeout = 200 * millisecond;
// A larger answer is not stored: a repeated request learns that the outcome is unknown.
constexpr std::size_t max_stored_answer = 1u << 20;
constexpr int bad_gateway = 502, unavailable = 503, conflict = 409;

microseconds claim_deadline(const client_exchange& exchange) {
  auto share = (exchange.deadline - exchange.arrived) * 2 / 5;
  return exchange.arrived + std::min(max_claim_wait, share);
}

std::optional<rejection> rejection_of(claim_status status) {
  switch (status) {
    case claim_status::claimed:
    case claim_status::answered:
      return std::nullopt;
    case claim_status::in_progress:
      return rejection{conflict, "the operation is in progress", 100};
    case claim_status::outcome_unknown:
      return rejection{bad_gateway, "the operation may have run, and its answer is lost"};
    case claim_status::unreachable:
    case claim_status::uncertain:
      return rejection{unavailable, "the ledger can't be reached by a majority", 300};
  }
  return std::nullopt;
}

bool is_target(const routing::route& route, const std::string& service) {
  for (auto& each : route.targets)
    if (each.service == service && each.share > 0) return true;
  return false;
}

}  // namespace

bool is_operation(const client_exchange& exchange) {
  return exchange.route.kind == routing::category::keyed && !exchange.metadata.operation_key.empty();
}

bool must_release_claim(const client_exchange& exchange) {
  // If the engines share a table of operation keys, repeated requests continue under the same claim.
  return exchange.operation && exchange.owns_operation && !exchange.operation->deduplicated &&
         !exchange.may_have_run;
}

// Assigns the service that the claim names: the engines of another service don't know whether the operation
// ran.
std::optional<rejection> request_router::state::use_claimed_service(client_exchange& exchange) const {
  auto& claimed_service = exchange.operation->service;
  const auto* service = table.find_service(claimed_service);
  bool joinable = exchange.owns_operation || (service && service->deduplicates);
  if (!service || !joinable || !is_target(exchange.route, claimed_service))
    return rejection{bad_gateway, "the operation began at a service that the route has left"};
  exchange.service = *service;
  return std::nullopt;
}

task<bool> request_router::state::claim_operation(client_exchange_pointer exchange) {
  auto self = shared_from_this();
  if (!is_operation(*exchange)) co_return true;
  ledger::operation_record first;
  first.owner = self->runtime.random_name();
  first.service = exchange->service.name;
  first.deduplicated = exchange->service.deduplicates;
  first.running_until = self->runtime.wall() + (exchange->deadline - self->runtime.now());
  first.keep_until = self->runtime.wall() + self->options.operation_key_retention + clock_margin;
  auto claimed = co_await self->operations.claim(exchange->operation_id(), first,
                                                 self->shutdown.limit_to_shutdown(claim_deadline(*exchange)));
  if (auto refusal = rejection_of(claimed.status)) {
    // The ledger may have recorded the claim nevertheless.
    bool may_be_recorded = claimed.status == claim_status::uncertain;
    if (may_be_recorded) exchange->operation = first;
    exchange->owns_operation = may_be_recorded;
    self->reject(exchange, *refusal);
    co_return false;
  }
  if (claimed.status == claim_status::answered) {
    self->replay_answer(*exchange, claimed.record);
    co_return false;
  }
  exchange->operation = claimed.record;
  exchange->owns_operation = claimed.record.owner == first.owner;
  if (auto refusal = self->use_claimed_service(*exchange)) {
    self->reject(exchange, *refusal);
    co_return false;
  }
  co_return true;
}

void request_router::state::replay_answer(const client_exchange& exchange,
                                          const ledger::operation_record& kept) const {
  logger.count("herontally_operations_replayed_total");
  runtime::http_response response;
  response.status = static_cast<int>(kept.status);
  response.headers = kept.headers;
  response.headers[adapter->echo_header] = exchange.metadata.attempt;
  response.body = kept.body;
  exchange.out->reply(std::move(response));
}

// Stores the engine's answer in the ledger, unless the engines share a table of operation keys: those keep
// the answer themselves.
task<> request_router::state::store_operation_answer(client_exchange_pointer exchange,
                                                     runtime::http_response response) {
  auto self = shared_from_this();
  auto until = std::min(self->runtime.now() + finish_timeout, exchange->deadline + store_grace);
  bool kept_here = exchange->operation && exchange->owns_operation && !exchange->operation->deduplicated;
  if (!kept_here || response.body.size() > max_stored_answer) co_return;
  auto last = *exchange->operation;
  last.state = operation_state::answered;
  last.status = response.status;
  last.headers = std::move(response.headers);
  last.body = std::move(response.body);
  bool kept = co_await self->operations.finish(exchange->operation_id(), std::move(last), until);
  // The answer is valid either way; a repeated request will learn that the outcome is unknown.
  if (!kept) self->logger.count("herontally_operations_not_kept_total");
}

ledger::operation_record take_claim(client_exchange& exchange) {
  return *std::exchange(exchange.operation, std::nullopt);
}

task<> request_router::state::release_operation(client_exchange_pointer exchange,
                                                ledger::operation_record claim) {
  auto self = shared_from_this();
  claim.state = operation_state::not_run;
  co_await self->operations.finish(exchange->operation_id(), std::move(claim),
                                   self->runtime.now() + release_timeout);
}

task<> request_router::state::release_and_reply(client_exchange_pointer exchange,
                                                ledger::operation_record claim,
                                                runtime::http_response response) {
  auto self = shared_from_this();
  co_await self->release_operation(exchange, std::move(claim));
  exchange->out->reply(std::move(response));
}

}  // namespace herontally::router
