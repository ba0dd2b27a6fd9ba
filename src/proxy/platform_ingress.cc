#include "proxy/platform_ingress.h"

namespace herontally::proxy {

namespace {

quota::tolerance tolerance_of(const settings::settings& place) {
  return {place.quota_window_milliseconds * millisecond, place.max_quota_excess, place.max_quota_slack};
}

router::router_options options_of(const context& shared, quota::tenant_quotas quotas) {
  router::router_options options;
  options.quotas = std::move(quotas);
  options.operation_key_time = shared.place.operation_key_milliseconds * millisecond;
  options.zone = shared.place.zone;
  options.min_cached_token_delta = shared.platform.min_cached_token_delta;
  return options;
}

}  // namespace

platform_ingress::platform_ingress(std::shared_ptr<context> shared)
    : context_(shared),
      quotas_(shared->endpoint, shared->place.name, shared->incarnation, tolerance_of(shared->place)),
      router_(shared->runtime, shared->logger, shared->platform.adapter,
              ledger::program_ledger(shared->stores), ledger::operation_ledger(shared->stores),
              options_of(*shared, quotas_)) {}

bool platform_ingress::is_ready() const {
  // Without a view of the ledger's stores no turn could be taken.
  return router_.ready() && context_->stores.current_view().number > 0;
}

std::optional<std::string> platform_ingress::open() {
  quotas_.start();
  std::weak_ptr<platform_ingress> weak = weak_from_this();
  auto& place = context_->place;
  auto& runtime = context_->runtime;
  auto serve_client = [weak](runtime::inbound_request request, http_api::writer out) {
    auto self = weak.lock();
    if (!self) return;
    auto& shared = *self->context_;
    shared.runtime.spawn(
        http_api::serve_guarded(self->router_.serve(std::move(request), out), out, shared.logger));
  };
  if (!runtime.http_serve(place.ingress, serve_client))
    return "ingress can't be listened on: " + place.ingress;
  auto serve_readiness = [weak](runtime::inbound_request request, http_api::writer out) {
    auto self = weak.lock();
    if (!self) return;
    runtime::http_response response;
    response.status = self->is_ready() ? 200 : 503;
    if (request.path != self->context_->platform.adapter->ready_path) response.status = 404;
    out->reply(std::move(response));
  };
  if (!runtime.http_serve(place.readiness, serve_readiness))
    return "readiness can't be listened on: " + place.readiness;
  return std::nullopt;
}

void platform_ingress::take_update(const rpc::config_update_reply& reply, update_changes changed) {
  auto& shared = *context_;
  if (changed.configuration && shared.config && shared.config->routing)
    router_.set_routing(*shared.config->routing, shared.config->evacuated_zones);
  router_.set_engines(reply.engines, reply.draining_engines);
  if (changed.configuration || changed.members) update_nodes();
  // Readiness asks for the view of the stores before any client does.
  if (shared.stores.current_view().number == 0)
    shared.runtime.spawn(shared.stores.refresh_view(shared.runtime.now() + second));
}

void platform_ingress::update_nodes() {
  auto& shared = *context_;
  std::vector<quota::quota_peer> proxies;
  for (auto& [name, member] : shared.members) {
    bool live_proxy = member.role == rpc::node_role::proxy && member.is_live();
    // A proxy's entry is probed at its agent; it is reached itself at the other address.
    if (live_proxy) proxies.push_back({member.name, member.http, member.zone});
  }
  auto live = static_cast<std::int64_t>(proxies.size());
  // By the agreed list of edges, not the membership: nodes with different views of who lives would send more
  // than the rate between them.
  auto& ranks = shared.ranks;
  auto agreed = shared.config ? std::max(ranks.proxies, ranks.previous_proxies) : 0;
  quotas_.set_peers(std::move(proxies), agreed);
  router_.set_nodes(
      live, {shared.config ? ranks.proxies : 0, ranks.rank, ranks.previous_proxies, ranks.previous_rank});
}

// What was read is answered: the process stays until then, if that comes before its end.
task<> platform_ingress::wait_until_calm(microseconds until) {
  constexpr microseconds calm_time = 200 * millisecond;
  constexpr microseconds poll_period = 20 * millisecond;
  auto self = shared_from_this();
  auto& runtime = self->context_->runtime;
  auto calm_since = runtime.now();
  while (runtime.now() < until && runtime.now() - calm_since < calm_time) {
    co_await runtime.sleep(poll_period);
    // A client that keeps an idle connection may send its next request at any moment.
    auto connections = runtime.http_connections(self->context_->place.ingress);
    if (self->router_.in_flight() > 0 || connections.open > 0) calm_since = runtime.now();
  }
}

task<> platform_ingress::drain() {
  // New connections come until the platform has missed our readiness twice.
  constexpr std::int64_t max_arrival_milliseconds = 2500;
  constexpr std::int64_t reserve_milliseconds = 300;
  constexpr microseconds last_answers_time = 150 * millisecond;
  auto self = shared_from_this();
  auto& runtime = self->context_->runtime;
  auto& place = self->context_->place;
  auto notice = place.notice_milliseconds;
  auto last = runtime.now() + (notice - reserve_milliseconds) * millisecond;
  self->router_.begin_shutdown(last);
  runtime.http_drain(place.ingress);
  co_await runtime.sleep(std::min<std::int64_t>(max_arrival_milliseconds, notice / 2) * millisecond);
  co_await self->wait_until_calm(last);
  self->router_.give_up_requests();
  // Their answers, and those to what was read in the last moment, go out.
  auto end = runtime.now() + last_answers_time;
  auto is_unanswered = [&] {
    return self->router_.in_flight() > 0 || runtime.http_connections(place.ingress).unanswered > 0;
  };
  while (runtime.now() < end && is_unanswered()) co_await runtime.sleep(10 * millisecond);
}

}  // namespace herontally::proxy
