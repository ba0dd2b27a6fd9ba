// What one proxy knows of one tenant's use of its quota, and whether it may admit another request.
//
// The quota is a token bucket over all nodes together, which holds the tenant's burst and a part of what a
// window may exceed the quota by: `level` requests are left of it by all that this node knows, its own
// requests included. Other nodes' requests are known late, so that this node may run ahead of what the others
// know of it only by its share of what is left and of the slack:
//
//   unconfirmed <= share * (slack + level + unconfirmed)
//
// The shares of all nodes add up to 1. If each node keeps to its share, all that is admitted and not yet
// known to everybody stays below what is left plus the slack; the true level of the bucket never falls below
// -slack. A node whose peers are out of reach has no more confirmed and is held to its share of the refill.
//
// Invariant: totals of a node's incarnation never fall; merging takes the higher of two copies.
#pragma once
#include <map>

#include "quota/sliding_count.h"
#include "routing/table.h"
#include "rpc/quota_messages.h"

namespace herontally::quota {

// How far the requests of a window may exceed a quota.
struct tolerance {
  runtime::microseconds window = 5 * runtime::second;
  double excess = 0.1;  // part of what the quota grants within the window
  double slack = 20;    // requests
};

struct limit {
  double per_second = 0, burst = 0;  // requests
};

enum class verdict {
  granted,
  unconfirmed,  // it may be granted once the others know of this node's requests
  exceeded,     // the quota is used up
};

class tenant_usage {
 public:
  // The bucket is empty at the moment `started`, so that a restart grants no second burst.
  tenant_usage(std::string tenant, std::string node, std::int64_t incarnation, tolerance allowed,
               runtime::microseconds started);

  // A lower limit binds at once.
  void set_limit(limit next, runtime::microseconds now);
  // Counts the request as offered.
  void offer(runtime::microseconds now);
  // Counts the request in, if it may go on. `nodes`: proxies that share the quota. `fresh`: what the others
  // have counted was asked for just now, so that a node without anything unconfirmed may take what is left.
  verdict admit(std::int64_t nodes, bool fresh, runtime::microseconds now);
  // A request that was admitted has run nowhere.
  void give_back(runtime::microseconds now);
  // How long until the bucket holds a request again, by what is known.
  runtime::microseconds refill_time(runtime::microseconds now);

  // This node's own count, to be sent; `confirm` once a peer has it.
  rpc::tenant_count own_count(runtime::microseconds now);
  void confirm(const rpc::tenant_count& sent);
  // What a merging peer, which hears of all requests at once, takes for left after `sent` was merged there.
  void learn_level(double level_there, const rpc::tenant_count& sent, runtime::microseconds now);
  // All that was counted elsewhere until now has been merged.
  void note_up_to_date(runtime::microseconds now);
  // Takes over another node's count. `version` marks it for those who ask what changed.
  void merge(const rpc::tenant_count& count, std::int64_t version, runtime::microseconds now);
  // Counts of others than `node` that were marked after `version`, and this node's own.
  std::vector<rpc::tenant_count> counts_for(const std::string& node, std::int64_t version,
                                            runtime::microseconds now);
  double level(runtime::microseconds now);

 private:
  struct peer_count {
    rpc::tenant_count count;
    std::int64_t version = 0;
    runtime::microseconds merged = 0;
  };
  void refill(runtime::microseconds now);
  void charge(double requests);
  std::int64_t unconfirmed() const { return admitted_ - confirmed_; }
  // By how much the requests of a window may exceed what the quota grants.
  double window_excess() const;
  // What the full bucket holds, and what all nodes together may run ahead by.
  double capacity() const;
  double slack() const;
  void introduce(runtime::microseconds now);
  void charge_late(double requests);
  void charge_recent(double requests, runtime::microseconds now);
  double share(std::int64_t nodes, bool fresh, runtime::microseconds now);

  std::string tenant_, node_;
  std::int64_t incarnation_;
  tolerance allowed_;
  limit limit_;
  double level_ = 0, introduction_credit_ = 0;
  double overflow_ = 0;  // refill beyond the capacity since other nodes' counts were up to date
  runtime::microseconds started_, refilled_, introduced_ = 0;
  std::int64_t admitted_ = 0, returned_ = 0, confirmed_ = 0;
  sliding_count recent_, offered_;
  std::map<std::string, peer_count> peers_;  // by node
};

}  // namespace herontally::quota
