// Internal to the router package: the router's state, and one client's request on its way.
//
// The stages of a request: admission (request_router.cc), ledger (request.cc: reservation and chain),
// attempts (request.cc: a plan for each), forwarding (attempt.cc: to the engine and back), settlement
// (request.cc).
#pragma once
#include <limits>

#include "router/attempt_plan.h"
#include "router/event_scanner.h"
#include "router/idle_limit.h"
#include "router/request_queue.h"
#include "router/request_router.h"

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
  microseconds arrived = 0, deadline = 0;
  std::string body;  // as the engine gets it
  // When the first of the turns that it goes on from may be removed; the largest number: it begins a chain.
  std::int64_t chain_kept_until = std::numeric_limits<std::int64_t>::max();
  bool reserved = false;      // a reservation is in the ledger
  std::int64_t events = 0;    // complete ones that the client was sent
  bool engine_heard = false;  // some engine has heard of it
  bool head_sent = false;     // the client has the head of a stream
  bool client_gone = false;
  std::function<void()> interrupt;  // ends the wait for an engine; empty: none waits
};
using exchange_pointer = std::shared_ptr<exchange>;

// How one attempt at an engine ended.
enum class attempt_outcome {
  answered,      // the client has its answer
  not_run,       // the engine promises that it did not run it
  not_sent,      // no engine has heard of it
  wrong_engine,  // another engine has the address
  unknown,       // it may have run
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

struct request_router::state : std::enable_shared_from_this<request_router::state> {
  runtime::handle runtime;
  logging::logger logger;
  std::shared_ptr<const platform_protocol::adapter> adapter;
  ledger::program_ledger programs;
  router_options options;
  routing::table table;
  std::set<std::string> evacuated_zones;
  engine_pool engines;
  idle_limit idle;
  std::int64_t nodes = 1, in_flight = 0;
  node_group group;
  bool draining = false, closed = false, has_routing = false;
  request_queue waiting;  // requests that wait for an engine

  state(runtime::handle handle, logging::logger given_logger,
        std::shared_ptr<const platform_protocol::adapter> given_adapter, ledger::program_ledger ledger,
        router_options given)
      : runtime(handle),
        logger(given_logger),
        adapter(std::move(given_adapter)),
        programs(std::move(ledger)),
        options(std::move(given)) {}
  planning_context planning() const;
  void reject(const exchange_pointer& one, const rejection& why);

  // Admission.
  bool is_serving() const { return has_routing && engines.known(); }
  task<bool> wait_until_serving(exchange_pointer one);
  std::optional<rejection> assign_route(exchange& one);
  const routing::route* route_of(const exchange& one) const;

  // Requests that wait for an engine: the most urgent first.
  void notify_waiting();
  task<bool> wait_for_capacity(microseconds until, std::int64_t urgency);

  // Ledger. False: the request was rejected.
  task<> run(exchange_pointer one);
  task<bool> prepare(exchange_pointer one);
  std::optional<rejection> check_ledger(const exchange& one, bool budgeted,
                                        ledger::program_reservation reserved,
                                        const ledger::chain_result& chain) const;
  task<> settle(exchange_pointer one);

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

// Fields that concern one connection only are not passed on.
headers end_to_end(const headers& from);

}  // namespace herontally::router
