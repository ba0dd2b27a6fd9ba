#include "storage_node/node.h"

#include "http_api/responses.h"
#include "membership/member_list.h"
#include "replication/voter.h"
#include "storage_node/expiry.h"

namespace herontally::storage_node {

using runtime::millisecond;
using runtime::second;
using runtime::task;

struct node::state : std::enable_shared_from_this<node::state> {
  runtime::handle runtime;
  settings::settings place;
  logging::logger logger;
  rpc::endpoint endpoint;
  membership::member_list known;
  replication::voter voter;
  consensus::proposer group;
  bool ready = false, leaving = false;

  static replication::voter_options voter_choice(const settings::settings& place) {
    replication::voter_options choice;
    choice.group = "store";
    choice.bucket_count = 8;
    choice.limit_bytes = place.disk_megabytes << 20;
    choice.attribute = kept_until_attribute;
    return choice;
  }
  state(runtime::handle handle, settings::settings given, logging::logger lines)
      : runtime(handle),
        place(std::move(given)),
        logger(lines),
        endpoint(handle, place.name, lines),
        known(endpoint, membership::own_entry(place, rpc::node_role::store), place.seeds),
        voter(endpoint, voter_choice(place)),
        group(endpoint, "store") {
    if (place.speaks > 0) endpoint.set_version(place.speaks);
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

node::node(runtime::handle runtime, settings::settings place, logging::logger logger)
    : state_(std::make_shared<state>(std::move(runtime), std::move(place), std::move(logger))) {}
node::~node() = default;

task<std::optional<std::string>> node::start() {
  auto self = state_;
  std::weak_ptr<state> weak = self;
  self->voter.on_view([weak](const consensus::view& installed) {
    if (auto here = weak.lock()) here->group.learn(installed);
  });
  auto fault = co_await self->voter.open();
  if (fault == replication::open_error::failed)
    co_return std::string("data can't be read or written: ") + self->place.data;
  if (self->voter.current_view().number > 0) self->group.learn(self->voter.current_view());
  self->known.start();
  // Only now can every message be answered.
  if (!self->endpoint.listen(self->place.inner)) co_return "inner can't be listened on: " + self->place.inner;
  self->runtime.spawn(self->voter.repair_forever());
  self->runtime.spawn(expire_forever(self->voter, self->group, self->known));
  self->runtime.spawn(state::watch_forever(self));
  bool served = self->runtime.http_serve(
      self->place.http, [weak](runtime::inbound_request handle_record, http_api::writer out) {
        auto here = weak.lock();
        if (!here || http_api::common_pages(handle_record, out, here->logger, here->ready)) return;
        http_api::reject(out, 404, "no such page", http_api::executed::no);
      });
  if (!served) co_return "http can't be listened on: " + self->place.http;
  self->logger.info("started", {{"voter", self->voter.id()}, {"keys", self->voter.records().record_count()}});
  co_return std::nullopt;
}

const replication::voter& node::voter() const { return state_->voter; }

task<> node::leave() {
  auto self = state_;
  self->leaving = true;
  co_await self->known.leave();
}

}  // namespace herontally::storage_node
