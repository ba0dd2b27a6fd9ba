#include "proxy/node.h"

#include "proxy/call_handler.h"
#include "proxy/config_follower.h"
#include "proxy/platform_ingress.h"
#include "proxy/program_page.h"
#include "proxy/turn_handler.h"

namespace herontally::proxy {

using http_api::reject;

// What a request of the product's own interface asks for.
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

// The node's parts, wired together; each header tells what a part is for and which state it owns.
struct node::state : std::enable_shared_from_this<node::state> {
  std::shared_ptr<context> shared;
  std::shared_ptr<turn_handler> turns;
  std::shared_ptr<call_handler> calls;
  std::shared_ptr<platform_ingress> ingress;  // nullptr: no adapter
  std::shared_ptr<config_follower> follower;

  explicit state(std::shared_ptr<context> made)
      : shared(made),
        turns(std::make_shared<turn_handler>(made)),
        calls(std::make_shared<call_handler>(made)),
        ingress(made->platform.adapter ? std::make_shared<platform_ingress>(made) : nullptr),
        follower(std::make_shared<config_follower>(
            made, [ingress = ingress](const rpc::config_update_reply& reply, update_changes changed) {
              if (ingress) ingress->take_update(reply, changed);
            })) {}

  void watch_engines();
  // The last line of a process that ends on notice: how many requests it has read and not answered.
  void log_end(const std::string& address) const;
  void set_seeds();
  // False: the request was answered.
  bool admit(const target& wanted, const http_api::writer& out);
  task<> serve(runtime::inbound_request request, http_api::writer out);
};

node::node(runtime::handle runtime, settings::settings place, logging::logger logger,
           platform_options platform)
    : state_(std::make_shared<state>(std::make_shared<context>(std::move(runtime), std::move(place),
                                                               std::move(logger), std::move(platform)))) {}
node::~node() = default;

void node::state::set_seeds() {
  shared->stores.set_seeds([weak = std::weak_ptr<context>(shared)] {
    std::vector<std::string> addresses;
    auto here = weak.lock();
    if (!here) return addresses;
    for (auto& [name, member] : here->members)
      if (member.role == rpc::node_role::store && member.is_live()) addresses.push_back(member.inner);
    return addresses;
  });
}

void node::state::log_end(const std::string& address) const {
  auto unanswered = shared->runtime.http_connections(address).unanswered;
  shared->logger.info("ended on notice", {{"unanswered", unanswered}});
}

void node::state::watch_engines() {
  std::weak_ptr<context> weak = shared;
  shared->engines.on_reset([weak](const engine::engine_state& row) {
    // Whatever it held, nothing is believed of it now.
    if (auto here = weak.lock()) here->prefixes.forget(row.number);
  });
  shared->engines.on_report([weak] {
    if (auto here = weak.lock()) here->capacity.notify_all();
  });
}

task<std::optional<std::string>> node::start() {
  auto self = state_;
  auto shared = self->shared;
  self->set_seeds();
  self->watch_engines();
  if (self->ingress) {
    auto fault = self->ingress->open();
    if (fault) co_return fault;
  } else {
    shared->engines.start();
  }
  shared->runtime.spawn(self->follower->run());
  if (!shared->endpoint.listen(shared->place.inner))
    co_return "inner can't be listened on: " + shared->place.inner;
  shared->trace.serve(shared->endpoint, rpc::node_role::proxy);
  auto serve = [weak = std::weak_ptr<state>(self)](runtime::inbound_request request, http_api::writer out) {
    auto here = weak.lock();
    if (!here) return;
    auto& shared = *here->shared;
    shared.runtime.spawn(http_api::serve_guarded(here->serve(std::move(request), out), out, shared.logger));
  };
  if (!shared->runtime.http_serve(shared->place.http, serve))
    co_return "http can't be listened on: " + shared->place.http;
  shared->logger.info("started", {{"agent", shared->place.agent}});
  co_return std::nullopt;
}

task<> node::leave() {
  constexpr std::int64_t reserve_milliseconds = 200;
  constexpr microseconds answer_time = 300 * millisecond;
  constexpr microseconds poll_period = 50 * millisecond;
  auto self = state_;
  auto shared = self->shared;
  shared->leaving = true;
  if (self->ingress) {
    co_await self->ingress->drain();
    self->log_end(shared->place.ingress);
    co_return;
  }
  auto until =
      shared->runtime.now() + (shared->place.notice_milliseconds - reserve_milliseconds) * millisecond;
  // Who waits already waits no longer than that.
  shared->ends_at = until - answer_time;
  shared->capacity.notify_all();
  std::vector<std::string> addresses{shared->place.http};
  co_await runtime::drain_connections(shared->runtime, std::move(addresses), until, until);
  // What was answered may still have to be settled in the ledger.
  while (shared->requests_in_flight > 0 && shared->runtime.now() < until)
    co_await shared->runtime.sleep(poll_period);
  self->log_end(shared->place.http);
}

bool node::state::admit(const target& wanted, const http_api::writer& out) {
  if (wanted.what == target::kind::none) {
    reject(out, 404, "no such page", executed::no);
    return false;
  }
  // A change may have passed us by: better no request than one under a configuration that is no longer in
  // force.
  if (!shared->is_fresh() || shared->leaving) {
    shared->count_rejection(shared->leaving ? "leaving" : "outdated");
    reject(out, 503, shared->leaving ? "this door is closing" : "the desired state may be outdated here",
           executed::no, shared->retry_after(1));
    return false;
  }
  if (!shared->config->partners.contains(wanted.partner)) {
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
  // A proxy whose zone is evacuated serves who still comes, and asks the platform to send others elsewhere.
  bool evacuated = context->config && context->config->evacuated_zones.contains(context->place.zone);
  bool ready = context->is_fresh() && !context->leaving && !evacuated;
  auto revision = context->config ? context->config->revision : 0;
  if (http_api::common_pages(request, out, context->logger, ready, {{"revision", revision}})) co_return;
  auto wanted = target_of(request);
  if (!self->admit(wanted, out)) co_return;
  auto admitted = context->admit(request.peer, out);
  if (!admitted) co_return;
  if (wanted.what == target::kind::turn)
    co_await self->turns->serve(std::move(request), out, wanted.partner, wanted.name);
  else if (wanted.what == target::kind::call)
    co_await self->calls->serve(std::move(request), out, wanted.partner, wanted.name);
  else
    co_await serve_program_page(context, out, wanted.partner, wanted.name);
}

}  // namespace herontally::proxy
