#include "router/request_router.h"

#include <absl/cleanup/cleanup.h>

#include "router/request_router_state.h"

namespace herontally::router {

namespace {

// The urgency of a request whose route isn't known yet.
constexpr std::int64_t least_urgent = 9;
// Engines in slow start and pauses after failures come free by time alone.
constexpr microseconds max_capacity_wait = 50 * millisecond;
// Just after a start the table and the list are moments away: whoever waits for them is served sooner than by
// another node, where after a loss of everything nobody is further on.
constexpr std::int64_t max_startup_wait_milliseconds = 1200;
// Levels of urgency of the routes, which order the requests of tenants of like urgency.
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
  state_->durations.keep_routes_of(state_->table);
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

bool request_router::ready() const { return state_->is_serving() && !state_->shutdown.begun(); }

void request_router::begin_shutdown(microseconds ends_at) {
  state_->shutdown.begin(state_->runtime.now(), ends_at);
  state_->notify_waiting();
}

void request_router::give_up_requests() {
  // An interrupted request may end at once, and leave the set.
  auto left = state_->exchanges;
  for (auto& one : left)
    if (one->interrupt) one->interrupt();
}

std::int64_t request_router::in_flight() const { return state_->in_flight; }

planning_context request_router::state::planning() const {
  return {table, evacuated_zones, options.zone, nodes, group, runtime.now(), runtime.wall()};
}

void request_router::state::reject(const exchange_pointer& one, const rejection& asked) {
  constexpr int bad_gateway = 502;
  auto why = asked;
  // 503 would promise that an operation hasn't run, and never will.
  if (why.status == 503 && is_operation(*one) && one->may_have_run) why = {bad_gateway, asked.reason};
  logger.count("herontally_refusals_total{reason=\"" + why.reason + "\"}");
  logger.debug("refused", {{"request", one->metadata.attempt}, {"status", why.status}, {"why", why.reason}});
  runtime::http_response response;
  response.status = why.status;
  response.headers["Content-Type"] = "application/json";
  response.body = nlohmann::json{{"error", why.reason}}.dump() + "\n";
  if (why.retry_milliseconds > 0) adapter->set_retry_after(response.headers, why.retry_milliseconds);
  if (must_release(*one))
    runtime.spawn(release_and_reply(one, take_claim(*one), std::move(response)));
  else
    one->out->reply(std::move(response));
}

void request_router::state::notify_waiting() { waiting.notify_all(); }

task<bool> request_router::state::wait_for_capacity(microseconds until, std::int64_t urgency) {
  auto self = shared_from_this();
  auto left = self->shutdown.bounded(until) - self->runtime.now();
  if (left <= 0) co_return false;
  runtime::slot<bool> notifier(self->runtime);
  self->waiting.add(urgency, notifier);
  auto timer = self->runtime.after(std::min(left, max_capacity_wait), [notifier] { notifier.set(true); });
  co_await notifier.wait();
  self->runtime.cancel(timer);
  self->waiting.remove_notified();
  co_return true;
}

task<bool> request_router::state::wait_until_serving(exchange_pointer one) {
  auto self = shared_from_this();
  std::int64_t wait = max_startup_wait_milliseconds;
  if (one->metadata.time_left >= 0) wait = std::min(wait, one->metadata.time_left / 3);
  while (!self->is_serving()) {
    bool more = co_await self->wait_for_capacity(one->arrived + wait * millisecond, least_urgent);
    if (!more) co_return false;
  }
  co_return true;
}

const routing::route* request_router::state::route_of(const exchange& one) const {
  auto host = one.request.headers.find("host");
  return table.match(host == one.request.headers.end() ? "" : host->second, one.request.path);
}

std::optional<rejection> request_router::state::assign_route(exchange& one) {
  const auto* route = route_of(one);
  if (!route) return rejection{404, "no such route"};
  one.route = *route;
  auto identified = identify_sender(one);
  if (auto* against = std::get_if<rejection>(&identified)) return *against;
  auto& sent_by = std::get<sender>(identified);
  one.tenant = sent_by.tenant;
  one.urgency = sent_by.urgency;
  const auto* service = draw_service(*route, table, runtime.random());
  if (!service) return rejection{503, "the route has no service", 500};
  one.service = *service;
  std::int64_t left = one.route.deadline;
  if (one.metadata.time_left >= 0) left = std::min(left, one.metadata.time_left);
  one.deadline = one.arrived + left * millisecond;
  if (in_flight >= options.most_requests) return rejection{503, "too many requests", 200};
  return std::nullopt;
}

std::optional<rejection> request_router::state::check_shutdown(const exchange& one) const {
  auto now = runtime.now();
  if (shutdown.may_take(one.deadline, durations.longest(one.route.name, now), now)) return std::nullopt;
  return rejection{503, "this node is ending", closing_retry_milliseconds};
}

std::variant<sender, rejection> request_router::state::identify_sender(const exchange& one) const {
  constexpr int unauthorized = 401;
  if (tenants.empty()) return sender{std::nullopt, one.route.urgency};
  const auto* found = tenants.find(one.metadata.credential);
  if (!found && !one.route.anonymous) return rejection{unauthorized, "unknown credential"};
  return sender{found ? found->name : std::string(), combined_urgency(found, one.route)};
}

task<bool> request_router::state::admit_by_quota(exchange_pointer one) {
  constexpr int too_many_requests = 429;
  auto self = shared_from_this();
  bool limited = self->options.quotas && one->tenant && !one->tenant->empty();
  if (!limited) co_return true;
  auto admission = co_await self->options.quotas->admit(*one->tenant);
  if (admission.granted) co_return true;
  self->reject(one, {too_many_requests, "the tenant's quota is used up", admission.retry_milliseconds});
  co_return false;
}

void request_router::state::give_back_quota(const exchange& one) {
  bool counted = options.quotas && one.tenant && !one.tenant->empty();
  if (counted && !one.may_have_run) options.quotas->give_back(*one.tenant);
}

// Whoever waits for an engine on the request's behalf is woken when its client goes away.
static void watch_client(const exchange_pointer& one) {
  if (!one->out->on_gone) return;
  one->out->on_gone([weak = std::weak_ptr<exchange>(one)] {
    auto here = weak.lock();
    if (!here) return;
    here->client_gone = true;
    if (here->interrupt) here->interrupt();
  });
}

task<> request_router::serve(runtime::inbound_request request, http_api::writer out) {
  auto self = state_;
  auto one = std::make_shared<exchange>();
  one->arrived = self->runtime.now();
  one->request = std::move(request);
  one->out = out;
  one->metadata = self->adapter->read_request(one->request.headers);
  bool serving = co_await self->wait_until_serving(one);
  if (!serving) {
    self->reject(one, {503, "nothing is in force here yet", 300});
    co_return;
  }
  if (out->closed()) co_return;
  if (auto against = self->assign_route(*one)) {
    self->reject(one, *against);
    co_return;
  }
  if (auto against = self->check_shutdown(*one)) {
    self->reject(one, *against);
    co_return;
  }
  ++self->in_flight;
  self->exchanges.insert(one);
  absl::Cleanup ended = [self, one] {
    --self->in_flight;
    self->exchanges.erase(one);
  };
  watch_client(one);
  bool admitted = co_await self->admit_by_quota(one);
  if (admitted) co_await self->run(one);
  if (admitted) self->give_back_quota(*one);
}

}  // namespace herontally::router
