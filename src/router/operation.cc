// Operations by key: claimed in the ledger before an engine hears of them, and answered from it when they are
// repeated.
#include "router/request_router_state.h"

namespace herontally::router {

using ledger::claim_status;
using ledger::operation_state;

namespace {

constexpr microseconds max_claim_wait = 1200 * millisecond;
// Clocks of nodes differ, and so does what is left of a request's time when an engine hears of it.
constexpr microseconds clock_margin = 10 * second;
constexpr microseconds finish_timeout = 2 * second;
// How much longer than its deadline a complete answer may be held until it is kept.
constexpr microseconds keep_grace = 200 * millisecond;
// How long a rejected client waits for its claim to be released.
constexpr microseconds release_timeout = 200 * millisecond;
// An answer beyond this size isn't kept: a repeat learns that its end isn't known.
constexpr std::size_t max_kept_answer = 1u << 20;
constexpr int bad_gateway = 502, unavailable = 503, conflict = 409;

microseconds claim_deadline(const exchange& one) {
  auto share = (one.deadline - one.arrived) * 2 / 5;
  return one.arrived + std::min(max_claim_wait, share);
}

std::optional<rejection> rejection_of(claim_status status) {
  switch (status) {
    case claim_status::claimed:
    case claim_status::answered:
      return std::nullopt;
    case claim_status::in_progress:
      return rejection{conflict, "the operation is in progress", 100};
    case claim_status::unknown_end:
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

bool is_operation(const exchange& one) {
  return one.route.kind == routing::category::keyed && !one.metadata.operation_key.empty();
}

bool must_release(const exchange& one) {
  // Repeats go on under a claim of engines that share a table of keys.
  return one.operation && one.owns_operation && !one.operation->deduplicated && !one.may_have_run;
}

// An operation stays with the service that it began at: another one's engines don't know that it ran.
std::optional<rejection> request_router::state::go_to_claimed_service(exchange& one) const {
  auto& wanted = one.operation->service;
  const auto* service = table.find_service(wanted);
  bool joinable = one.owns_operation || (service && service->deduplicates);
  if (!service || !joinable || !is_target(one.route, wanted))
    return rejection{bad_gateway, "the operation began at a service that the route has left"};
  one.service = *service;
  return std::nullopt;
}

task<bool> request_router::state::claim_operation(exchange_pointer one) {
  auto self = shared_from_this();
  if (!is_operation(*one)) co_return true;
  ledger::operation_record first;
  first.owner = self->runtime.random_name();
  first.service = one->service.name;
  first.deduplicated = one->service.deduplicates;
  first.running_until = self->runtime.wall() + (one->deadline - self->runtime.now());
  first.keep_until = self->runtime.wall() + self->options.operation_key_time + clock_margin;
  auto claimed = co_await self->operations.claim(one->operation_id(), first,
                                                 self->shutdown.bounded(claim_deadline(*one)));
  if (auto against = rejection_of(claimed.status)) {
    // The claim may stand all the same.
    bool may_stand = claimed.status == claim_status::uncertain;
    if (may_stand) one->operation = first;
    one->owns_operation = may_stand;
    self->reject(one, *against);
    co_return false;
  }
  if (claimed.status == claim_status::answered) {
    self->replay_answer(*one, claimed.record);
    co_return false;
  }
  one->operation = claimed.record;
  one->owns_operation = claimed.record.owner == first.owner;
  if (auto against = self->go_to_claimed_service(*one)) {
    self->reject(one, *against);
    co_return false;
  }
  co_return true;
}

void request_router::state::replay_answer(const exchange& one, const ledger::operation_record& kept) const {
  logger.count("herontally_operations_replayed_total");
  runtime::http_response response;
  response.status = static_cast<int>(kept.status);
  response.headers = kept.headers;
  response.headers[adapter->echo_header] = one.metadata.attempt;
  response.body = kept.body;
  one.out->reply(std::move(response));
}

// Engines that share a table of keys keep the answer themselves.
task<> request_router::state::keep_operation_answer(exchange_pointer one, runtime::http_response response) {
  auto self = shared_from_this();
  auto until = std::min(self->runtime.now() + finish_timeout, one->deadline + keep_grace);
  bool kept_here = one->operation && one->owns_operation && !one->operation->deduplicated;
  if (!kept_here || response.body.size() > max_kept_answer) co_return;
  auto last = *one->operation;
  last.state = operation_state::answered;
  last.status = response.status;
  last.headers = std::move(response.headers);
  last.body = std::move(response.body);
  bool kept = co_await self->operations.finish(one->operation_id(), std::move(last), until);
  // The answer is true either way; a repeat will learn that the end isn't known.
  if (!kept) self->logger.count("herontally_operations_not_kept_total");
}

ledger::operation_record take_claim(exchange& one) { return *std::exchange(one.operation, std::nullopt); }

task<> request_router::state::release_operation(exchange_pointer one, ledger::operation_record claim) {
  auto self = shared_from_this();
  claim.state = operation_state::not_run;
  co_await self->operations.finish(one->operation_id(), std::move(claim),
                                   self->runtime.now() + release_timeout);
}

task<> request_router::state::release_and_reply(exchange_pointer one, ledger::operation_record claim,
                                                runtime::http_response response) {
  auto self = shared_from_this();
  co_await self->release_operation(one, std::move(claim));
  one->out->reply(std::move(response));
}

}  // namespace herontally::router
