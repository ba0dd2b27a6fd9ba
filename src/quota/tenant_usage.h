// What one proxy knows about one tenant's use of its quota, and the decision whether it may admit another
// request. The exchange of counts with other proxies is in tenant_quotas.h.
//
// The quota is a token bucket shared by all nodes. Its capacity is the tenant's burst plus a part of the
// permitted excess of a window. `level` is the number of requests left in it according to this node, which
// includes the node's own requests. Other nodes' requests become known with a delay. Therefore a node's
// unconfirmed requests, those that no other node knows of yet, are limited to its share of the remaining
// level and the slack:
//
//   unconfirmed <= share * (slack + level + unconfirmed)
//
// The shares of all nodes add up to 1. If each node keeps to its share, the requests that are admitted and
// not yet known to all nodes stay below the remaining level plus the slack, so that the true level of the
// bucket never falls below -slack. A node that can't reach its peers gets no further confirmation and is
// limited to its share of the refill.
//
// Invariant: the totals of a node's incarnation never decrease; merging takes the higher of two copies.
#pragma once
#include <map>

#include "quota/sliding_count.h"
#include "routing/table.h"
#include "rpc/quota_messages.h"

namespace herontally::quota {

// By how much the requests of a window may exceed a quota.
struct tolerance {
  runtime::microseconds window = 5 * runtime::second;
  double excess = 0.1;  // fraction of what the quota grants within the window
  double slack = 20;    // requests, in addition to the fraction
};

// A tenant's quota, in requests.
struct limit {
  double per_second = 0, burst = 0;
};

// The decision on a request.
enum class verdict {
  granted,
  unconfirmed,  // may be granted once peers have confirmed this node's counts
  exceeded,     // the quota is used up
};

// Times are of one monotonic clock.
class tenant_usage {
 public:
  // The bucket is empty at the time `started`, so that a restart grants no second burst.
  tenant_usage(std::string tenant, std::string node, std::int64_t incarnation, tolerance allowed,
               runtime::microseconds started);

  // Sets the quota. A lower limit takes effect immediately.
  void set_limit(limit next, runtime::microseconds now);
  // Counts a request before the decision on it, as demand on this node.
  void count_offered(runtime::microseconds now);
  // Decides on a request and counts it if it is granted. `nodes`: proxies that share the quota. `fresh`: the
  // other nodes' counts are recent, so that a node without unconfirmed requests may use all of the remaining
  // level.
  verdict admit(std::int64_t nodes, bool fresh, runtime::microseconds now);
  // Returns an admitted request that no engine has run.
  void refund(runtime::microseconds now);
  // Time until the level reaches one request, as far as this node knows; 0 if it has or if there is no quota.
  runtime::microseconds refill_time(runtime::microseconds now);

  // This node's own count, to be sent to a peer. `confirm` records that a peer has received it.
  rpc::tenant_count own_count(runtime::microseconds now);
  void confirm(const rpc::tenant_count& sent);
  // Applies the level at a merging peer, which learns of all requests immediately, after it merged `sent`. It
  // can only lower the level here.
  void apply_peer_level(double peer_level, const rpc::tenant_count& sent, runtime::microseconds now);
  // Records that all counts of other nodes up to now have been merged.
  void mark_up_to_date(runtime::microseconds now);
  // Merges another node's count, unless it is old or unchanged. `version` identifies the merge for
  // counts_for.
  void merge(const rpc::tenant_count& count, std::int64_t version, runtime::microseconds now);
  // The counts of nodes other than `node` that were merged after `version`, and this node's own.
  std::vector<rpc::tenant_count> counts_for(const std::string& node, std::int64_t version,
                                            runtime::microseconds now);
  // Requests left in the bucket, as far as this node knows; negative if it is overdrawn.
  double level(runtime::microseconds now);

 private:
  struct peer_count {
    rpc::tenant_count count;
    std::int64_t version = 0;
    runtime::microseconds merged_at = 0;
  };
  void refill(runtime::microseconds now);
  void charge(double requests);
  std::int64_t unconfirmed() const { return admitted_ - confirmed_; }
  // Requests by which a window may exceed what the quota grants.
  double window_excess() const;
  // The level of a full bucket.
  double capacity() const;
  // The unconfirmed requests that all nodes together may have beyond the level.
  double slack() const;
  void initialize_level(runtime::microseconds now);
  void charge_delayed(double requests);
  void charge_new_incarnation(double requests, runtime::microseconds now);
  // The fraction of the level and the slack that this node may use unconfirmed.
  double share(std::int64_t nodes, bool fresh, runtime::microseconds now);

  std::string tenant_, node_;
  std::int64_t incarnation_;
  tolerance allowed_;
  limit limit_;
  double level_ = 0, startup_credit_ = 0;
  double overflow_ = 0;  // refill beyond the capacity since the counts were last up to date
  runtime::microseconds started_at_, refilled_at_, initialized_at_ = 0;
  std::int64_t admitted_ = 0, returned_ = 0, confirmed_ = 0;
  sliding_count recent_, offered_;
  std::map<std::string, peer_count> peers_;  // by name of the node
};

}  // namespace herontally::quota
