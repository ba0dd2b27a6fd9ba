#include "agent/config_feed.h"

#include <algorithm>
#include <cmath>

namespace herontally::agent {

namespace {

// How long a core may hold back its reply to a poll.
constexpr std::int64_t poll_wait_milliseconds = 250;
constexpr microseconds core_timeout = 600 * millisecond;
constexpr microseconds retry_delay = 60 * millisecond;
// A core whose configuration was confirmed longer ago than this has lost contact with the other cores.
constexpr std::int64_t max_core_age_milliseconds = 1000;
// Without a confirmation for longer than this, the cores count as unreachable and peers are polled. In normal
// operation the age stays below it: a core holds its reply back for up to 250 ms and reads the register every
// 200 ms, and the age counts from the request.
constexpr microseconds core_contact_timeout = 850 * millisecond;
constexpr microseconds peer_timeout = 500 * millisecond;
constexpr microseconds peer_period = 200 * millisecond;
constexpr std::size_t max_peers_for_initial_config = 3;

}  // namespace

std::int64_t config_feed::age_milliseconds() const {
  if (!context_->freshness.is_confirmed()) return -1;
  return (context_->runtime.now() - context_->freshness.confirmed_until()) / millisecond + 1;
}

void config_feed::apply_update(const rpc::config_update_reply& reply, const std::string& source) {
  auto& shared = *context_;
  if (!reply.engines.empty() && watch_->accepts_engine_list(reply))
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
  request.node = context_->node_settings.name;
  request.revision = context_->configs.revision();
  request.engines_epoch = context_->configs.engines_version().epoch;
  request.engines_sequence = context_->configs.engines_version().sequence;
  return request;
}

std::string config_feed::current_core_address() {
  auto version = context_->members.version();
  if (version != cores_version_) {
    cores_.clear();
    for (auto& core : context_->members.live(rpc::node_role::core)) cores_.push_back(core.inner);
    cores_version_ = version;
  }
  // A seed that isn't a core refuses the request, and the next address is tried.
  auto& addresses = cores_.empty() ? context_->node_settings.seeds : cores_;
  return addresses.empty() ? "" : addresses[core_index_ % addresses.size()];
}

void config_feed::apply_core_reply(const rpc::config_update_reply& reply, microseconds requested_at) {
  auto& shared = *context_;
  apply_update(reply, "core");
  if (reply.engines_age_milliseconds >= 0)
    shared.configs.confirm_engines(requested_at - reply.engines_age_milliseconds * millisecond);
}

task<> config_feed::poll_cores() {
  auto self = shared_from_this();
  auto shared = self->context_;
  self->core_index_ = shared->runtime.draw(3);
  while (true) {
    std::string address = self->current_core_address();
    if (address.empty()) {
      co_await shared->runtime.sleep(retry_delay);
      continue;
    }
    auto request = self->update_request();
    request.applied_revision = self->applied_revision_();
    request.wait_milliseconds = poll_wait_milliseconds;
    auto requested_at = shared->runtime.now();
    auto result = co_await shared->endpoint.call(address, std::move(request), core_timeout);
    auto* reply = std::get_if<rpc::config_update_reply>(&result);
    bool useful =
        reply && reply->age_milliseconds >= 0 && reply->age_milliseconds < max_core_age_milliseconds;
    if (reply) self->apply_core_reply(*reply, requested_at);
    if (useful && shared->configs.revision() >= reply->revision)
      shared->freshness.confirm(requested_at - reply->age_milliseconds * millisecond);
    if (!useful) {
      ++self->core_index_;
      co_await shared->runtime.sleep(retry_delay);
    }
    shared->logger.gauge("herontally_configuration_age_milliseconds",
                         static_cast<double>(self->age_milliseconds()));
  }
}

void config_feed::apply_peer_reply(const rpc::member& peer, const rpc::config_update_reply& reply,
                                   microseconds requested_at) {
  auto& shared = *context_;
  // A peer whose configuration wasn't confirmed since its start can't confirm that of another node.
  if (reply.age_milliseconds < 0) return;
  apply_update(reply, "agent " + peer.name);
  if (shared.configs.revision() < reply.revision) return;
  shared.freshness.record_edge_report(peer.name, requested_at);
  auto ages = nlohmann::json::parse(reply.peer_ages, nullptr, false);
  if (ages.is_object())
    for (auto& [name, age] : ages.items())
      if (age.is_number_integer() && age.get<std::int64_t>() >= 0)
        shared.freshness.record_edge_report(name, requested_at - age.get<std::int64_t>() * millisecond);
  shared.freshness.confirm(requested_at - reply.age_milliseconds * millisecond);
}

task<> config_feed::poll_peer(rpc::member peer) {
  auto self = shared_from_this();
  auto shared = self->context_;
  auto requested_at = shared->runtime.now();
  auto result = co_await shared->endpoint.call(peer.inner, self->update_request(), peer_timeout);
  auto* reply = std::get_if<rpc::config_update_reply>(&result);
  if (reply) self->apply_peer_reply(peer, *reply, requested_at);
}

std::vector<rpc::member> config_feed::select_peers() {
  std::vector<rpc::member> peers;
  for (auto& peer : context_->members.live(rpc::node_role::agent)) {
    bool listed = std::find(edges_.begin(), edges_.end(), peer.name) != edges_.end();
    // While no configuration is known, it can come from any peer.
    if (peer.name != context_->node_settings.name && (listed || edges_.empty())) peers.push_back(peer);
  }
  std::shuffle(peers.begin(), peers.end(), context_->runtime.random());
  // Peers pass on the reports that they have from others, so that a report reaches all edges in a number of
  // rounds that grows logarithmically. A node without a configuration needs only one peer that has it.
  auto log2_of_peers = std::ceil(std::log2(static_cast<double>(peers.size() + 1)));
  std::size_t limit =
      edges_.empty() ? max_peers_for_initial_config : 4 + static_cast<std::size_t>(log2_of_peers);
  if (peers.size() > limit) peers.resize(limit);
  return peers;
}

// Peers can replace the cores: a majority of the edges knows every acknowledged change.
task<> config_feed::poll_peers() {
  auto self = shared_from_this();
  auto shared = self->context_;
  while (true) {
    bool cores_unreachable =
        !shared->freshness.is_confirmed() ||
        shared->runtime.now() - shared->freshness.confirmed_until() > core_contact_timeout;
    if (cores_unreachable)
      for (auto& peer : self->select_peers()) shared->runtime.spawn(self->poll_peer(peer));
    co_await shared->runtime.sleep(peer_period);
  }
}

}  // namespace herontally::agent
