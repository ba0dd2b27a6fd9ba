// Enforces tenants' quotas over all proxies together. Each proxy counts its own requests, counts are merged
// by maximum, and a node may admit only a bounded number of requests that the others don't know of yet (see
// tenant_usage.h).
//
// The counts of a tenant are merged by two proxies, chosen by rendezvous hashing among the live ones. A proxy
// that admits requests of a tenant sends its counts to both immediately and receives the other nodes' counts.
// The choice of the merging proxies doesn't affect safety: merged counts are the same on every node, and a
// node that can't reach a merging proxy keeps to its share of the quota. Counts are kept in memory only.
#pragma once
#include "quota/tenant_usage.h"
#include "rpc/endpoint.h"

namespace herontally::quota {

// A live proxy, with its address for requests between nodes.
struct quota_peer {
  std::string name, address, zone;
  bool operator==(const quota_peer&) const = default;
};

// The decision on a request.
struct admission {
  bool granted = true;
  std::int64_t retry_milliseconds = 0;  // delay until a retry; set only if the request is rejected
};

// The quotas of all tenants on one proxy. Copies share one state. `incarnation` must be higher after each
// restart of the node.
class tenant_quotas {
 public:
  tenant_quotas(rpc::endpoint endpoint, std::string node, std::int64_t incarnation, tolerance allowed);
  // Registers the handler for the count exchanges of other proxies.
  void start();
  // Replaces the limits. Tenants that are not listed or have no quota are not limited.
  void set_tenants(const std::vector<routing::tenant>& tenants);
  // Sets the live proxies, including this one, and the number of proxies in the agreed configuration. While
  // no more than half of these are live, as on the smaller side of a partition, a node keeps to its equal
  // share.
  void set_peers(std::vector<quota_peer> proxies, std::int64_t agreed_count);
  // Decides on a request of the tenant and counts it if it is granted. Requests of tenants without a quota
  // are always granted. Waits up to 150 ms for counts from other nodes where the decision depends on
  // them.
  runtime::task<admission> admit(std::string tenant);
  // Returns the quota of an admitted request that no engine has run.
  void refund(const std::string& tenant);

 private:
  struct state;
  std::shared_ptr<state> state_;
};

// The proxies that merge a tenant's counts: up to two, the preferred one first, in different zones if there
// are several. All nodes with the same list of proxies get the same result, regardless of its order.
std::vector<quota_peer> merging_peers(const std::string& tenant, const std::vector<quota_peer>& proxies);

}  // namespace herontally::quota
