// Routes clients' requests by the routing table: each goes to an engine of its route's service, unchanged,
// and the engine's answer back to the client.
#pragma once
#include "http_api/responses.h"
#include "ledger/operation_ledger.h"
#include "ledger/program_ledger.h"
#include "logging/logging.h"
#include "platform_protocol/adapter.h"
#include "quota/tenant_quotas.h"
#include "router/slow_start_share.h"
#include "runtime/runtime.h"

namespace herontally::router {

struct router_options {
  std::string zone;                   // this node's
  std::int64_t most_requests = 2000;  // in flight at once
  // A lead in cached tokens above which a source is named, for models whose table names none. Off: nothing.
  std::optional<std::int64_t> min_cached_token_delta;
  std::optional<quota::tenant_quotas> quotas;  // nothing: tenants' quotas are not enforced
  // How long an operation key names the same operation.
  runtime::microseconds operation_key_time = 60 * runtime::second;
};

// Copies share one state.
class request_router {
 public:
  request_router(runtime::handle runtime, logging::logger logger,
                 std::shared_ptr<const platform_protocol::adapter> adapter, ledger::program_ledger programs,
                 ledger::operation_ledger operations, router_options options);
  // The table that is in force from now on, and the zones that get no requests. One with a lower version is
  // ignored.
  void set_routing(routing::table table, std::set<std::string> evacuated_zones);
  // The platform's engine list as JSON (empty: unchanged), and engines that were seen draining besides.
  void set_engines(const std::string& list, const std::vector<std::string>& draining);
  // How many nodes share the engines' caps on connections, and this one's rank among those that share the
  // rates of engines in slow start.
  void set_nodes(std::int64_t count, const node_group& group);
  // Whether requests are served. Before, they wait for a moment and are then rejected.
  bool ready() const;
  // The process has had its notice, and ends at `ends_at`. From now on a request is taken only if it can be
  // answered before that, and rejected before any engine hears of it otherwise. What waits is rejected
  // shortly before the end.
  void begin_shutdown(runtime::microseconds ends_at);
  // The end has come: whoever still waits for an engine's answer hears that it is lost, or, in the midst of
  // a stream, is cut off.
  void give_up_requests();
  std::int64_t in_flight() const;
  // Answers the request.
  runtime::task<> serve(runtime::inbound_request request, http_api::writer out);

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace herontally::router
