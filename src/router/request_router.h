// Routes client requests by the routing table: forwards each to an engine of its route's service and returns
// the engine's answer to the client. Token budgets, kept turns and operation keys are stored in the ledgers
// (src/ledger); the choice among engines is made by src/placement. Names and formats on the wire come from
// the platform adapter.
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
  std::string zone;                  // the zone of this node
  std::int64_t max_requests = 2000;  // in flight at once
  // Default for models without a value of their own: a cache source is named if it holds more cached tokens
  // than the chosen engine by more than this. Without a value no source is named.
  std::optional<std::int64_t> min_cached_token_delta;
  std::optional<quota::tenant_quotas> quotas;  // without a value quotas are not enforced
  // How long an operation key identifies the same operation.
  runtime::microseconds operation_key_retention = 60 * runtime::second;
};

// Copies share one state. Not thread-safe: all calls come from the runtime's event loop.
class request_router {
 public:
  request_router(runtime::handle runtime, logging::logger logger,
                 std::shared_ptr<const platform_protocol::adapter> adapter, ledger::program_ledger programs,
                 ledger::operation_ledger operations, router_options options);
  // Replaces the routing table and the set of zones that get no requests. A table with a lower version than
  // the current one is ignored.
  void set_routing(routing::table table, std::set<std::string> evacuated_zones);
  // Replaces the engine list (the platform's list as JSON; empty: unchanged) and the ids of engines that are
  // draining in addition to those that the list marks.
  void set_engines(const std::string& list, const std::vector<std::string>& draining);
  // `count`: nodes that share the engines' connection limits. `group`: this node's rank among the nodes that
  // share the rate limit of engines in slow start.
  void set_nodes(std::int64_t count, const node_group& group);
  // Whether a table and an engine list are present and no shutdown has begun. Requests that arrive before the
  // table and the list wait up to 1.2 s and are then rejected.
  bool ready() const;
  // Begins the shutdown of a process that ends at `ends_at`. From now on a request is accepted only if it can
  // be answered before that; otherwise it is rejected before any engine receives it. Requests still waiting
  // for an engine are rejected shortly before the end.
  void begin_shutdown(runtime::microseconds ends_at);
  // Called at the end of the shutdown: ends every wait for an engine's answer. The client gets an error
  // response, or a cut connection if the head of a stream was already sent.
  void abort_requests();
  std::int64_t in_flight() const;
  // Serves one request and replies through `out`.
  runtime::task<> serve(runtime::inbound_request request, http_api::writer out);

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace herontally::router
