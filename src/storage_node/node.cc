#include "storage_node/node.h"

#include "http_api/responses.h"
#include "membership/member_list.h"
#include "replication/voter.h"
#include "runtime/listening.h"
#include "storage_node/expiry.h"

namespace herontally::storage_node {

using runtime::millisecond;
using runtime::second;
using runtime::task;

struct node::state : std::enable_shared_from_this<node::state> {
  runtime::handle runtime;
  settings::settings config;
  logging::logger logger;
  rpc::endpoint endpoint;
  membership::member_list members;
  replication::voter voter;
  consensus::proposer group;
  bool ready = false, leaving = false;

  static replication::voter_options make_voter_options(const settings::settings& config) {
    replication::voter_options options;
    options.group = "store";
    options.bucket_count = 8;
    options.limit_bytes = config.disk_megabytes << 20;
    options.attribute = retention_end_attribute;
    return options;
  }
  state(runtime::handle handle, settings::settings node_config, logging::logger node_logger)
      : runtime(handle),
        config(std::move(node_config)),
        logger(node_logger),
        endpoint(handle, config.name, node_logger),
        members(endpoint, membership::self_entry(config, rpc::node_role::store), config.seeds),
        voter(endpoint, make_voter_options(config)),
        group(endpoint, "store") {
    if (config.protocol_version > 0) endpoint.set_version(config.protocol_version);
  }

  static task<> watch_forever(std::shared_ptr<state> self) {
    while (true) {
      self->ready = self->voter.current_view().number > 0 && !self->leaving;
      self->logger.gauge("herontally_voter_keys", static_cast<double>(self->voter.records().record_count()));
      self->logger.gauge("herontally_voter_bytes", static_cast<double>(self->voter.records().live_bytes()));
      self->logger.gauge("herontally_view", static_cast<double>(self->voter.current_view().number));
      co_await self->runtime.sleep(500 * millisecond);
    }
  }
};

node::node(runtime::handle runtime, settings::settings config, logging::logger logger)
    : state_(std::make_shared<state>(std::move(runtime), std::move(config), std::move(logger))) {}
node::~node() = default;

task<std::optional<std::string>> node::start() {
  using runtime::listen_when_possible;
  auto self = state_;
  std::weak_ptr<state> weak = self;
  self->voter.on_view([weak](const consensus::view& installed) {
    if (auto locked = weak.lock()) locked->group.learn_view(installed);
  });
  co_await self->voter.open_when_possible();
  if (self->voter.current_view().number > 0) self->group.learn_view(self->voter.current_view());
  runtime::listener inner{"inner", self->config.inner,
                          [self] { return self->endpoint.listen(self->config.inner); }};
  co_await listen_when_possible(self->runtime, self->logger, std::move(inner));
  self->members.start();
  self->runtime.spawn(self->voter.repair_forever());
  self->runtime.spawn(expire_forever(self->voter, self->group, self->members));
  self->runtime.spawn(state::watch_forever(self));
  auto serve = [weak](runtime::inbound_request request, http_api::writer out) {
    auto locked = weak.lock();
    if (!locked || http_api::serve_common_endpoints(request, out, locked->logger, locked->ready)) return;
    http_api::reject(out, 404, "no such page", http_api::executed::no);
  };
  runtime::listener http{"http", self->config.http,
                         [self, serve] { return self->runtime.http_serve(self->config.http, serve); }};
  self->runtime.spawn(listen_when_possible(self->runtime, self->logger, std::move(http)));
  self->logger.info("started", {{"voter", self->voter.id()}, {"keys", self->voter.records().record_count()}});
  co_return std::nullopt;
}

const replication::voter& node::voter() const { return state_->voter; }

task<> node::leave() {
  auto self = state_;
  self->leaving = true;
  co_await self->members.leave();
}

}  // namespace herontally::storage_node
