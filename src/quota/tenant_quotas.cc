#include "quota/tenant_quotas.h"

#include <limits>
#include <set>
#include <unordered_map>

#include "hashing/fnv.h"

namespace herontally::quota {

using runtime::microseconds;
using runtime::millisecond;
using runtime::second;
using runtime::task;

namespace {

constexpr microseconds exchange_timeout = 200 * millisecond;
// Between two exchanges with a peer; counts that change meanwhile are sent together in the next one.
constexpr microseconds exchange_pause = 40 * millisecond;
// How long a request waits for peers to confirm this node's counts, while the quota is not used up.
constexpr microseconds max_confirmation_wait = 150 * millisecond;
// Other nodes' counts are requested again after this time, even by a node that admits nothing.
constexpr microseconds max_counts_age = 200 * millisecond;
constexpr microseconds peer_retry_pause = second;
// Levels are sent as integers, in thousandths of a request.
constexpr double level_units = 1000;
constexpr std::int64_t unknown_level = std::numeric_limits<std::int64_t>::max();

}  // namespace

std::vector<quota_peer> merging_peers(const std::string& tenant, const std::vector<quota_peer>& proxies) {
  std::vector<std::pair<std::uint64_t, const quota_peer*>> ranked;
  ranked.reserve(proxies.size());
  for (auto& each : proxies) ranked.emplace_back(hashing::fnv1a(tenant + "/" + each.name), &each);
  std::sort(ranked.begin(), ranked.end());
  if (ranked.empty()) return {};
  std::vector<quota_peer> chosen{*ranked.front().second};
  auto in_another_zone = [&chosen](auto& each) { return each.second->zone != chosen.front().zone; };
  auto second_peer = std::find_if(ranked.begin(), ranked.end(), in_another_zone);
  if (second_peer == ranked.end()) second_peer = ranked.begin() + 1;
  if (second_peer != ranked.end()) chosen.push_back(*second_peer->second);
  return chosen;
}

struct tenant_quotas::state : std::enable_shared_from_this<tenant_quotas::state> {
  // The exchange of counts with one peer.
  struct peer_exchange {
    std::string address;
    std::set<std::string> tenants;             // whose counts the next exchange sends
    bool running = false;                      // whether run_exchanges is active for this peer
    std::int64_t incarnation = 0;              // of the peer, from its last reply
    std::map<std::string, std::int64_t> seen;  // by tenant: the last version received from the peer
    microseconds retry_at = 0;                 // earliest time of the next exchange after a failure
  };

  rpc::endpoint endpoint;
  std::string node;
  std::int64_t incarnation;
  tolerance allowed;
  microseconds started;
  std::vector<quota_peer> proxies;
  std::unordered_map<std::string, std::vector<quota_peer>> merging;  // by tenant, chosen among `proxies`
  std::int64_t agreed_count = 0;                                     // proxies in the agreed configuration
  std::unordered_map<std::string, limit> limits;                     // of the tenants that have a quota
  std::unordered_map<std::string, tenant_usage> usages;
  std::unordered_map<std::string, microseconds>
      requested_at;                                          // by tenant: time of the last request for counts
  std::unordered_map<std::string, microseconds> learned_at;  // by tenant: time of the last reply
  std::map<std::string, peer_exchange> links;                // by the peer's name
  std::int64_t version = 0;                  // increases with each merge of other nodes' counts
  std::vector<runtime::slot<bool>> waiters;  // notified when any exchange ends

  state(rpc::endpoint own_endpoint, std::string name, std::int64_t own_incarnation, tolerance tolerated)
      : endpoint(std::move(own_endpoint)),
        node(std::move(name)),
        incarnation(own_incarnation),
        allowed(tolerated),
        started(endpoint.runtime().now()) {}

  microseconds now() const { return endpoint.runtime().now(); }
  tenant_usage& usage_of(const std::string& tenant);
  const std::vector<quota_peer>& merging_peers_of(const std::string& tenant);
  std::int64_t live_count() const { return static_cast<std::int64_t>(proxies.size()); }
  std::int64_t proxy_count() const { return std::max(live_count(), agreed_count); }
  void exchange(const std::string& tenant);
  void exchange_if_stale(const std::string& tenant);
  bool is_fresh(const std::string& tenant) const;
  void schedule_exchange(const quota_peer& peer, const std::string& tenant);
  task<> run_exchanges(std::string name);
  task<bool> exchange_once(std::string name, std::string address);
  void merge(const std::vector<rpc::tenant_count>& counts);
  void apply_levels(const rpc::quota_reply& reply, const std::vector<rpc::tenant_count>& sent);
  void wake_waiters();
  task<> wait_for_exchange(microseconds until);
  rpc::quota_reply serve(const rpc::quota_request& request);
};

tenant_usage& tenant_quotas::state::usage_of(const std::string& tenant) {
  auto found = usages.find(tenant);
  if (found != usages.end()) return found->second;
  auto& usage =
      usages.emplace(tenant, tenant_usage(tenant, node, incarnation, allowed, started)).first->second;
  auto limited = limits.find(tenant);
  if (limited != limits.end()) usage.set_limit(limited->second, now());
  return usage;
}

bool tenant_quotas::state::is_fresh(const std::string& tenant) const {
  if (live_count() * 2 <= agreed_count) return false;
  auto last = learned_at.find(tenant);
  return last != learned_at.end() && now() - last->second <= max_counts_age;
}

void tenant_quotas::state::schedule_exchange(const quota_peer& peer, const std::string& tenant) {
  auto& link = links[peer.name];
  link.address = peer.address;
  if (now() < link.retry_at) return;
  link.tenants.insert(tenant);
  if (link.running) return;
  link.running = true;
  endpoint.runtime().spawn(run_exchanges(peer.name));
}

const std::vector<quota_peer>& tenant_quotas::state::merging_peers_of(const std::string& tenant) {
  auto [found, inserted] = merging.try_emplace(tenant);
  if (inserted) found->second = merging_peers(tenant, proxies);
  return found->second;
}

void tenant_quotas::state::exchange(const std::string& tenant) {
  requested_at[tenant] = now();
  for (auto& peer : merging_peers_of(tenant)) {
    if (peer.name != node) {
      schedule_exchange(peer, tenant);
      continue;
    }
    // This node merges the tenant's counts itself, so that every node that exchanges with it gets them.
    auto& usage = usage_of(tenant);
    usage.confirm(usage.own_count(now()));
    learned_at[tenant] = now();
  }
}

void tenant_quotas::state::exchange_if_stale(const std::string& tenant) {
  auto last = requested_at.find(tenant);
  if (last == requested_at.end() || now() - last->second > max_counts_age) exchange(tenant);
}

task<> tenant_quotas::state::run_exchanges(std::string name) {
  auto self = shared_from_this();
  bool reached = true;
  while (reached && !self->links[name].tenants.empty()) {
    auto address = self->links[name].address;
    reached = co_await self->exchange_once(name, address);
    self->wake_waiters();
    co_await self->endpoint.runtime().sleep(exchange_pause);
  }
  auto& link = self->links[name];
  link.running = false;
  if (reached) co_return;
  link.tenants.clear();
  link.retry_at = self->now() + peer_retry_pause;
}

task<bool> tenant_quotas::state::exchange_once(std::string name, std::string address) {
  auto self = shared_from_this();
  auto& link = self->links[name];
  rpc::quota_request request;
  request.node = self->node;
  request.seen_by = link.incarnation;
  for (auto& tenant : std::exchange(link.tenants, {})) {
    request.counts.push_back(self->usage_of(tenant).own_count(self->now()));
    request.seen.push_back(link.seen[tenant]);
  }
  auto sent = request.counts;
  auto result = co_await self->endpoint.call(std::move(address), std::move(request), exchange_timeout);
  auto* reply = rpc::reply_of(result);
  self->endpoint.logger().count(reply ? "herontally_quota_exchanges_total"
                                      : "herontally_quota_exchanges_failed_total");
  if (!reply) co_return false;
  self->merge(reply->counts);
  self->apply_levels(*reply, sent);
  auto& updated = self->links[name];
  if (updated.incarnation != reply->incarnation) updated.seen.clear();
  updated.incarnation = reply->incarnation;
  for (auto& count : sent) updated.seen[count.tenant] = reply->version;
  co_return true;
}

void tenant_quotas::state::merge(const std::vector<rpc::tenant_count>& counts) {
  ++version;
  for (auto& count : counts) usage_of(count.tenant).merge(count, version, now());
}

void tenant_quotas::state::apply_levels(const rpc::quota_reply& reply,
                                        const std::vector<rpc::tenant_count>& sent) {
  for (std::size_t position = 0; position < sent.size(); ++position) {
    auto& usage = usage_of(sent[position].tenant);
    usage.confirm(sent[position]);
    learned_at[sent[position].tenant] = now();
    if (position >= reply.levels.size() || reply.levels[position] == unknown_level) continue;
    usage.apply_peer_level(static_cast<double>(reply.levels[position]) / level_units, sent[position], now());
  }
}

void tenant_quotas::state::wake_waiters() {
  for (auto& waiter : std::exchange(waiters, {})) waiter.set(true);
}

task<> tenant_quotas::state::wait_for_exchange(microseconds until) {
  auto self = shared_from_this();
  auto runtime = self->endpoint.runtime();
  auto left = until - runtime.now();
  if (left <= 0) co_return;
  runtime::slot<bool> notifier(runtime);
  self->waiters.push_back(notifier);
  auto timer = runtime.after(left, [notifier] { notifier.set(false); });
  co_await notifier.wait();
  runtime.cancel(timer);
  std::erase_if(self->waiters, [](auto& waiter) { return waiter.is_set(); });
}

rpc::quota_reply tenant_quotas::state::serve(const rpc::quota_request& request) {
  bool same_incarnation = request.seen_by == incarnation && request.seen.size() == request.counts.size();
  merge(request.counts);
  rpc::quota_reply reply;
  reply.incarnation = incarnation;
  reply.version = version;
  for (std::size_t position = 0; position < request.counts.size(); ++position) {
    std::int64_t seen = same_incarnation ? request.seen[position] : 0;
    auto& usage = usage_of(request.counts[position].tenant);
    usage.mark_up_to_date(now());
    for (auto& each : usage.counts_for(request.node, seen, now())) reply.counts.push_back(std::move(each));
    // A node that started within the last window hasn't merged enough counts to know the level.
    bool settled = now() - started >= allowed.window;
    auto level = static_cast<std::int64_t>(usage.level(now()) * level_units);
    reply.levels.push_back(settled ? level : unknown_level);
  }
  return reply;
}

tenant_quotas::tenant_quotas(rpc::endpoint endpoint, std::string node, std::int64_t incarnation,
                             tolerance allowed)
    : state_(std::make_shared<state>(std::move(endpoint), std::move(node), incarnation, allowed)) {}

void tenant_quotas::start() {
  state_->endpoint.serve<rpc::quota_request>(
      [weak = std::weak_ptr<state>(state_)](rpc::quota_request request) -> task<rpc::quota_reply> {
        auto self = weak.lock();
        if (!self) co_return rpc::quota_reply{};
        co_return self->serve(request);
      });
}

void tenant_quotas::set_tenants(const std::vector<routing::tenant>& tenants) {
  auto& self = *state_;
  self.limits.clear();
  for (auto& tenant : tenants) {
    if (!tenant.has_quota()) continue;
    limit granted{tenant.requests_per_second, tenant.burst_requests};
    self.limits[tenant.name] = granted;
    auto used = self.usages.find(tenant.name);
    if (used != self.usages.end()) used->second.set_limit(granted, self.now());
  }
}

void tenant_quotas::set_peers(std::vector<quota_peer> proxies, std::int64_t agreed_count) {
  state_->proxies = std::move(proxies);
  state_->merging.clear();
  state_->agreed_count = agreed_count;
}

task<admission> tenant_quotas::admit(std::string tenant) {
  auto self = state_;
  if (!self->limits.contains(tenant)) co_return admission{};
  auto until = self->now() + max_confirmation_wait;
  self->usage_of(tenant).count_offered(self->now());
  self->exchange_if_stale(tenant);
  while (true) {
    auto& usage = self->usage_of(tenant);
    auto decision = usage.admit(self->proxy_count(), self->is_fresh(tenant), self->now());
    if (decision == verdict::granted) {
      self->exchange(tenant);
      co_return admission{};
    }
    bool rejected = decision == verdict::exceeded || self->now() >= until;
    if (rejected) {
      self->endpoint.logger().count(decision == verdict::exceeded ? "herontally_quota_exceeded_total"
                                                                  : "herontally_quota_unconfirmed_total");
      constexpr microseconds min_retry_pause = 50 * millisecond;
      auto pause = std::max(min_retry_pause, usage.refill_time(self->now()));
      co_return admission{false, pause / millisecond};
    }
    self->exchange(tenant);
    co_await self->wait_for_exchange(until);
  }
}

void tenant_quotas::refund(const std::string& tenant) {
  if (state_->limits.contains(tenant)) state_->usage_of(tenant).refund(state_->now());
}

}  // namespace herontally::quota
