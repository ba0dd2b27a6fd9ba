// Internal to the proxy: the listeners for the users' platform, whose protocol an adapter translates. Passes
// clients' requests to the request router, answers readiness probes, and drains connections at shutdown.
#pragma once
#include "proxy/config_follower.h"
#include "router/request_router.h"

namespace herontally::proxy {

class platform_ingress : public std::enable_shared_from_this<platform_ingress> {
 public:
  explicit platform_ingress(std::shared_ptr<context> shared);
  // Completes once it listens at the ingress and readiness addresses of the settings.
  task<> start();
  // Passes an update from the agent on to the router and the quotas. Called by config_follower.
  void apply_update(const rpc::config_update_reply& reply, update_changes changed);
  // Stops accepting work and completes once no request has been in flight and no connection open for a short
  // while, or shortly before the notice period ends. A client with an open connection may send one more
  // request on it, which is served and marked as the last.
  task<> drain();

 private:
  bool is_ready() const;
  task<> wait_until_idle(microseconds until);
  // Passes the live proxies, and this proxy's rank among the listed ones, to the quotas and the router.
  void update_nodes();

  std::shared_ptr<context> context_;
  quota::tenant_quotas quotas_;
  router::request_router router_;
};

}  // namespace herontally::proxy
