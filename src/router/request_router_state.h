// Internal to the router package: the router's state, and one client's request on its way.
//
// The stages of a request: admission (request_router.cc), ledger (request.cc: reservation and chain),
// attempts (request.cc: a plan for each), forwarding (attempt.cc: to the engine and back), settlement
// (request.cc).
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

// One client's request, from its arrival to its answer.
struct exchange {
  runtime::inbound_request request;
  http_api::writer out;
  platform_protocol::request_metadata metadata;
  routing::route route;  // as the table has it; looked up anew before each further attempt
  routing::service service;
  // Who sends it, by its credential; empty: nobody known. Nothing: the configuration has no tenants.
  std::optional<std::string> tenant;
  std::int64_t urgency = 0;  // the tenant's before the route's; 0: the most urgent
  microseconds arrived = 0, deadline = 0;
  std::string body;  // as the engine gets it
  // When the first of the turns that it goes on from may be removed; the largest number: it begins a chain.
  std::int64_t chain_kept_until = std::numeric_limits<std::int64_t>::max();
  bool reserved = false;                              // a reservation is in the ledger
  std::int64_t events = 0;                            // complete ones that the client was sent
  bool engine_heard = false;                          // some engine has heard of it
  bool may_have_run = false;                          // no engine's promise stands against it
  std::optional<ledger::operation_record> operation;  // the claim that it runs under; nothing: it needs none
  bool owns_operation = false;                        // the claim is this request's own
  bool head_sent = false;                             // the client has the head of a stream
  bool client_gone = false;
  std::function<void()> interrupt;  // ends the wait for an engine; empty: none waits

  // The id under which the ledger knows a program or a turn of this request's tenant.
  std::string ledger_id(const std::string& id) const { return ledger::scoped_id(tenant, id); }
  // The key of the request's operation, as it is scoped by its tenant.
  std::string operation_id() const { return ledger_id(metadata.operation_key); }
};
using exchange_pointer = std::shared_ptr<exchange>;

// How one attempt at an engine ended.
enum class attempt_outcome {
  answered,      // the client has its answer
  not_run,       // the engine promises that it did not run it
  not_sent,      // no engine has heard of it
  wrong_engine,  // another engine has the address
  unknown,       // it may have run
  in_progress,   // the operation of its key is at work
  cut,           // broken off after the head of a stream
  client_gone,   // the client went away
  overdue,       // the deadline is over
};

// What came of planning an attempt: a plan, or one of these.
enum class not_planned {
  try_again,  // an engine may have capacity now
  rejected,   // the client has its response
};
using planning_result = std::variant<plan, not_planned>;

// What a rejection tells the client.
struct rejection {
  int status = 503;
  std::string reason;                   // counted by it
  std::int64_t retry_milliseconds = 0;  // 0: not said
};

// Of a node that is ending: any other node serves at once.
constexpr std::int64_t closing_retry_milliseconds = 20;

// Who sends a request; see `exchange`.
struct sender {
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
  idle_limit idle;
  std::int64_t nodes = 1, in_flight = 0;
  node_group group;
  bool has_routing = false;
  shutdown_admission shutdown;
  route_durations durations;
  request_queue waiting;                 // requests that wait for an engine
  std::set<exchange_pointer> exchanges;  // that are in flight

  state(runtime::handle handle, logging::logger given_logger,
        std::shared_ptr<const platform_protocol::adapter> given_adapter, ledger::program_ledger ledger,
        ledger::operation_ledger given_operations, router_options given)
      : runtime(handle),
        logger(given_logger),
        adapter(std::move(given_adapter)),
        programs(std::move(ledger)),
        operations(std::move(given_operations)),
        options(std::move(given)) {}
  planning_context planning() const;
  void reject(const exchange_pointer& one, const rejection& asked);

  // Admission.
  bool is_serving() const { return has_routing && engines.known(); }
  task<bool> wait_until_serving(exchange_pointer one);
  std::optional<rejection> assign_route(exchange& one);
  // Why a request that has come during a shutdown isn't taken; nothing: it is.
  std::optional<rejection> check_shutdown(const exchange& one) const;
  // Who sends the request by its credential, as the table in force has it.
  std::variant<sender, rejection> identify_sender(const exchange& one) const;
  // False: the request was rejected. What was admitted and ran nowhere is given back.
  task<bool> admit_by_quota(exchange_pointer one);
  void give_back_quota(const exchange& one);
  const routing::route* route_of(const exchange& one) const;

  // Requests that wait for an engine: the most urgent first.
  void notify_waiting();
  task<bool> wait_for_capacity(microseconds until, std::int64_t urgency);

  // Ledger. False: the request was rejected.
  task<> run(exchange_pointer one);
  task<> answer(exchange_pointer one);
  task<bool> prepare(exchange_pointer one);
  std::optional<rejection> check_ledger(const exchange& one, bool budgeted,
                                        ledger::program_reservation reserved,
                                        const ledger::chain_result& chain) const;
  task<> settle(exchange_pointer one);

  // Operations by key. False: the request was answered.
  task<bool> claim_operation(exchange_pointer one);
  std::optional<rejection> go_to_claimed_service(exchange& one) const;
  void replay_answer(const exchange& one, const ledger::operation_record& kept) const;
  task<> keep_operation_answer(exchange_pointer one, runtime::http_response response);
  task<> release_operation(exchange_pointer one, ledger::operation_record claim);
  // The key is free by the time at which the client hears that nothing ran.
  task<> release_and_reply(exchange_pointer one, ledger::operation_record claim,
                           runtime::http_response response);

  // Attempts.
  task<> run_attempts(exchange_pointer one);
  std::optional<rejection> check_before_attempt(exchange& one, int attempt);
  bool take_current_route(exchange& one);
  task<planning_result> plan_attempt(exchange_pointer one, std::vector<interning::symbol> avoid, int attempt);

  // Forwarding.
  task<attempt_outcome> run_attempt(exchange_pointer one, plan made);
  task<attempt_outcome> handle_first(exchange_pointer one, plan made,
                                     std::shared_ptr<runtime::http_stream> stream, runtime::http_event first);
  task<attempt_outcome> handle_answer(exchange_pointer one, plan made,
                                      std::shared_ptr<runtime::http_stream> stream, runtime::http_head head);
  task<attempt_outcome> forward_whole(exchange_pointer one, std::shared_ptr<runtime::http_stream> stream,
                                      int status, headers answer);
  task<attempt_outcome> forward_stream(exchange_pointer one, std::shared_ptr<runtime::http_stream> stream,
                                       headers answer);
  task<bool> keep_turn(exchange_pointer one, std::string output);
  task<> read_to_end(std::shared_ptr<runtime::http_stream> stream);
  void log_placement(const exchange& one, const plan& made) const;
  runtime::http_request request_for(const exchange& one, const plan& made) const;
  void note_failure(const exchange& one, interning::symbol engine, const runtime::http_failure& failure);
};

// Whether the request is one of an operation by key.
bool is_operation(const exchange& one);
// Whether it holds a claim under which nothing ran, and which nobody else may have joined.
bool must_release(const exchange& one);
// The claim that is to be released; the request holds it no more.
ledger::operation_record take_claim(exchange& one);

// Fields that concern one connection only are not passed on.
headers end_to_end(const headers& from);

}  // namespace herontally::router
