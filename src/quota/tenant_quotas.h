// Tenants' quotas over all proxies together: each counts its own requests, counts are merged by maximum, and
// a node admits ahead of what the others know only within its bound (see tenant_usage.h).
//
// Two proxies merge the counts of a tenant, chosen by rendezvous hashing among the live ones. Whoever admits
// requests of a tenant hands its counts to both at once and gets the other nodes' counts back. No safety
// rests on who merges: counts are the same wherever they meet, and nodes without a merging peer keep to their
// share.
#pragma once
#include "quota/tenant_usage.h"
#include "rpc/endpoint.h"

namespace herontally::quota {

// A live proxy, by its inner address.
struct quota_peer {
  std::string name, address, zone;
  bool operator==(const quota_peer&) const = default;
};

struct admission {
  bool granted = true;
  std::int64_t retry_milliseconds = 0;  // when the tenant may come back; only where nothing is granted
};

// Copies share one state.
class tenant_quotas {
 public:
  tenant_quotas(rpc::endpoint endpoint, std::string node, std::int64_t incarnation, tolerance allowed);
  // Answers the other proxies.
  void start();
  void set_tenants(const std::vector<routing::tenant>& tenants);
  // The live proxies, this one among them, and how many the agreed list of edges has. Where no more than half
  // of these are live, as on the smaller side of a partition, a node keeps to its equal share.
  void set_peers(std::vector<quota_peer> proxies, std::int64_t agreed_count);
  // Whether a request of the tenant may go on; counts it in if so. Tenants without a quota are always
  // granted.
  runtime::task<admission> admit(std::string tenant);
  // An admitted request has run nowhere.
  void give_back(const std::string& tenant);

 private:
  struct state;
  std::shared_ptr<state> state_;
};

// The proxies that merge a tenant's counts, the preferred one first; in two zones, if there are two.
std::vector<quota_peer> merging_peers(const std::string& tenant, const std::vector<quota_peer>& proxies);

}  // namespace herontally::quota
