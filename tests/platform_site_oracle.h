// The users' rules for clients, engines and the operator. They are checked only by what the stand-ins for
// these see, never by the product's internal state.
//
// Rules:
// - UNASKED: an engine runs a request that no client sent, or another one than was sent.
// - ROUTE: a request reaches a service that no version routes it to.
// - CONFIG: a version isn't in force in time, a refused or older one is, or two versions replace the same
//   one.
// - DRAIN, EVAC: a request reaches an engine that has been draining, or in an evacuated zone, for too long.
// - FAILBACK: a cold engine gets too many requests in a second.
// - TWICE: a request that may not be repeated runs twice.
// - REFUSED: a request that was refused as not run runs.
// - MIXED: a response is not that of the request's run. ORDER: the same for the bytes or the end of a stream.
// - BUDGET: a program gets more tokens than its budget plus its largest turn.
// - LOST: a completed turn, an acknowledged version or a response around a planned restart is lost.
// - RECOVER: too few requests are served after a closing fault.
// WHOLE and ROLE are checked by simulator/control_oracle.h, BEGIN by the scenario.
#pragma once
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "simulator/world.h"

namespace herontally::platform_simulator {

using runtime::microseconds;
using runtime::millisecond;
using runtime::second;

// Bounds and slacks of the rules. `contact`: a machine without a fault for this long must know the current
// state; `converge`: a version is in force this long after its acknowledgement; `skew` is added while cores
// or stores have faults.
constexpr microseconds contact = 3 * second, converge = 2 * second, revert_slack = 250 * millisecond,
                       skew = 5 * second, drain_time = 3 * second, evacuate_time = 5 * second,
                       grace = 8 * second, loss_slack = 200 * millisecond, recovery = 12 * second,
                       retain = 60 * second;
// Tokens in one event of a stream; requests a second that a cold engine should get.
constexpr std::int64_t chunk = 4, cold_rate = 20;

// What the oracle has to know of a route.
struct route_shape {
  std::string kind;
  bool kept = false;
  std::set<std::string> services;
};

// A configuration as the operator sent it, and its result. Times are virtual; -1: never.
struct version {
  std::int64_t generation = 0, base = 0;
  std::map<std::string, route_shape> routes;  // by prefix
  std::string body;
  bool valid = true, refused = false;
  microseconds sent = 0, acknowledged = -1;
  const route_shape* match(const std::string& path) const;
};

// The run of a request at an engine, filled in by the engine.
struct engine_run {
  // `output` is the whole body, `data` the data of its events, with a line feed after each.
  std::string engine, seal, output, data;
  microseconds begun = 0, ended = -1;
  bool complete = false, aborted = false;  // all of the output was sent; the engine itself ended it early
};

// One attempt of a client and the runs of it.
struct sent_request {
  std::string attempt, method, target, body, edge, kind, previous, program;
  bool kept = false, repeatable = false, refused_as_not_run = false;
  std::uint64_t life = 0;
  std::int64_t budget = -1, max_tokens = 0;
  microseconds sent = 0, deadline = 0;
  std::deque<engine_run> runs;
};

// How an attempt ended for the client.
struct outcome {
  int status = 0;
  // not_received: the server certainly received no byte.
  bool complete = false, not_received = false, timed_out = false;
  std::map<std::string, std::string> headers;
  std::string body;
};

// A request at an engine that begins to run it.
struct arrival {
  std::string attempt, method, target, body, sender, engine, service, zone;
  microseconds sent = 0;
  bool cold = false;
  microseconds listed_draining_at = -1, cold_since = -1;
};

// A broken rule, with the virtual time.
struct violation {
  std::string rule, what;
  microseconds when = 0;
};

// Collects what the stand-ins see and checks the rules; called by the site.
class oracle {
 public:
  explicit oracle(simulator::world& world) : world_(world) {}
  // A client sends an attempt.
  void request_sent(sent_request request);
  // An engine begins to run a request. Returns the run for the engine to fill in; nullptr if no such request
  // was sent.
  engine_run* run_started(const arrival& seen);
  // An attempt has ended for the client.
  void response_ended(const std::string& attempt, const outcome& seen);
  // The client received this many more events of a stream.
  void events_received(const std::string& attempt, std::int64_t events);

  // The operator sends a configuration, and has a result; status 0: unclear.
  version& change_sent(version next);
  void change_ended(std::int64_t generation, int status);
  // The configuration that is read at the end of a run.
  void final_configuration_read(const std::string& body, int status);
  // A core answered a read that was sent to it at `asked`. The bound holds for all cores, whether or not they
  // have faults.
  void configuration_read(const std::string& core, microseconds asked, const std::string& body);
  void evacuation_begun(const std::string& zone);   // the evacuation was acknowledged
  void evacuation_ending(const std::string& zone);  // the call that ends it is about to be sent

  // A fault of a machine begins; a planned one doesn't excuse a lost response.
  void fault_begins(const std::string& machine, bool planned = false);
  // All faults of a machine end.
  void fault_ends(const std::string& machine);
  // A machine is told to shut down: a planned fault.
  void shutdown_notice(const std::string& machine);
  // Whether the machine had no fault for `contact`, and `is_settled` for that time.
  bool is_up_to_date(const std::string& machine) const;
  // Whether no core or store had a fault since then, and a closing fault is at least twice `contact` ago.
  bool is_settled(microseconds since) const;
  bool has_fault(const std::string& machine) const;  // now
  // The closing fault begins; all machines are started again; the check at the end.
  void closing_fault();
  void machines_back();
  void check_recovery();
  // Turns that were answered completely, oldest first.
  const std::deque<std::string>& kept_turns() const { return kept_; }
  std::int64_t newest_acknowledged() const;
  std::vector<violation> violations;
  std::map<std::string, std::int64_t> counts;

 private:
  // The duration of a fault; `to` is -1 while it lasts.
  struct fault_period {
    microseconds from = 0, to = -1;
    bool planned = false;
  };
  void report_violation(const std::string& rule, const std::string& what);
  bool had_fault(const std::string& machine, microseconds since, bool unplanned_only = false) const;
  static bool keeps_data(const std::string& machine);
  microseconds time_bound_for(const std::string& machine, microseconds bound) const;  // -1: no bound
  void check_route(const sent_request& request, const arrival& seen);
  void check_engine_state(const sent_request& request, const arrival& seen);
  void check_body(const sent_request& request, const arrival& seen);
  void check_success(sent_request& request, const outcome& seen);
  void check_missing(const sent_request& request, const outcome& seen);
  void check_lost_response(const sent_request& request, const outcome& seen);
  std::string input_of_chain(const std::string& turn) const;
  std::int64_t min_version_for(const sent_request& request, const std::string& edge) const;

  simulator::world& world_;
  std::map<std::string, sent_request> requests_;
  std::map<std::int64_t, version> versions_;
  std::map<std::string, std::pair<std::string, microseconds>> completed_turns_;  // completed: data, when
  std::deque<std::string> kept_;
  std::map<std::string, std::vector<fault_period>> fault_periods_;
  std::map<std::string, microseconds> shutdown_notices_, evacuated_;
  std::map<std::string, std::int64_t> delivered_tokens_, budgets_, largest_turns_;  // by program
  std::map<std::string, std::deque<std::pair<microseconds, microseconds>>> cold_requests_;
  std::map<std::pair<std::string, std::uint64_t>, std::pair<std::int64_t, microseconds>> versions_in_effect_;
  microseconds closing_fault_at_ = -1, machines_back_at_ = -1;
  std::int64_t requests_before_ = 0, served_before_ = 0, requests_after_ = 0, served_after_ = 0;
};

}  // namespace herontally::platform_simulator
