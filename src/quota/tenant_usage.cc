#include "quota/tenant_usage.h"

namespace herontally::quota {

using runtime::microseconds;
using runtime::second;

namespace {

// Fractions of the permitted excess of a window: the capacity of the bucket beyond the tenant's burst, and
// the slack for unconfirmed requests. The remaining 0.15 cover differences between the nodes' views.
constexpr double bucket_excess_fraction = 0.6;
constexpr double slack_fraction = 0.25;
// Fraction of the shares that is divided equally among the nodes; the rest is divided by their demand.
constexpr double equal_share_fraction = 0.25;

// A peer without merged counts for this long is forgotten. If it returns, its requests of the last window are
// charged.
constexpr microseconds max_peer_silence = 60 * second;
constexpr microseconds startup_credit_time = second;

// Whether a node's demand has changed enough to be sent to other nodes.
bool demand_changed(std::int64_t now, std::int64_t before) {
  return std::abs(now - before) > std::max<std::int64_t>(2, before / 4);
}

// Requests that have used quota.
double used(const rpc::tenant_count& count) { return static_cast<double>(count.admitted - count.returned); }

}  // namespace

tenant_usage::tenant_usage(std::string tenant, std::string node, std::int64_t incarnation, tolerance allowed,
                           microseconds started)
    : tenant_(std::move(tenant)),
      node_(std::move(node)),
      incarnation_(incarnation),
      allowed_(allowed),
      started_at_(started),
      refilled_at_(started),
      recent_(allowed.window),
      offered_(allowed.window) {}

void tenant_usage::set_limit(limit next, microseconds now) {
  refill(now);
  bool first = limit_.per_second <= 0;
  limit_ = next;
  if (first) initialize_level(now);
  level_ = std::min(level_, capacity());
}

// Fills the bucket as if the limit had applied since the node's start, when it was empty.
void tenant_usage::initialize_level(microseconds now) {
  initialized_at_ = now;
  auto since_start = static_cast<double>(now - started_at_) / second;
  level_ = limit_.per_second * since_start;
  double window = static_cast<double>(allowed_.window) / second;
  startup_credit_ = limit_.per_second * std::min(since_start, window);
}

void tenant_usage::refill(microseconds now) {
  auto passed = static_cast<double>(std::max<microseconds>(0, now - refilled_at_)) / second;
  refilled_at_ = std::max(refilled_at_, now);
  double filled = level_ + limit_.per_second * passed;
  level_ = std::min(capacity(), filled);
  overflow_ += filled - level_;
}

void tenant_usage::charge(double requests) {
  // The overdraft is bounded: a larger one would reject the tenant for longer than the window requires.
  level_ = std::clamp(level_ - requests, -2 * slack() - limit_.burst, capacity());
}

// Charges the requests of an incarnation that is new to this node; only those of the last window count. A
// node that has just begun to count learns of all nodes at once. Their requests are taken as spread evenly
// over the window, so that the refill since the start is credited against them.
void tenant_usage::charge_new_incarnation(double requests, microseconds now) {
  if (now - initialized_at_ > startup_credit_time) startup_credit_ = 0;
  double credited = std::min(requests, startup_credit_);
  startup_credit_ -= credited;
  charge_delayed(requests - credited);
}

// Charges requests that became known with a delay. They were made while the bucket was being refilled, so
// that refill lost to a full bucket is credited against them first.
void tenant_usage::charge_delayed(double requests) {
  double credited = std::clamp(requests, 0.0, overflow_);
  overflow_ -= credited;
  charge(requests - credited);
}

void tenant_usage::apply_peer_level(double peer_level, const rpc::tenant_count& sent, microseconds now) {
  refill(now);
  double since = static_cast<double>(admitted_ - returned_) - used(sent);
  level_ = std::min(level_, peer_level - std::max(0.0, since));
  overflow_ = 0;
}

void tenant_usage::mark_up_to_date(microseconds now) {
  refill(now);
  overflow_ = 0;
}

double tenant_usage::slack() const { return slack_fraction * window_excess(); }

double tenant_usage::window_excess() const {
  double window = static_cast<double>(allowed_.window) / second;
  return (limit_.per_second * window + limit_.burst) * allowed_.excess + allowed_.slack;
}

double tenant_usage::capacity() const { return limit_.burst + bucket_excess_fraction * window_excess(); }

double tenant_usage::level(microseconds now) {
  refill(now);
  return level_;
}

double tenant_usage::share(std::int64_t nodes, bool fresh, microseconds now) {
  double equal = equal_share_fraction / static_cast<double>(std::max<std::int64_t>(1, nodes));
  // The other nodes' demand is unknown.
  if (!fresh) return equal;
  auto own = static_cast<double>(offered_.sum(now));
  double all = own;
  for (auto& [name, peer] : peers_)
    if (now - peer.merged_at <= allowed_.window) all += static_cast<double>(peer.count.offered);
  double by_demand = all > 0 ? own / all : 0;
  return equal + (1 - equal_share_fraction) * by_demand;
}

void tenant_usage::count_offered(microseconds now) { offered_.add(now, 1); }

verdict tenant_usage::admit(std::int64_t nodes, bool fresh, microseconds now) {
  refill(now);
  auto unconfirmed_count = static_cast<double>(unconfirmed());
  bool may_use_all = fresh && unconfirmed_count < 1 && level_ >= 1;
  bool within_share =
      unconfirmed_count + 1 <= share(nodes, fresh, now) * (slack() + level_ + unconfirmed_count);
  if (!may_use_all && !within_share) return level_ >= 1 ? verdict::unconfirmed : verdict::exceeded;
  ++admitted_;
  recent_.add(now, 1);
  charge(1);
  return verdict::granted;
}

void tenant_usage::refund(microseconds now) {
  refill(now);
  ++returned_;
  recent_.add(now, -1);
  charge(-1);
}

microseconds tenant_usage::refill_time(microseconds now) {
  refill(now);
  if (limit_.per_second <= 0 || level_ >= 1) return 0;
  return static_cast<microseconds>((1 - level_) / limit_.per_second * second);
}

rpc::tenant_count tenant_usage::own_count(microseconds now) {
  return {tenant_, node_, incarnation_, admitted_, returned_, recent_.sum(now), offered_.sum(now)};
}

void tenant_usage::confirm(const rpc::tenant_count& sent) {
  confirmed_ = std::max(confirmed_, std::min(sent.admitted, admitted_));
}

void tenant_usage::merge(const rpc::tenant_count& count, std::int64_t version, microseconds now) {
  if (count.node == node_) return;
  refill(now);
  std::erase_if(peers_, [now](auto& each) { return now - each.second.merged_at > max_peer_silence; });
  auto& peer = peers_[count.node];
  auto& known = peer.count;
  if (count.incarnation < known.incarnation) return;
  bool same_incarnation = count.incarnation == known.incarnation;
  bool changed = !same_incarnation || count.admitted > known.admitted || count.returned > known.returned;
  if (!changed && !demand_changed(count.offered, known.offered)) return;
  auto before = used(known);
  auto merged = count;
  if (same_incarnation) {
    merged.admitted = std::max(count.admitted, known.admitted);
    merged.returned = std::max(count.returned, known.returned);
  }
  if (changed && same_incarnation) charge_delayed(used(merged) - before);
  if (!same_incarnation) charge_new_incarnation(static_cast<double>(count.recent), now);
  known = merged;
  peer.version = version;
  peer.merged_at = now;
}

std::vector<rpc::tenant_count> tenant_usage::counts_for(const std::string& node, std::int64_t version,
                                                        microseconds now) {
  std::vector<rpc::tenant_count> counts;
  for (auto& [name, peer] : peers_)
    if (name != node && peer.version > version) counts.push_back(peer.count);
  if (admitted_ > 0) counts.push_back(own_count(now));
  return counts;
}

}  // namespace herontally::quota
