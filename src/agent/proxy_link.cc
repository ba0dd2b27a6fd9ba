#include "agent/proxy_link.h"

#include <algorithm>

namespace herontally::agent {

namespace {

constexpr microseconds announce_timeout = 500 * millisecond;
constexpr microseconds update_period = 200 * millisecond;
// A proxy that hasn't polled for longer than this is marked as dead in the membership.
constexpr microseconds proxy_alive_timeout = second;
// A proxy that hasn't polled for longer than this serves no more requests, because its configuration is
// outdated.
constexpr microseconds proxy_serving_timeout = config_distribution::max_config_age + 500 * millisecond;

task<> announce(rpc::endpoint endpoint, std::string address, rpc::config_applied_request request) {
  co_await endpoint.call(std::move(address), std::move(request), announce_timeout);
}

}  // namespace

std::int64_t proxy_link::applied_revision() const {
  bool serving = last_polled_ >= 0 && context_->runtime.now() - last_polled_ <= proxy_serving_timeout;
  return serving ? proxy_revision_ : context_->configs.revision();
}

void proxy_link::record_proxy_poll(const rpc::config_update_request& request) {
  if (request.incarnation > proxy_incarnation_) proxy_revision_ = 0;
  proxy_name_ = request.node;
  proxy_address_ = request.http;
  proxy_incarnation_ = std::max(proxy_incarnation_, request.incarnation);
  proxy_revision_ = std::max(proxy_revision_, request.revision);
  last_polled_ = context_->runtime.now();
}

task<> proxy_link::announce_applied() {
  auto self = shared_from_this();
  auto shared = self->context_;
  auto revision = self->applied_revision();
  if (revision <= self->announced_revision_) co_return;
  self->announced_revision_ = revision;
  shared->trace.add(revision, "in force", "proxy");
  rpc::config_applied_request request{shared->node_settings.name, revision};
  for (auto& core : shared->members.live(rpc::node_role::core))
    shared->runtime.spawn(announce(shared->endpoint, core.inner, request));
}

// There are many rows and they change rarely, so a proxy that has the newest version isn't sent them again.
void proxy_link::add_members(rpc::config_update_reply& reply, known_members known) const {
  auto& members = context_->members;
  reply.members_version = members.version();
  if (reply.members_version == known.version) return;
  auto changes = known.takes_changes ? members.changed_since(known.version) : std::nullopt;
  if (changes) reply.members_since = known.version;
  std::vector<rpc::member> rows;
  for (auto& member : changes ? *changes : members.all()) {
    bool wanted = member.role == rpc::node_role::store || member.role == rpc::node_role::proxy;
    if (wanted || member.name == context_->node_settings.name) rows.push_back(member);
  }
  context_->logger.count("herontally_member_rows_sent_total", static_cast<double>(rows.size()));
  reply.members = nlohmann::json(rows).dump();
}

task<rpc::config_update_reply> proxy_link::serve(rpc::config_update_request request) {
  auto self = shared_from_this();
  // Only the local proxy sends its address; peer agents don't.
  bool from_proxy = !request.http.empty();
  known_members known{request.members_version, request.takes_member_changes};
  if (from_proxy) {
    self->record_proxy_poll(request);
    co_await self->announce_applied();
  }
  // The proxy may have been running since before this agent's start, and can't know of engines that began to
  // drain while no agent ran. The agent confirms its configuration, without which it doesn't serve, only once
  // it knows the draining engines.
  auto age = [feed = self->feed_, watch = self->watch_, from_proxy]() -> std::int64_t {
    auto here = feed.lock();
    bool confirms = here && (!from_proxy || watch->knows_draining_engines());
    return confirms ? here->age_milliseconds() : -1;
  };
  auto reply = co_await self->context_->configs.wait_for_update(std::move(request), age);
  if (!from_proxy) {
    // Passes on the reports of all peers, so that a peer needs to poll only a few of them to hear from a
    // majority.
    reply.peer_ages = nlohmann::json(self->context_->freshness.ages_milliseconds()).dump();
    co_return reply;
  }
  reply.draining_engines = self->watch_->draining();
  self->add_members(reply, known);
  co_return reply;
}

void proxy_link::update_proxy_entry() {
  bool live = context_->runtime.now() - last_polled_ <= proxy_alive_timeout;
  auto known = context_->members.find(proxy_name_);
  bool listed_alive =
      known && known->incarnation == proxy_incarnation_ && known->status == rpc::member_status::alive;
  if (live == listed_alive) return;
  rpc::member next;
  next.name = proxy_name_;
  next.role = rpc::node_role::proxy;
  next.zone = context_->node_settings.zone;
  next.inner = context_->node_settings.inner;  // the agent answers probes of the entry
  next.http = proxy_address_;
  next.incarnation = proxy_incarnation_;
  next.status = live ? rpc::member_status::alive : rpc::member_status::dead;
  if (known && known->incarnation == next.incarnation) next.refutations = known->refutations + 1;
  context_->members.apply_updates({next});
}

task<> proxy_link::run() {
  auto self = shared_from_this();
  while (true) {
    co_await self->context_->runtime.sleep(update_period);
    co_await self->announce_applied();
    if (!self->proxy_name_.empty()) self->update_proxy_entry();
  }
}

}  // namespace herontally::agent
