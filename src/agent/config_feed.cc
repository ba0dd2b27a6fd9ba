#include "agent/config_feed.h"

#include <algorithm>
#include <cmath>

namespace herontally::agent {

namespace {

constexpr std::int64_t poll_wait_milliseconds = 250;
constexpr microseconds core_timeout = 600 * millisecond;
constexpr microseconds retry_pause = 60 * millisecond;
// A core whose own knowledge is older than this has lost touch with its peers.
constexpr std::int64_t max_core_age_milliseconds = 1000;
// A core is heard at least this often when all is well: it holds its reply back for up to 250 ms, reads the
// register 200 ms apart, and we count from our request.
constexpr microseconds max_core_silence = 850 * millisecond;
constexpr microseconds peer_timeout = 500 * millisecond;
constexpr microseconds peer_period = 200 * millisecond;
constexpr std::size_t max_peers_for_first_config = 3;

}  // namespace

std::int64_t config_feed::age_milliseconds() const {
  if (!context_->freshness.is_confirmed()) return -1;
  return (context_->runtime.now() - context_->freshness.confirmed_until()) / millisecond + 1;
}

void config_feed::learn(const rpc::config_update_reply& reply, const std::string& source) {
  auto& shared = *context_;
  if (!reply.engines.empty() && watch_->may_take_list(reply))
    shared.configs.set_engines({reply.engines_epoch, reply.engines_sequence}, reply.engines);
  if (reply.config.empty()) return;
  auto content = configuration::record_from_text(reply.config);
  if (!content || !shared.configs.set_config(content->revision, reply.config)) return;
  edges_ = content->edges;
  for (auto& name : content->previous_edges)
    if (std::find(edges_.begin(), edges_.end(), name) == edges_.end()) edges_.push_back(name);
  shared.freshness.set_edges(content->edges, content->previous_edges);
  shared.trace.add(content->revision, "learned", source);
  shared.logger.info("configuration learned", {{"revision", content->revision}, {"source", source}});
  shared.logger.gauge("herontally_configuration_revision", static_cast<double>(content->revision));
}

rpc::config_update_request config_feed::update_request() const {
  rpc::config_update_request request;
  request.node = context_->place.name;
  request.revision = context_->configs.revision();
  request.engines_epoch = context_->configs.engines_version().epoch;
  request.engines_sequence = context_->configs.engines_version().sequence;
  return request;
}

std::string config_feed::next_core() {
  auto version = context_->members.version();
  if (version != cores_version_) {
    cores_.clear();
    for (auto& core : context_->members.live(rpc::node_role::core)) cores_.push_back(core.inner);
    cores_version_ = version;
  }
  // A seed that is no core closes the request, and the next one is tried.
  auto& addresses = cores_.empty() ? context_->place.seeds : cores_;
  return addresses[core_number_ % addresses.size()];
}

void config_feed::learn_from_core(const rpc::config_update_reply& reply, microseconds asked) {
  auto& shared = *context_;
  learn(reply, "core");
  if (reply.engines_age_milliseconds >= 0)
    shared.configs.confirm_engines(asked - reply.engines_age_milliseconds * millisecond);
}

task<> config_feed::follow_core() {
  auto self = shared_from_this();
  auto shared = self->context_;
  self->core_number_ = shared->runtime.draw(3);
  while (true) {
    std::string address = self->next_core();
    auto request = self->update_request();
    request.applied_revision = self->applied_revision_();
    request.wait_milliseconds = poll_wait_milliseconds;
    auto asked = shared->runtime.now();
    auto result = co_await shared->endpoint.call(address, std::move(request), core_timeout);
    auto* reply = std::get_if<rpc::config_update_reply>(&result);
    bool useful =
        reply && reply->age_milliseconds >= 0 && reply->age_milliseconds < max_core_age_milliseconds;
    if (reply) self->learn_from_core(*reply, asked);
    if (useful && shared->configs.revision() >= reply->revision)
      shared->freshness.confirm(asked - reply->age_milliseconds * millisecond);
    if (!useful) {
      ++self->core_number_;
      co_await shared->runtime.sleep(retry_pause);
    }
    shared->logger.gauge("herontally_configuration_age_milliseconds",
                         static_cast<double>(self->age_milliseconds()));
  }
}

void config_feed::learn_from_peer(const rpc::member& peer, const rpc::config_update_reply& reply,
                                  microseconds asked) {
  auto& shared = *context_;
  // A peer to which nobody vouched since its start says nothing that could be relied on.
  if (reply.age_milliseconds < 0) return;
  learn(reply, "agent " + peer.name);
  if (shared.configs.revision() < reply.revision) return;
  shared.freshness.record_edge_report(peer.name, asked);
  auto ages = nlohmann::json::parse(reply.peer_ages, nullptr, false);
  if (ages.is_object())
    for (auto& [name, age] : ages.items())
      if (age.is_number_integer() && age.get<std::int64_t>() >= 0)
        shared.freshness.record_edge_report(name, asked - age.get<std::int64_t>() * millisecond);
  shared.freshness.confirm(asked - reply.age_milliseconds * millisecond);
}

task<> config_feed::ask_peer(rpc::member peer) {
  auto self = shared_from_this();
  auto shared = self->context_;
  auto asked = shared->runtime.now();
  auto result = co_await shared->endpoint.call(peer.inner, self->update_request(), peer_timeout);
  auto* reply = std::get_if<rpc::config_update_reply>(&result);
  if (reply) self->learn_from_peer(peer, *reply, asked);
}

std::vector<rpc::member> config_feed::peers_to_ask() {
  std::vector<rpc::member> peers;
  for (auto& peer : context_->members.live(rpc::node_role::agent)) {
    bool listed = std::find(edges_.begin(), edges_.end(), peer.name) != edges_.end();
    // Before any configuration is known, any peers will do to get one.
    if (peer.name != context_->place.name && (listed || edges_.empty())) peers.push_back(peer);
  }
  std::shuffle(peers.begin(), peers.end(), context_->runtime.random());
  // What they heard from the others reaches everybody in a number of rounds that grows as this does. Who
  // looks for its first configuration needs one peer that has it.
  auto log_of_peers = std::ceil(std::log2(static_cast<double>(peers.size() + 1)));
  std::size_t limit =
      edges_.empty() ? max_peers_for_first_config : 4 + static_cast<std::size_t>(log_of_peers);
  if (peers.size() > limit) peers.resize(limit);
  return peers;
}

// A majority of the edges knows every acknowledged change.
task<> config_feed::follow_peers() {
  auto self = shared_from_this();
  auto shared = self->context_;
  while (true) {
    bool core_silent = !shared->freshness.is_confirmed() ||
                       shared->runtime.now() - shared->freshness.confirmed_until() > max_core_silence;
    if (core_silent)
      for (auto& peer : self->peers_to_ask()) shared->runtime.spawn(self->ask_peer(peer));
    co_await shared->runtime.sleep(peer_period);
  }
}

}  // namespace herontally::agent
