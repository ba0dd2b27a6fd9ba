// Hollow machines: real agents and the questions of their proxies, many in one process, for scale runs.
#pragma once
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "logging/logging.h"
#include "runtime/runtime.h"

namespace scale_run {

namespace runtime = herontally::runtime;
namespace logging = herontally::logging;
using json = nlohmann::json;

// What the hollow machines saw and when, by the wall clock.
struct sightings {
  std::map<std::int64_t, std::vector<runtime::microseconds>> in_force;       // by revision
  std::map<std::string, std::map<std::string, runtime::microseconds>> dead;  // by member, then observer
};

struct machine_terms {
  std::string name, zone, inner, http, proxy_inner, platform;
  std::vector<std::string> seeds;
  int speaks = 0;  // version of the inner protocol; 0: the newest
};

class machine {
 public:
  machine(const runtime::backend& table, machine_terms terms, std::shared_ptr<sightings> seen);
  ~machine();
  void start();
  // As a machine that lost its power: from now on it says nothing, and its connections stay open.
  void kill();
  bool alive() const;
  const machine_terms& terms() const;
  // The counter of the agent and of its proxy's questions.
  double agent_value(const std::string& counter) const;
  double proxy_value(const std::string& counter) const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace scale_run
