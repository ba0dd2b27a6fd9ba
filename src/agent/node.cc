#include "agent/node.h"

#include "agent/proxy_link.h"
#include "http_api/responses.h"
#include "runtime/listening.h"

namespace herontally::agent {

struct node::state {
  std::shared_ptr<context> shared;
  std::shared_ptr<draining_watch> watch;
  std::shared_ptr<proxy_link> proxy;
  std::shared_ptr<config_feed> feed;
  bool leaving = false;

  explicit state(std::shared_ptr<context> shared_context)
      : shared(shared_context),
        watch(std::make_shared<draining_watch>(shared_context)),
        proxy(std::make_shared<proxy_link>(shared_context, watch)),
        feed(std::make_shared<config_feed>(shared_context, watch,
                                           [link = proxy] { return link->applied_revision(); })) {
    proxy->set_feed(feed);
  }

  bool ready() const {
    auto age = feed->age_milliseconds();
    return age >= 0 && age * millisecond <= config_distribution::max_config_age && !leaving;
  }
  void serve_http(const runtime::inbound_request& request, const http_api::writer& out) const {
    nlohmann::json detail{{"revision", shared->configs.revision()}};
    if (!http_api::serve_common_endpoints(request, out, shared->logger, ready(), detail))
      http_api::reject(out, 404, "no such page", http_api::executed::no);
  }
};

node::node(runtime::handle runtime, settings::settings node_settings, logging::logger logger,
           std::shared_ptr<const platform_protocol::adapter> platform_adapter)
    : state_(std::make_shared<state>(std::make_shared<context>(
          std::move(runtime), std::move(node_settings), std::move(logger), std::move(platform_adapter)))) {}
node::~node() = default;

task<std::optional<std::string>> node::start() {
  using runtime::listen_when_possible;
  auto self = state_;
  auto shared = self->shared;
  shared->endpoint.serve<rpc::config_update_request>(
      [link = self->proxy](rpc::config_update_request request) { return link->serve(std::move(request)); });
  shared->trace.serve(shared->endpoint, rpc::node_role::agent);
  runtime::listener inner{"inner", shared->node_settings.inner,
                          [shared] { return shared->endpoint.listen(shared->node_settings.inner); }};
  co_await listen_when_possible(shared->runtime, shared->logger, std::move(inner));
  shared->members.start();
  shared->runtime.spawn(self->feed->poll_cores());
  shared->runtime.spawn(self->feed->poll_peers());
  shared->runtime.spawn(self->watch->run());
  shared->runtime.spawn(self->proxy->run());
  std::weak_ptr<state> weak = self;
  auto pages = [weak](runtime::inbound_request request, http_api::writer out) {
    if (auto here = weak.lock()) here->serve_http(request, out);
  };
  runtime::listener http{"http", shared->node_settings.http, [shared, pages] {
                           return shared->runtime.http_serve(shared->node_settings.http, pages);
                         }};
  shared->runtime.spawn(listen_when_possible(shared->runtime, shared->logger, std::move(http)));
  shared->logger.info("started");
  co_return std::nullopt;
}

task<> node::leave() {
  auto self = state_;
  self->leaving = true;
  co_await self->shared->members.leave();
}

}  // namespace herontally::agent
