#include "proxy/node.h"

#include "http_api/document_limit.h"
#include "proxy/call_handler.h"
#include "proxy/config_follower.h"
#include "proxy/platform_ingress.h"
#include "proxy/program_page.h"
#include "proxy/turn_handler.h"
#include "runtime/listening.h"

namespace herontally::proxy {

using http_api::reject;

// The resource that a request in the product's own protocol addresses.
struct target {
  enum class kind { none, turn, call, program_page };
  kind what = kind::none;
  std::string partner, name;  // of the program or the route
};

static target target_of(const runtime::inbound_request& request) {
  auto parts = http_api::split_path(request.path);
  if (parts.size() < 5 || parts[0] != "v1" || parts[1] != "partners") return {};
  target found{target::kind::none, parts[2], parts[4]};
  bool post = request.method == "POST", get = request.method == "GET";
  if (post && parts.size() == 6 && parts[3] == "programs" && parts[5] == "turns")
    found.what = target::kind::turn;
  if (post && parts.size() == 5 && parts[3] == "calls") found.what = target::kind::call;
  if (get && parts.size() == 5 && parts[3] == "programs") found.what = target::kind::program_page;
  return found;
}

// The node's components.
struct node::state : std::enable_shared_from_this<node::state> {
  std::shared_ptr<context> shared;
  std::shared_ptr<turn_handler> turns;
  std::shared_ptr<call_handler> calls;
  std::shared_ptr<platform_ingress> ingress;  // nullptr: without a platform adapter
  std::shared_ptr<config_follower> follower;

  explicit state(std::shared_ptr<context> made)
      : shared(made),
        turns(std::make_shared<turn_handler>(made)),
        calls(std::make_shared<call_handler>(made)),
        ingress(made->platform.adapter ? std::make_shared<platform_ingress>(made) : nullptr),
        follower(std::make_shared<config_follower>(
            made, [ingress = ingress](const rpc::config_update_reply& reply, update_changes changed) {
              if (ingress) ingress->apply_update(reply, changed);
            })) {}

  void watch_engines();
  // Writes the last log line of a graceful shutdown: how many requests were read at `address` but not
  // answered.
  void log_shutdown(const std::string& address) const;
  void set_seeds();
  // False: the request was rejected.
  bool admit(const target& requested, const http_api::writer& out);
  task<> serve(runtime::inbound_request request, http_api::writer out);
};

node::node(runtime::handle runtime, settings::settings node_settings, logging::logger logger,
           platform_options platform)
    : state_(std::make_shared<state>(std::make_shared<context>(std::move(runtime), std::move(node_settings),
                                                               std::move(logger), std::move(platform)))) {}
node::~node() = default;

void node::state::set_seeds() {
  shared->stores.set_seeds([weak = std::weak_ptr<context>(shared)] {
    std::vector<std::string> addresses;
    auto locked = weak.lock();
    if (!locked) return addresses;
    for (auto& [name, member] : locked->members)
      if (member.role == rpc::node_role::store && member.is_live()) addresses.push_back(member.inner);
    return addresses;
  });
}

void node::state::log_shutdown(const std::string& address) const {
  auto unanswered = shared->runtime.http_connections(address).unanswered;
  shared->logger.info("ended on notice", {{"unanswered", unanswered}});
}

void node::state::watch_engines() {
  std::weak_ptr<context> weak = shared;
  shared->engines.on_reset([weak](const engine::engine_state& row) {
    // Its cache can no longer be relied upon.
    if (auto locked = weak.lock()) locked->prefixes.forget(row.number);
  });
  shared->engines.on_report([weak] {
    if (auto locked = weak.lock()) locked->capacity.notify_all();
  });
}

task<std::optional<std::string>> node::start() {
  using runtime::listen_when_possible;
  auto self = state_;
  auto shared = self->shared;
  self->set_seeds();
  self->watch_engines();
  if (self->ingress) {
    co_await self->ingress->start();
  } else {
    shared->engines.start();
  }
  shared->runtime.spawn(self->follower->run());
  shared->trace.serve(shared->endpoint, rpc::node_role::proxy);
  runtime::listener inner{"inner", shared->node_settings.inner,
                          [shared] { return shared->endpoint.listen(shared->node_settings.inner); }};
  shared->runtime.spawn(listen_when_possible(shared->runtime, shared->logger, std::move(inner)));
  auto serve = [weak = std::weak_ptr<state>(self)](runtime::inbound_request request, http_api::writer out) {
    auto locked = weak.lock();
    if (!locked || !http_api::admit_document(request, out)) return;
    auto& shared = *locked->shared;
    shared.runtime.spawn(http_api::serve_guarded(locked->serve(std::move(request), out), out, shared.logger));
  };
  runtime::listener http{"http", shared->node_settings.http, [shared, serve] {
                           return shared->runtime.http_serve(shared->node_settings.http, serve);
                         }};
  shared->runtime.spawn(listen_when_possible(shared->runtime, shared->logger, std::move(http)));
  shared->logger.info("started", {{"agent", shared->node_settings.agent}});
  co_return std::nullopt;
}

task<> node::leave() {
  constexpr std::int64_t reserve_milliseconds = 200;
  constexpr microseconds answer_time = 300 * millisecond;
  constexpr microseconds poll_period = 50 * millisecond;
  auto self = state_;
  auto shared = self->shared;
  shared->shutting_down = true;
  if (self->ingress) {
    co_await self->ingress->drain();
    self->log_shutdown(shared->node_settings.ingress);
    co_return;
  }
  auto until = shared->runtime.now() +
               (shared->node_settings.notice_milliseconds - reserve_milliseconds) * millisecond;
  // Ends the wait of requests that are already queued.
  shared->queue_deadline = until - answer_time;
  shared->capacity.notify_all();
  std::vector<std::string> addresses{shared->node_settings.http};
  co_await runtime::drain_connections(shared->runtime, std::move(addresses), until, until);
  // Turns that were answered may still have to be settled in the ledger.
  while (shared->requests_in_flight > 0 && shared->runtime.now() < until)
    co_await shared->runtime.sleep(poll_period);
  self->log_shutdown(shared->node_settings.http);
}

bool node::state::admit(const target& requested, const http_api::writer& out) {
  if (requested.what == target::kind::none) {
    reject(out, 404, "no such page", executed::no);
    return false;
  }
  // A change may have been missed: requests are rejected rather than served under a configuration that may no
  // longer be in force.
  if (!shared->is_fresh() || shared->shutting_down) {
    shared->count_rejection(shared->shutting_down ? "leaving" : "outdated");
    reject(out, 503,
           shared->shutting_down ? "this door is closing" : "the desired state may be outdated here",
           executed::no, shared->retry_after(1));
    return false;
  }
  if (!shared->config->partners.contains(requested.partner)) {
    reject(out, 404, "no such partner", executed::no);
    return false;
  }
  return true;
}

task<> node::state::serve(runtime::inbound_request request, http_api::writer out) {
  auto self = shared_from_this();
  auto context = self->shared;
  context->logger.gauge("herontally_requests", static_cast<double>(context->requests_in_flight));
  context->logger.gauge("herontally_queue", static_cast<double>(context->capacity.size()));
  // In an evacuated zone the proxy still serves requests but reports not ready, so that the platform sends
  // clients elsewhere.
  bool evacuated = context->config && context->config->evacuated_zones.contains(context->node_settings.zone);
  bool ready = context->is_fresh() && !context->shutting_down && !evacuated;
  auto revision = context->config ? context->config->revision : 0;
  if (http_api::serve_common_endpoints(request, out, context->logger, ready, {{"revision", revision}}))
    co_return;
  auto requested = target_of(request);
  if (!self->admit(requested, out)) co_return;
  auto admitted = context->admit(request.peer, out);
  if (!admitted) co_return;
  if (requested.what == target::kind::turn)
    co_await self->turns->serve(std::move(request), out, requested.partner, requested.name);
  else if (requested.what == target::kind::call)
    co_await self->calls->serve(std::move(request), out, requested.partner, requested.name);
  else
    co_await serve_program_page(context, out, requested.partner, requested.name);
}

}  // namespace herontally::proxy
