#include "forward/door.h"

#include "forward/door_state.h"

namespace herontally::forward {

door::door(runtime::handle runtime, logging::logger logger,
           std::shared_ptr<const platform_protocol::adapter> speech, ledger::programs programs,
           door_options choice)
    : state_(std::make_shared<state>(runtime, logger, std::move(speech), std::move(programs),
                                     std::move(choice))) {}

void door::routing(routing::table table, std::set<std::string> evacuated) {
  // A lower version never replaces a higher one.
  if (state_->routed && table.version < state_->table.version) return;
  state_->table = std::move(table);
  state_->evacuated = std::move(evacuated);
  state_->routed = true;
  for (auto& each : state_->table.services)
    if (each.model && !each.model->min_cached_token_delta)
      each.model->min_cached_token_delta = state_->choice.min_cached_token_delta;
  state_->wake();
}

void door::engines(const std::string& list, const std::vector<std::string>& leaving) {
  if (!list.empty()) state_->engines.list(list, state_->runtime.now());
  state_->engines.leaving(leaving);
  state_->wake();
}

void door::nodes(std::int64_t count, const node_group& group) {
  state_->nodes = std::max<std::int64_t>({1, count, group.nodes, group.nodes_before});
  state_->group = group;
}
bool door::ready() const { return state_->routed && state_->engines.known() && !state_->leaving; }
void door::leave() { state_->leaving = true; }
void door::close() { state_->closed = true; }
std::int64_t door::under_way() const { return state_->under_way; }

planning_context door::state::context() const {
  return {table, evacuated, choice.zone, nodes, group, runtime.now(), runtime.wall()};
}

void door::state::refuse(const exchange_pointer& one, int status, const std::string& why,
                         std::int64_t come_back) {
  logger.count("herontally_refusals_total{reason=\"" + why + "\"}");
  logger.debug("refused", {{"request", one->terms.attempt}, {"status", status}, {"why", why}});
  runtime::http_response response;
  response.status = status;
  response.headers["Content-Type"] = "application/json";
  response.body = nlohmann::json{{"error", why}}.dump() + "\n";
  if (come_back > 0) speech->set_retry_after(response.headers, come_back);
  one->out->reply(std::move(response));
}

void door::state::wake() { room.wake_all(); }

task<bool> door::state::wait_for_room(microseconds until, std::int64_t urgency) {
  auto self = shared_from_this();
  auto left = until - self->runtime.now();
  if (left <= 0) co_return false;
  runtime::slot<bool> bell(self->runtime);
  self->room.add(urgency, bell);
  // Cold rates and pauses after failures come free by time alone.
  auto timer =
      self->runtime.after(std::min<microseconds>(left, 50 * millisecond), [bell] { bell.set(true); });
  co_await bell.wait();
  self->runtime.cancel(timer);
  self->room.remove_woken();
  co_return true;
}

// The urgency of a request whose route isn't known yet.
constexpr std::int64_t least_urgent = 9;

task<> door::serve(runtime::inbound_request request, gateway::writer out) {
  auto self = state_;
  auto one = std::make_shared<exchange>();
  one->arrived = self->runtime.now();
  one->request = std::move(request);
  one->out = out;
  if (self->leaving) out->last_on_connection();
  one->terms = self->speech->read_request(one->request.headers);
  // Taken now, it would be cut off with an engine at work on it.
  if (self->closed) {
    self->refuse(one, 503, "this node is ending", 20);
    co_return;
  }
  // Just after a start the table and the list are moments away: whoever waits for them is served sooner than
  // by a try elsewhere, where after a loss of everything nobody is further on.
  std::int64_t patience = 1200;
  if (one->terms.time_left >= 0) patience = std::min(patience, one->terms.time_left / 3);
  while (!self->routed || !self->engines.known()) {
    bool more = co_await self->wait_for_room(one->arrived + patience * millisecond, least_urgent);
    if (more) continue;
    self->refuse(one, 503, "nothing is in force here yet", 300);
    co_return;
  }
  if (out->closed()) co_return;
  auto host = one->request.headers.find("host");
  const auto* route =
      self->table.match(host == one->request.headers.end() ? "" : host->second, one->request.path);
  if (!route) {
    self->refuse(one, 404, "no such route");
    co_return;
  }
  one->route = *route;
  const auto* service = draw_service(*route, self->table, self->runtime.random());
  if (!service) {
    self->refuse(one, 503, "the route has no service", 500);
    co_return;
  }
  one->service = *service;
  std::int64_t left = one->route.deadline;
  if (one->terms.time_left >= 0) left = std::min(left, one->terms.time_left);
  one->deadline = one->arrived + left * millisecond;
  if (self->under_way >= self->choice.most_requests) {
    self->refuse(one, 503, "too many requests", 200);
    co_return;
  }
  ++self->under_way;
  std::weak_ptr<exchange> weak = one;
  if (out->on_gone)
    out->on_gone([weak] {
      auto here = weak.lock();
      if (!here) return;
      here->gone = true;
      if (here->interrupt) here->interrupt();
    });
  co_await self->run(one);
  --self->under_way;
}

}  // namespace herontally::forward
