// What the users' clients, engines and operator may hold against the system: their rules, judged on nothing
// but what these stand-ins saw themselves.
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

constexpr microseconds contact = 3 * second, converge = 2 * second, revert_slack = 250 * millisecond,
                       skew = 5 * second, drain_time = 3 * second, evacuate_time = 5 * second,
                       grace = 8 * second, loss_slack = 200 * millisecond, recovery = 12 * second,
                       retain = 60 * second;
constexpr std::int64_t chunk = 4, cold_rate = 20;

struct route_shape {
  std::string kind;
  bool kept = false;
  std::set<std::string> services;
};

// A configuration as the operator sent it, and what came of it.
struct version {
  std::int64_t generation = 0, base = 0;
  std::map<std::string, route_shape> routes;  // by prefix
  std::string body;
  bool valid = true, refused = false;
  microseconds sent = 0, acknowledged = -1;
  const route_shape* match(const std::string& path) const;
};

struct engine_run {
  std::string engine, seal, output, data;  // all of the body; the data of its events, a line feed behind each
  microseconds begun = 0, ended = -1;
  bool complete = false, broken_off = false;  // all was sent; the engine itself ended it early
};

struct sent_request {
  std::string attempt, method, target, body, edge, kind, previous, program;
  bool kept = false, repeatable = false, promised_not_run = false;
  std::uint64_t life = 0;
  std::int64_t budget = -1, most = 0;
  microseconds sent = 0, deadline = 0;
  std::deque<engine_run> runs;
};

struct outcome {
  int status = 0;
  bool whole = false, unread = false, timed_out = false;  // unread: surely no byte was taken
  std::map<std::string, std::string> headers;
  std::string body;
};

struct arrival {  // of a request at an engine that begins to work on it
  std::string attempt, method, target, body, sender, engine, service, zone;
  microseconds sent = 0;
  bool cold = false;
  microseconds shown_draining = -1, cold_since = -1;
};

struct violation {
  std::string rule, what;
  microseconds when = 0;
};

class oracle {
 public:
  explicit oracle(simulator::world& where) : where_(where) {}
  void request(sent_request one);
  // The run that has begun, for the engine to fill in; nothing if no such request was sent.
  engine_run* run(const arrival& seen);
  void answer(const std::string& attempt, const outcome& seen);
  void tokens(const std::string& attempt, std::int64_t events);

  version& change_sent(version next);
  void change_ended(std::int64_t generation, int status);
  void read_back(const std::string& body, int status);
  // A core answered a reading that was sent to it at `asked`; the bound holds for all machines, in touch or
  // not.
  void read_during(const std::string& core, microseconds asked, const std::string& body);
  void zone_begun(const std::string& zone);      // acknowledged
  void zone_finishing(const std::string& zone);  // about to be taken back

  // Trouble of a machine from now on; planned trouble alone excuses no lost answer.
  void trouble(const std::string& machine, bool planned = false);
  void calm(const std::string& machine);
  void notice(const std::string& machine);
  bool in_touch(const std::string& machine) const;
  bool settled(microseconds since) const;
  bool in_trouble(const std::string& machine) const;  // now
  void closing_fault();
  void machines_back();
  void judge_recovery();
  // The newest turn that was answered whole and is still kept.
  const std::deque<std::string>& kept_turns() const { return kept_; }
  std::int64_t newest_acknowledged() const;
  std::vector<violation> violations;
  std::map<std::string, std::int64_t> counts;

 private:
  struct spell {
    microseconds from = 0, to = -1;
    bool planned = false;
  };
  void against(const std::string& rule, const std::string& what);
  bool troubled(const std::string& machine, microseconds since, bool unplanned_alone = false) const;
  static bool is_core(const std::string& machine);
  microseconds bound_for(const std::string& machine, microseconds bound) const;  // -1: none holds
  void judge_route(const sent_request& one, const arrival& seen);
  void judge_leaving(const sent_request& one, const arrival& seen);
  void judge_body(const sent_request& one, const arrival& seen);
  void judge_success(sent_request& one, const outcome& seen);
  void judge_missing(const sent_request& one, const outcome& seen);
  void judge_lost(const sent_request& one, const outcome& seen);
  std::string chain_of(const std::string& turn) const;
  std::int64_t floor_of(const sent_request& one, const std::string& edge) const;

  simulator::world& where_;
  std::map<std::string, sent_request> requests_;
  std::map<std::int64_t, version> versions_;
  std::map<std::string, std::pair<std::string, microseconds>> turns_;  // answered whole: output, when
  std::deque<std::string> kept_;
  std::map<std::string, std::vector<spell>> spells_;
  std::map<std::string, microseconds> notices_, evacuated_;
  std::map<std::string, std::int64_t> handed_, budgets_, most_;  // by program
  std::map<std::string, std::deque<std::pair<microseconds, microseconds>>> cold_;
  std::map<std::pair<std::string, std::uint64_t>, std::pair<std::int64_t, microseconds>> effects_;
  microseconds closed_ = -1, back_ = -1;
  std::int64_t before_ = 0, served_before_ = 0, after_ = 0, served_after_ = 0;
};

}  // namespace herontally::platform_simulator
