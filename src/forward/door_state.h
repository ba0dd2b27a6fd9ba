// Internal to the forward package.
#pragma once
#include "forward/door.h"
#include "forward/events.h"
#include "forward/idle_limit.h"
#include "forward/plan.h"
#include "forward/waiting_list.h"

namespace herontally::forward {

using runtime::millisecond;
using runtime::second;
using runtime::task;
using headers = std::map<std::string, std::string>;

// One client's request, from its arrival to its answer.
struct exchange {
  runtime::inbound_request request;
  gateway::writer out;
  platform_protocol::request_metadata terms;
  routing::route route;  // as the table had it on arrival; a later table is asked for anew at each attempt
  routing::service service;
  microseconds arrived = 0, deadline = 0;
  std::string body;         // as the engine gets it
  bool reserved = false;    // a reservation stands in the ledger
  std::int64_t events = 0;  // handed to the client
  std::string said;         // the events' data, where the turn is kept
  bool offered = false;     // an engine has heard of it
  bool head_sent = false, gone = false;
  std::function<void()> interrupt;  // whoever waits for an engine on its behalf
};
using exchange_pointer = std::shared_ptr<exchange>;

// How one attempt at an engine ended.
enum class attempt_end {
  done,       // answered whole
  not_run,    // the engine promises that it did not run it
  not_sent,   // no engine has heard of it
  wrong_one,  // another engine has the address
  unknown,    // it may have run
  cut,        // broken off behind the head of a stream
  gone,       // the client went away
  overdue     // the time is over
};

struct door::state : std::enable_shared_from_this<door::state> {
  runtime::handle runtime;
  logging::logger logger;
  std::shared_ptr<const platform_protocol::adapter> speech;
  ledger::programs programs;
  door_options choice;
  routing::table table;
  std::set<std::string> evacuated;
  roster engines;
  idle_limit idle;
  std::int64_t nodes = 1, under_way = 0;
  node_group group;
  bool leaving = false, closed = false, routed = false;
  waiting_list room;  // requests that wait for an engine

  state(runtime::handle handle, logging::logger lines, std::shared_ptr<const platform_protocol::adapter> from,
        ledger::programs ledger, door_options chosen)
      : runtime(handle),
        logger(lines),
        speech(std::move(from)),
        programs(std::move(ledger)),
        choice(std::move(chosen)) {}
  planning_context context() const;
  void refuse(const exchange_pointer& one, int status, const std::string& why, std::int64_t come_back = 0);
  void wake();
  task<bool> wait_for_room(microseconds until, std::int64_t urgency);
  task<> run(exchange_pointer one);
  // False: the request was answered already.
  task<bool> prepare(exchange_pointer one);
  task<> attempts(exchange_pointer one);
  task<attempt_end> attempt(exchange_pointer one, plan made);
  task<> read_out(std::shared_ptr<runtime::http_stream> stream);
  task<attempt_end> pass_stream(exchange_pointer one, std::shared_ptr<runtime::http_stream> stream,
                                headers answer);
  task<attempt_end> pass_whole(exchange_pointer one, std::shared_ptr<runtime::http_stream> stream, int status,
                               headers answer);
  runtime::http_request request_for(const exchange& one, const plan& made) const;
  void note_failure(const exchange& one, interning::symbol engine, const runtime::http_failure& failure);
  task<> settle(exchange_pointer one);
};

// Fields that concern one connection only are not passed on.
headers end_to_end(const headers& from);

}  // namespace herontally::forward
