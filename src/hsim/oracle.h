// Outside the nodes: is told what visitors, engines and operators saw, and checks the never-rules by it.
#pragma once
#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "hsim/world.h"
#include "simcaller/load.h"
#include "simengine/node.h"

namespace hsim {

struct violation {
  std::string rule, what;
  microseconds when = 0;
};

struct engine_facts {
  std::string name, zone, weights, kind;
  std::int64_t block_tokens = 16, cold_at_once = 1, most_at_once = 8;
  double warm_seconds = 5;
  microseconds born = 0, told_leaving = -1;
};

class oracle {
 public:
  explicit oracle(world& where);
  ~oracle();

  // What was set up.
  void engine_begins(engine_facts facts);
  void budget(const std::string& program_kind, std::int64_t tokens, std::int64_t turn_tokens);
  // A shared prefix that some version of the desired state gives to all programs.
  void offer_prefix(std::int64_t marker, const std::string& text);

  // What was seen.
  void turn_begins(const herontally::simcaller::seen_turn& asked);
  void turn_seen(const herontally::simcaller::seen_turn& seen);
  void call_seen(const herontally::simcaller::seen_call& seen);
  void engine_ran(const std::string& engine, const herontally::simengine::run& what);
  void list_shown(const nlohmann::json& engines);
  void marker_acknowledged(std::int64_t marker);
  void evacuation_asked(const std::string& zone);
  void evacuation_ended(const std::string& zone);
  void fail(const std::string& rule, const std::string& what);

  // At the end, when everything was healed.
  void finish();
  // Programs whose conversation must still be there, with the number of their next turn.
  std::vector<std::pair<std::string, std::int64_t>> kept_programs(std::size_t most) const;
  const std::vector<violation>& violations() const;
  nlohmann::json counts() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace hsim
