#include "quota/tenant_usage.h"

namespace herontally::quota {

using runtime::microseconds;
using runtime::second;

namespace {

// Parts of what a window's requests may exceed the quota by: what the bucket holds beyond the tenant's burst,
// and what nodes may run ahead by. The rest covers differences between the nodes' views.
constexpr double bucket_part = 0.6;
constexpr double ahead_part = 0.25;
// Part of a share that is the same for all nodes; the rest follows the requests that each is offered.
constexpr double equal_part = 0.25;

// A node that hasn't been heard for this long is forgotten; should it come back, what it used of late is
// charged.
constexpr microseconds max_peer_silence = 60 * second;
constexpr microseconds introduction_time = second;

// Whether a node's demand differs enough to be sent to others.
bool demand_changed(std::int64_t now, std::int64_t before) {
  return std::abs(now - before) > std::max<std::int64_t>(2, before / 4);
}

double used(const rpc::tenant_count& count) { return static_cast<double>(count.admitted - count.returned); }

}  // namespace

tenant_usage::tenant_usage(std::string tenant, std::string node, std::int64_t incarnation, tolerance allowed,
                           microseconds started)
    : tenant_(std::move(tenant)),
      node_(std::move(node)),
      incarnation_(incarnation),
      allowed_(allowed),
      started_(started),
      refilled_(started),
      recent_(allowed.window),
      offered_(allowed.window) {}

void tenant_usage::set_limit(limit next, microseconds now) {
  refill(now);
  bool first = limit_.per_second <= 0;
  limit_ = next;
  if (first) introduce(now);
  level_ = std::min(level_, capacity());
}

// The bucket as it would have been filled since the node's start.
void tenant_usage::introduce(microseconds now) {
  introduced_ = now;
  auto since_start = static_cast<double>(now - started_) / second;
  level_ = limit_.per_second * since_start;
  double window = static_cast<double>(allowed_.window) / second;
  introduction_credit_ = limit_.per_second * std::min(since_start, window);
}

void tenant_usage::refill(microseconds now) {
  auto passed = static_cast<double>(std::max<microseconds>(0, now - refilled_)) / second;
  refilled_ = std::max(refilled_, now);
  double filled = level_ + limit_.per_second * passed;
  level_ = std::min(capacity(), filled);
  overflow_ += filled - level_;
}

void tenant_usage::charge(double requests) {
  // A debt beyond the slack would only keep the tenant out for longer than the window asks.
  level_ = std::clamp(level_ - requests, -2 * slack() - limit_.burst, capacity());
}

// Of an incarnation that is new here only what it used of late weighs on the bucket. Whoever learns of all
// nodes together, as one does that has just begun to count, takes them for having used it evenly over the
// window.
void tenant_usage::charge_recent(double requests, microseconds now) {
  if (now - introduced_ > introduction_time) introduction_credit_ = 0;
  double credited = std::min(requests, introduction_credit_);
  introduction_credit_ -= credited;
  charge_late(requests - credited);
}

// Requests that are learned of late were made while the bucket was refilled.
void tenant_usage::charge_late(double requests) {
  double credited = std::clamp(requests, 0.0, overflow_);
  overflow_ -= credited;
  charge(requests - credited);
}

void tenant_usage::learn_level(double level_there, const rpc::tenant_count& sent, microseconds now) {
  refill(now);
  double since = static_cast<double>(admitted_ - returned_) - used(sent);
  level_ = std::min(level_, level_there - std::max(0.0, since));
  overflow_ = 0;
}

void tenant_usage::note_up_to_date(microseconds now) {
  refill(now);
  overflow_ = 0;
}

double tenant_usage::slack() const { return ahead_part * window_excess(); }

double tenant_usage::window_excess() const {
  double window = static_cast<double>(allowed_.window) / second;
  return (limit_.per_second * window + limit_.burst) * allowed_.excess + allowed_.slack;
}

double tenant_usage::capacity() const { return limit_.burst + bucket_part * window_excess(); }

double tenant_usage::level(microseconds now) {
  refill(now);
  return level_;
}

double tenant_usage::share(std::int64_t nodes, bool fresh, microseconds now) {
  double equal = equal_part / static_cast<double>(std::max<std::int64_t>(1, nodes));
  // What others are offered isn't known.
  if (!fresh) return equal;
  auto own = static_cast<double>(offered_.sum(now));
  double all = own;
  for (auto& [name, peer] : peers_)
    if (now - peer.merged <= allowed_.window) all += static_cast<double>(peer.count.offered);
  double by_demand = all > 0 ? own / all : 0;
  return equal + (1 - equal_part) * by_demand;
}

void tenant_usage::offer(microseconds now) { offered_.add(now, 1); }

verdict tenant_usage::admit(std::int64_t nodes, bool fresh, microseconds now) {
  refill(now);
  auto ahead = static_cast<double>(unconfirmed());
  bool first = fresh && ahead < 1 && level_ >= 1;
  bool within_share = ahead + 1 <= share(nodes, fresh, now) * (slack() + level_ + ahead);
  if (!first && !within_share) return level_ >= 1 ? verdict::unconfirmed : verdict::exceeded;
  ++admitted_;
  recent_.add(now, 1);
  charge(1);
  return verdict::granted;
}

void tenant_usage::give_back(microseconds now) {
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
  std::erase_if(peers_, [now](auto& each) { return now - each.second.merged > max_peer_silence; });
  auto& peer = peers_[count.node];
  auto& known = peer.count;
  if (count.incarnation < known.incarnation) return;
  bool same = count.incarnation == known.incarnation;
  bool changed = !same || count.admitted > known.admitted || count.returned > known.returned;
  if (!changed && !demand_changed(count.offered, known.offered)) return;
  auto before = used(known);
  auto merged = count;
  if (same) {
    merged.admitted = std::max(count.admitted, known.admitted);
    merged.returned = std::max(count.returned, known.returned);
  }
  if (changed && same) charge_late(used(merged) - before);
  if (!same) charge_recent(static_cast<double>(count.recent), now);
  known = merged;
  peer.version = version;
  peer.merged = now;
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
