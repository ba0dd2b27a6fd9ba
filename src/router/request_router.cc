#include "router/request_router.h"

#include <absl/cleanup/cleanup.h>

#include "router/request_router_state.h"

namespace herontally::router {

namespace {

// The urgency of a request whose route is not known yet.
constexpr std::int64_t least_urgent = 9;
// Slow start and ejection after failures end by time alone, without a notification.
constexpr microseconds max_capacity_wait = 50 * millisecond;
// Just after a start the table and the list usually arrive within moments, so that waiting is faster than
// retrying at another node; after a loss of the whole system no other node is ready any earlier.
constexpr std::int64_t max_startup_wait_milliseconds = 1200;
// Number of route urgency levels; they order requests whose tenants have the same urgency.
constexpr std::int64_t route_urgency_levels = 3;

std::int64_t combined_urgency(const routing::tenant* tenant, const routing::route& route) {
  if (!tenant) return route.urgency;
  return tenant->urgency * route_urgency_levels + std::min(route.urgency, route_urgency_levels - 1);
}

}  // namespace

request_router::request_router(runtime::handle runtime, logging::logger logger,
                               std::shared_ptr<const platform_protocol::adapter> adapter,
                               ledger::program_ledger programs, ledger::operation_ledger operations,
                               router_options options)
    : state_(std::make_shared<state>(runtime, logger, std::move(adapter), std::move(programs),
                                     std::move(operations), std::move(options))) {}

void request_router::set_routing(routing::table table, std::set<std::string> evacuated_zones) {
  if (state_->has_routing && table.version < state_->table.version) return;
  state_->table = std::move(table);
  state_->evacuated_zones = std::move(evacuated_zones);
  state_->has_routing = true;
  state_->durations.retain_routes(state_->table);
  state_->tenants.set_tenants(state_->table.tenants, state_->runtime.random());
  if (state_->options.quotas) state_->options.quotas->set_tenants(state_->table.tenants);
  for (auto& service : state_->table.services)
    if (service.model && !service.model->min_cached_token_delta)
      service.model->min_cached_token_delta = state_->options.min_cached_token_delta;
  state_->notify_waiting();
}

void request_router::set_engines(const std::string& list, const std::vector<std::string>& draining) {
  if (!list.empty()) state_->engines.set_list(list, state_->runtime.now());
  state_->engines.set_draining(draining);
  state_->notify_waiting();
}

void request_router::set_nodes(std::int64_t count, const node_group& group) {
  state_->nodes = std::max<std::int64_t>({1, count, group.nodes, group.nodes_before});
  state_->group = group;
}

bool request_router::ready() const { return state_->is_serving() && !state_->shutdown.has_begun(); }

void request_router::begin_shutdown(microseconds ends_at) {
  state_->shutdown.begin(state_->runtime.now(), ends_at);
  state_->notify_waiting();
}

void request_router::abort_requests() {
  // A copy: an interrupted request may end at once and remove itself from the set.
  auto left = state_->exchanges;
  for (auto& exchange : left)
    if (exchange->interrupt_wait) exchange->interrupt_wait();
}

std::int64_t request_router::in_flight() const { return state_->in_flight; }

planning_context request_router::state::make_planning_context() const {
  return {table, evacuated_zones, options.zone, nodes, group, runtime.now(), runtime.wall()};
}

void request_router::state::reject(const client_exchange_pointer& exchange, const rejection& requested) {
  constexpr int bad_gateway = 502;
  auto effective = requested;
  // For a keyed operation 503 would state that it has not run and never will, so one that may have run gets
  // 502.
  if (effective.status == 503 && is_operation(*exchange) && exchange->may_have_run)
    effective = {bad_gateway, requested.reason};
  logger.count("herontally_refusals_total{reason=\"" + effective.reason + "\"}");
  logger.debug(
      "refused",
      {{"request", exchange->metadata.attempt}, {"status", effective.status}, {"why", effective.reason}});
  runtime::http_response response;
  response.status = effective.status;
  response.headers["Content-Type"] = "application/json";
  response.body = nlohmann::json{{"error", effective.reason}}.dump() + "\n";
  if (effective.retry_milliseconds > 0)
    adapter->set_retry_after(response.headers, effective.retry_milliseconds);
  if (must_release_claim(*exchange))
    runtime.spawn(release_and_reply(exchange, take_claim(*exchange), std::move(response)));
  else
    exchange->out->reply(std::move(response));
}

void request_router::state::notify_waiting() { waiting_requests.notify_all(); }

task<bool> request_router::state::wait_for_capacity(microseconds until, std::int64_t urgency) {
  auto self = shared_from_this();
  auto left = self->shutdown.limit_to_shutdown(until) - self->runtime.now();
  if (left <= 0) co_return false;
  runtime::slot<bool> notifier(self->runtime);
  self->waiting_requests.add(urgency, notifier);
  auto timer = self->runtime.after(std::min(left, max_capacity_wait), [notifier] { notifier.set(true); });
  co_await notifier.wait();
  self->runtime.cancel(timer);
  self->waiting_requests.remove_notified();
  co_return true;
}

task<bool> request_router::state::wait_until_serving(client_exchange_pointer exchange) {
  auto self = shared_from_this();
  std::int64_t wait = max_startup_wait_milliseconds;
  if (exchange->metadata.time_left >= 0) wait = std::min(wait, exchange->metadata.time_left / 3);
  while (!self->is_serving()) {
    bool more = co_await self->wait_for_capacity(exchange->arrived + wait * millisecond, least_urgent);
    if (!more) co_return false;
  }
  co_return true;
}

const routing::route* request_router::state::find_route(const client_exchange& exchange) const {
  auto host = exchange.request.headers.find("host");
  return table.match(host == exchange.request.headers.end() ? "" : host->second, exchange.request.path);
}

std::optional<rejection> request_router::state::assign_route(client_exchange& exchange) {
  const auto* route = find_route(exchange);
  if (!route) return rejection{404, "no such route"};
  exchange.route = *route;
  auto identified = identify_caller(exchange);
  if (auto* refusal = std::get_if<rejection>(&identified)) return *refusal;
  auto& caller = std::get<caller_identity>(identified);
  exchange.tenant = caller.tenant;
  exchange.urgency = caller.urgency;
  const auto* service = draw_service(*route, table, runtime.random());
  if (!service) return rejection{503, "the route has no service", 500};
  exchange.service = *service;
  std::int64_t left = exchange.route.deadline;
  if (exchange.metadata.time_left >= 0) left = std::min(left, exchange.metadata.time_left);
  exchange.deadline = exchange.arrived + left * millisecond;
  if (in_flight >= options.max_requests) return rejection{503, "too many requests", 200};
  return std::nullopt;
}

std::optional<rejection> request_router::state::check_shutdown(const client_exchange& exchange) const {
  auto now = runtime.now();
  if (shutdown.may_accept(exchange.deadline, durations.recent_max(exchange.route.name, now), now))
    return std::nullopt;
  return rejection{503, "this node is ending", shutdown_retry_milliseconds};
}

std::variant<caller_identity, rejection> request_router::state::identify_caller(
    const client_exchange& exchange) const {
  constexpr int unauthorized = 401;
  if (tenants.empty()) return caller_identity{std::nullopt, exchange.route.urgency};
  const auto* found = tenants.find(exchange.metadata.credential);
  if (!found && !exchange.route.anonymous) return rejection{unauthorized, "unknown credential"};
  return caller_identity{found ? found->name : std::string(), combined_urgency(found, exchange.route)};
}

task<bool> request_router::state::admit_by_quota(client_exchange_pointer exchange) {
  constexpr int too_many_requests = 429;
  auto self = shared_from_this();
  bool limited = self->options.quotas && exchange->tenant && !exchange->tenant->empty();
  if (!limited) co_return true;
  auto admission = co_await self->options.quotas->admit(*exchange->tenant);
  if (admission.granted) co_return true;
  self->reject(exchange, {too_many_requests, "the tenant's quota is used up", admission.retry_milliseconds});
  co_return false;
}

void request_router::state::refund_quota(const client_exchange& exchange) {
  bool counted = options.quotas && exchange.tenant && !exchange.tenant->empty();
  if (counted && !exchange.may_have_run) options.quotas->refund(*exchange.tenant);
}

// Ends the wait for the engine's answer when the client disconnects.
static void watch_for_disconnect(const client_exchange_pointer& exchange) {
  if (!exchange->out->on_gone) return;
  exchange->out->on_gone([weak = std::weak_ptr<client_exchange>(exchange)] {
    auto alive = weak.lock();
    if (!alive) return;
    alive->client_disconnected = true;
    if (alive->interrupt_wait) alive->interrupt_wait();
  });
}

task<> request_router::serve(runtime::inbound_request request, http_api::writer out) {
  auto self = state_;
  auto exchange = std::make_shared<client_exchange>();
  exchange->arrived = self->runtime.now();
  exchange->request = std::move(request);
  exchange->out = out;
  exchange->metadata = self->adapter->read_request(exchange->request.headers);
  bool serving = co_await self->wait_until_serving(exchange);
  if (!serving) {
    self->reject(exchange, {503, "nothing is in force here yet", 300});
    co_return;
  }
  if (out->closed()) co_return;
  if (auto refusal = self->assign_route(*exchange)) {
    self->reject(exchange, *refusal);
    co_return;
  }
  if (auto refusal = self->check_shutdown(*exchange)) {
    self->reject(exchange, *refusal);
    co_return;
  }
  ++self->in_flight;
  self->exchanges.insert(exchange);
  absl::Cleanup ended = [self, exchange] {
    --self->in_flight;
    self->exchanges.erase(exchange);
  };
  watch_for_disconnect(exchange);
  bool admitted = co_await self->admit_by_quota(exchange);
  if (admitted) co_await self->run(exchange);
  if (admitted) self->refund_quota(*exchange);
}

}  // namespace herontally::router
