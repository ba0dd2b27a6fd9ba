#include "agent/proxy_link.h"

#include <algorithm>

namespace herontally::agent {

namespace {

constexpr microseconds announce_timeout = 500 * millisecond;
constexpr microseconds entry_period = 200 * millisecond;
// A proxy that hasn't polled for this long is taken for dead in the membership.
constexpr microseconds max_proxy_silence = second;
// One that hasn't polled for longer than its configuration lasts serves nobody any more.
constexpr microseconds max_serving_silence = config_distribution::max_config_age + 500 * millisecond;

task<> announce(rpc::endpoint endpoint, std::string address, rpc::config_applied_request request) {
  co_await endpoint.call(std::move(address), std::move(request), announce_timeout);
}

}  // namespace

std::int64_t proxy_link::applied_revision() const {
  bool serving = seen_ >= 0 && context_->runtime.now() - seen_ <= max_serving_silence;
  return serving ? revision_ : context_->configs.revision();
}

void proxy_link::note_proxy(const rpc::config_update_request& request) {
  if (request.incarnation > incarnation_) revision_ = 0;
  name_ = request.node;
  inner_ = request.http;
  incarnation_ = std::max(incarnation_, request.incarnation);
  revision_ = std::max(revision_, request.revision);
  seen_ = context_->runtime.now();
}

task<> proxy_link::announce_applied() {
  auto self = shared_from_this();
  auto shared = self->context_;
  auto revision = self->applied_revision();
  if (revision <= self->announced_revision_) co_return;
  self->announced_revision_ = revision;
  shared->trace.add(revision, "in force", "proxy");
  rpc::config_applied_request request{shared->place.name, revision};
  for (auto& core : shared->members.live(rpc::node_role::core))
    shared->runtime.spawn(announce(shared->endpoint, core.inner, request));
}

// Entries are many and change seldom: a proxy that has the newest isn't sent them again.
void proxy_link::add_members(rpc::config_update_reply& reply, known_members known) const {
  auto& members = context_->members;
  reply.members_version = members.version();
  if (reply.members_version == known.version) return;
  auto changes = known.takes_changes ? members.changed_since(known.version) : std::nullopt;
  if (changes) reply.members_since = known.version;
  std::vector<rpc::member> useful;
  for (auto& member : changes ? *changes : members.all()) {
    bool wanted = member.role == rpc::node_role::store || member.role == rpc::node_role::proxy;
    if (wanted || member.name == context_->place.name) useful.push_back(member);
  }
  context_->logger.count("herontally_member_rows_sent_total", static_cast<double>(useful.size()));
  reply.members = nlohmann::json(useful).dump();
}

task<rpc::config_update_reply> proxy_link::serve(rpc::config_update_request request) {
  auto self = shared_from_this();
  // Only our own proxy gives its address.
  bool from_proxy = !request.http.empty();
  known_members known{request.members_version, request.takes_member_changes};
  if (from_proxy) {
    self->note_proxy(request);
    co_await self->announce_applied();
  }
  // Our proxy may go on from before our start, and knows of no engine that has begun to drain since we ended:
  // it serves again once we know.
  auto age = [feed = self->feed_, watch = self->watch_, from_proxy]() -> std::int64_t {
    auto here = feed.lock();
    bool vouches = here && (!from_proxy || watch->is_informed());
    return vouches ? here->age_milliseconds() : -1;
  };
  auto reply = co_await self->context_->configs.wait_for_update(std::move(request), age);
  if (!from_proxy) {
    // A few peers are asked for what all of them said: then a majority's word needs no message to each.
    reply.peer_ages = nlohmann::json(self->context_->freshness.ages_milliseconds()).dump();
    co_return reply;
  }
  reply.draining_engines = self->watch_->draining();
  self->add_members(reply, known);
  co_return reply;
}

void proxy_link::update_entry() {
  bool live = context_->runtime.now() - seen_ <= max_proxy_silence;
  auto known = context_->members.find(name_);
  bool shown = known && known->incarnation == incarnation_ && known->status == rpc::member_status::alive;
  if (live == shown) return;
  rpc::member next;
  next.name = name_;
  next.role = rpc::node_role::proxy;
  next.zone = context_->place.zone;
  next.inner = context_->place.inner;  // probes of the entry reach the agent
  next.http = inner_;
  next.incarnation = incarnation_;
  next.status = live ? rpc::member_status::alive : rpc::member_status::dead;
  if (known && known->incarnation == next.incarnation) next.refutations = known->refutations + 1;
  context_->members.apply_updates({next});
}

task<> proxy_link::run() {
  auto self = shared_from_this();
  while (true) {
    co_await self->context_->runtime.sleep(entry_period);
    co_await self->announce_applied();
    if (!self->name_.empty()) self->update_entry();
  }
}

}  // namespace herontally::agent
