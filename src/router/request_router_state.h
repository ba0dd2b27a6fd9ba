// Internal to the router package: the router's state, and the state of one client request while it is
// processed. Nothing outside src/router includes this file.
//
// A request passes through these stages: admission (request_router.cc), ledger (request.cc: token reservation
// and chain of earlier turns; operation.cc: operation claim), attempts (request.cc: one plan per attempt),
// forwarding (attempt.cc: to the engine and back), settlement of the reservation (request.cc).
#pragma once
#include <limits>

#include "ledger/tenant_scope.h"
#include "router/attempt_plan.h"
#include "router/event_scanner.h"
#include "router/idle_limit.h"
#include "router/request_queue.h"
#include "router/request_router.h"
#include "router/shutdown_admission.h"
#include "router/tenant_directory.h"

namespace herontally::router {

using runtime::millisecond;
using runtime::second;
using runtime::task;
using headers = std::map<std::string, std::string>;

// One client request, from its arrival until it is answered.
struct client_exchange {
  runtime::inbound_request request;
  http_api::writer out;
  platform_protocol::request_metadata metadata;
  routing::route route;  // a copy from the table, refreshed before each further attempt
  routing::service service;
  // Name of the tenant that the credential belongs to. Empty: an anonymous request. Without a value: the
  // configuration has no tenants.
  std::optional<std::string> tenant;
  std::int64_t urgency = 0;  // by tenant, then by route; 0: the most urgent
  microseconds arrived = 0, deadline = 0;
  std::string body;  // as sent to the engine: the chain of earlier turns and the request's own body
  // Wall clock, microseconds: when the first turn of the chain that this request continues may be removed.
  // The maximum if the request starts a chain.
  std::int64_t chain_expires_at = std::numeric_limits<std::int64_t>::max();
  bool reserved = false;        // the ledger holds a token reservation
  std::int64_t events = 0;      // complete events sent to the client
  bool reached_engine = false;  // an engine has or may have received the request
  bool may_have_run = false;    // some attempt ended without proof that the engine did not run it
  std::optional<ledger::operation_record> operation;  // claim that the request runs under; none: not needed
  bool owns_operation = false;                        // this request made the claim
  bool head_sent = false;                             // the response head of a stream was sent to the client
  bool client_disconnected = false;
  std::function<void()> interrupt_wait;  // ends the wait for an engine's answer; empty: no wait

  // The ledger's id of a program or turn, scoped by this request's tenant.
  std::string ledger_id(const std::string& id) const { return ledger::scoped_id(tenant, id); }
  // Accounts for memory that is kept until the request is answered; false: there is none left.
  bool reserve_memory(std::size_t bytes) const { return !out->reserve || out->reserve(bytes); }
  // The operation key, scoped by this request's tenant.
  std::string operation_id() const { return ledger_id(metadata.operation_key); }
};
using client_exchange_pointer = std::shared_ptr<client_exchange>;

// The outcome of one attempt at one engine.
enum class attempt_outcome {
  answered,             // the client received the engine's answer
  not_run,              // the engine states that it did not run the request
  not_sent,             // no byte of the request was sent
  wrong_engine,         // another engine instance serves the address
  unknown,              // the request may have run
  in_progress,          // an operation with the same key is still running
  stream_cut,           // aborted after the head of the stream was sent
  client_disconnected,  // the client closed its connection
  deadline_exceeded,    // the deadline passed while waiting for the engine
  no_memory,            // the engine's answer is larger than the memory left for it
};

// Why planning an attempt produced no plan.
enum class planning_failure {
  try_again,  // an engine may have become available; plan again
  rejected,   // the client was sent a rejection
};
using planning_result = std::variant<plan, planning_failure>;

// A rejection to be sent to the client.
struct rejection {
  int status = 503;
  std::string reason;  // sent as the body's error; also the label of herontally_refusals_total
  std::int64_t retry_milliseconds = 0;  // 0: no retry hint
};

// The retry hint of a node that is shutting down: any other node can serve the request immediately.
constexpr std::int64_t shutdown_retry_milliseconds = 20;

// The tenant and urgency of a request; see `client_exchange`.
struct caller_identity {
  std::optional<std::string> tenant;
  std::int64_t urgency = 0;
};

struct request_router::state : std::enable_shared_from_this<request_router::state> {
  runtime::handle runtime;
  logging::logger logger;
  std::shared_ptr<const platform_protocol::adapter> adapter;
  ledger::program_ledger programs;
  ledger::operation_ledger operations;
  router_options options;
  routing::table table;
  std::set<std::string> evacuated_zones;
  tenant_directory tenants;
  engine_pool engines;
  idle_limit idle_limits;
  std::int64_t nodes = 1, in_flight = 0;
  node_group group;
  bool has_routing = false;
  shutdown_admission shutdown;
  route_durations durations;
  request_queue waiting_requests;               // requests waiting for an engine
  std::set<client_exchange_pointer> exchanges;  // in flight

  state(runtime::handle handle, logging::logger given_logger,
        std::shared_ptr<const platform_protocol::adapter> given_adapter, ledger::program_ledger ledger,
        ledger::operation_ledger given_operations, router_options given)
      : runtime(handle),
        logger(given_logger),
        adapter(std::move(given_adapter)),
        programs(std::move(ledger)),
        operations(std::move(given_operations)),
        options(std::move(given)) {}
  planning_context make_planning_context() const;
  void reject(const client_exchange_pointer& exchange, const rejection& requested);

  // Admission.
  bool is_serving() const { return has_routing && engines.has_list(); }
  task<bool> wait_until_serving(client_exchange_pointer exchange);
  std::optional<rejection> assign_route(client_exchange& exchange);
  // The rejection of a request that arrives during a shutdown and may not finish in time.
  std::optional<rejection> check_shutdown(const client_exchange& exchange) const;
  // Looks up the request's credential in the current tenants; 401 for an unknown one, unless the route is
  // anonymous.
  std::variant<caller_identity, rejection> identify_caller(const client_exchange& exchange) const;
  // Takes the request from its tenant's quota. False: the request was rejected. `refund_quota` returns
  // what was taken if no engine can have run the request.
  task<bool> admit_by_quota(client_exchange_pointer exchange);
  void refund_quota(const client_exchange& exchange);
  const routing::route* find_route(const client_exchange& exchange) const;

  // Requests waiting for an engine, most urgent first. `wait_for_capacity` returns false once `until` or the
  // shutdown is reached; true only means that planning is worth another try.
  void notify_waiting();
  task<bool> wait_for_capacity(microseconds until, std::int64_t urgency);

  // Processing and ledger. `prepare` returns false if the request was rejected.
  task<> run(client_exchange_pointer exchange);
  task<> process(client_exchange_pointer exchange);
  task<bool> prepare(client_exchange_pointer exchange);
  std::optional<rejection> check_ledger(const client_exchange& exchange, bool budgeted,
                                        ledger::program_reservation reserved,
                                        const ledger::chain_result& chain) const;
  task<> settle(client_exchange_pointer exchange);

  // Keyed operations. `claim_operation` returns false if the request was answered or rejected.
  task<bool> claim_operation(client_exchange_pointer exchange);
  std::optional<rejection> use_claimed_service(client_exchange& exchange) const;
  void replay_answer(const client_exchange& exchange, const ledger::operation_record& kept) const;
  task<> store_operation_answer(client_exchange_pointer exchange, runtime::http_response response);
  task<> release_operation(client_exchange_pointer exchange, ledger::operation_record claim);
  // Releases the claim before replying, so that the key is free once the client learns that nothing ran.
  task<> release_and_reply(client_exchange_pointer exchange, ledger::operation_record claim,
                           runtime::http_response response);

  // Attempts.
  task<> run_attempts(client_exchange_pointer exchange);
  std::optional<rejection> check_before_attempt(client_exchange& exchange, int attempt);
  bool refresh_route(client_exchange& exchange);
  task<planning_result> plan_attempt(client_exchange_pointer exchange, std::vector<interning::symbol> avoid,
                                     int attempt);

  // Forwarding.
  task<attempt_outcome> run_attempt(client_exchange_pointer exchange, plan attempt_plan);
  task<attempt_outcome> handle_first_event(client_exchange_pointer exchange, plan attempt_plan,
                                           std::shared_ptr<runtime::http_stream> stream,
                                           runtime::http_event first);
  task<attempt_outcome> handle_answer(client_exchange_pointer exchange, plan attempt_plan,
                                      std::shared_ptr<runtime::http_stream> stream, runtime::http_head head);
  task<attempt_outcome> forward_complete(client_exchange_pointer exchange,
                                         std::shared_ptr<runtime::http_stream> stream, int status,
                                         headers answer_headers);
  task<attempt_outcome> forward_stream(client_exchange_pointer exchange,
                                       std::shared_ptr<runtime::http_stream> stream, headers answer_headers);
  task<bool> store_turn(client_exchange_pointer exchange, std::string output);
  task<> read_to_end(std::shared_ptr<runtime::http_stream> stream);
  void log_placement(const client_exchange& exchange, const plan& attempt_plan) const;
  runtime::http_request request_for(const client_exchange& exchange, const plan& attempt_plan) const;
  void record_failure(const client_exchange& exchange, interning::symbol engine,
                      const runtime::http_failure& failure);
};

// Whether the request is a keyed operation: its route's category is `keyed` and it has an operation key.
bool is_operation(const client_exchange& exchange);
// Whether the request holds a claim that must be released: nothing ran under it, and no other request can
// have joined it.
bool must_release_claim(const client_exchange& exchange);
// Moves the claim out of the exchange, which then holds none. There must be one.
ledger::operation_record take_claim(client_exchange& exchange);

// The end-to-end header fields of `from`: without hop-by-hop fields and those named by Connection. Names are
// in lower case.
headers end_to_end(const headers& from);

}  // namespace herontally::router
