// Internal to the proxy: its side towards the users' platform, where an adapter translates: clients' requests
// by the routing table, and readiness.
#pragma once
#include "proxy/config_follower.h"
#include "router/request_router.h"

namespace herontally::proxy {

class platform_ingress : public std::enable_shared_from_this<platform_ingress> {
 public:
  explicit platform_ingress(std::shared_ptr<context> shared);
  // Listens at the addresses that the settings name; the result tells what stands in the way, if anything.
  std::optional<std::string> open();
  // Hands an update from the agent to the router.
  void take_update(const rpc::config_update_reply& reply, update_changes changed);
  // Ends once nothing has been in flight for a moment: clients that still hold a connection may send another
  // request on it, which is served then and marked as the last.
  task<> drain();

 private:
  bool is_ready() const;
  task<> wait_until_calm(microseconds until);
  // Tells the quotas and the router which proxies there are.
  void update_nodes();

  std::shared_ptr<context> context_;
  quota::tenant_quotas quotas_;
  router::request_router router_;
};

}  // namespace herontally::proxy
