#include "proxy/platform_ingress.h"

#include "runtime/listening.h"

namespace herontally::proxy {

namespace {

quota::tolerance tolerance_of(const settings::settings& node_settings) {
  return {node_settings.quota_window_milliseconds * millisecond, node_settings.max_quota_excess,
          node_settings.max_quota_slack};
}

router::router_options options_of(const context& shared, quota::tenant_quotas quotas) {
  router::router_options options;
  options.quotas = std::move(quotas);
  options.operation_key_retention = shared.node_settings.operation_key_milliseconds * millisecond;
  options.zone = shared.node_settings.zone;
  options.min_cached_token_delta = shared.platform.min_cached_token_delta;
  return options;
}

}  // namespace

platform_ingress::platform_ingress(std::shared_ptr<context> shared)
    : context_(shared),
      quotas_(shared->endpoint, shared->node_settings.name, shared->incarnation,
              tolerance_of(shared->node_settings)),
      router_(shared->runtime, shared->logger, shared->platform.adapter,
              ledger::program_ledger(shared->stores), ledger::operation_ledger(shared->stores),
              options_of(*shared, quotas_)) {}

bool platform_ingress::is_ready() const {
  // Requests need the ledger, which can't be reached without a view of its storage nodes.
  return router_.ready() && context_->stores.current_view().number > 0;
}

task<> platform_ingress::start() {
  using runtime::listen_when_possible;
  quotas_.start();
  std::weak_ptr<platform_ingress> weak = weak_from_this();
  auto shared = context_;
  auto& node_settings = shared->node_settings;
  auto serve_client = [weak](runtime::inbound_request request, http_api::writer out) {
    auto self = weak.lock();
    if (!self) return;
    auto& shared = *self->context_;
    shared.runtime.spawn(
        http_api::serve_guarded(self->router_.serve(std::move(request), out), out, shared.logger));
  };
  runtime::listener ingress{"ingress", node_settings.ingress, [shared, serve_client] {
                              return shared->runtime.http_serve(shared->node_settings.ingress, serve_client);
                            }};
  co_await listen_when_possible(shared->runtime, shared->logger, std::move(ingress));
  auto serve_readiness = [weak](runtime::inbound_request request, http_api::writer out) {
    auto self = weak.lock();
    if (!self) return;
    runtime::http_response response;
    response.status = self->is_ready() ? 200 : 503;
    if (request.path != self->context_->platform.adapter->ready_path) response.status = 404;
    out->reply(std::move(response));
  };
  runtime::listener readiness{"readiness", node_settings.readiness, [shared, serve_readiness] {
                                return shared->runtime.http_serve(shared->node_settings.readiness,
                                                                  serve_readiness);
                              }};
  co_await listen_when_possible(shared->runtime, shared->logger, std::move(readiness));
}

void platform_ingress::apply_update(const rpc::config_update_reply& reply, update_changes changed) {
  auto& shared = *context_;
  if (changed.configuration && shared.config && shared.config->routing)
    router_.set_routing(*shared.config->routing, shared.config->evacuated_zones);
  router_.set_engines(reply.engines, reply.draining_engines);
  if (changed.configuration || changed.members) update_nodes();
  // Readiness depends on a view of the storage nodes, so it is fetched before the first request.
  if (shared.stores.current_view().number == 0)
    shared.runtime.spawn(shared.stores.refresh_view(shared.runtime.now() + second));
}

void platform_ingress::update_nodes() {
  auto& shared = *context_;
  std::vector<quota::quota_peer> proxies;
  for (auto& [name, member] : shared.members) {
    bool live_proxy = member.role == rpc::node_role::proxy && member.is_live();
    // The `inner` address of a proxy's member entry is its agent's, which is probed for it; the proxy itself
    // is reached at `http`.
    if (live_proxy) proxies.push_back({member.name, member.http, member.zone});
  }
  auto live = static_cast<std::int64_t>(proxies.size());
  // Shares follow the agreed list of edges rather than membership: nodes with different views of which
  // members are live would together exceed the rates.
  auto& ranks = shared.ranks;
  auto agreed = shared.config ? std::max(ranks.proxies, ranks.previous_proxies) : 0;
  quotas_.set_peers(std::move(proxies), agreed);
  router_.set_nodes(
      live, {shared.config ? ranks.proxies : 0, ranks.rank, ranks.previous_proxies, ranks.previous_rank});
}

// Waits until no request is in flight and no connection is open for a while, but no longer than `until`:
// every request that was read gets its answer.
task<> platform_ingress::wait_until_idle(microseconds until) {
  constexpr microseconds idle_time = 200 * millisecond;
  constexpr microseconds poll_period = 20 * millisecond;
  auto self = shared_from_this();
  auto& runtime = self->context_->runtime;
  auto idle_since = runtime.now();
  while (runtime.now() < until && runtime.now() - idle_since < idle_time) {
    co_await runtime.sleep(poll_period);
    // A client with an idle open connection may send its next request at any time.
    auto connections = runtime.http_connections(self->context_->node_settings.ingress);
    if (self->router_.in_flight() > 0 || connections.open > 0) idle_since = runtime.now();
  }
}

task<> platform_ingress::drain() {
  // The platform sends new connections until two readiness probes in a row have failed.
  constexpr std::int64_t max_arrival_milliseconds = 2500;
  constexpr std::int64_t reserve_milliseconds = 300;
  constexpr microseconds last_answers_time = 150 * millisecond;
  auto self = shared_from_this();
  auto& runtime = self->context_->runtime;
  auto& node_settings = self->context_->node_settings;
  auto notice = node_settings.notice_milliseconds;
  auto last = runtime.now() + (notice - reserve_milliseconds) * millisecond;
  self->router_.begin_shutdown(last);
  runtime.http_drain(node_settings.ingress);
  co_await runtime.sleep(std::min<std::int64_t>(max_arrival_milliseconds, notice / 2) * millisecond);
  co_await self->wait_until_idle(last);
  self->router_.abort_requests();
  // Leaves time to send their answers and those to requests read last.
  auto end = runtime.now() + last_answers_time;
  auto is_unanswered = [&] {
    return self->router_.in_flight() > 0 || runtime.http_connections(node_settings.ingress).unanswered > 0;
  };
  while (runtime.now() < end && is_unanswered()) co_await runtime.sleep(10 * millisecond);
}

}  // namespace herontally::proxy
