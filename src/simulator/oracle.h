// Outside the nodes: is given what clients, engines and operators saw, and checks the never-rules by it.
#pragma once
#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "engine_stand_in/node.h"
#include "load_generator/load.h"
#include "simulator/world.h"

namespace simulator {

struct violation {
  std::string rule, what;
  microseconds when = 0;
};

struct engine_facts {
  std::string name, zone, weights, kind;
  std::int64_t block_tokens = 16, slow_start_concurrent = 1, max_concurrent = 8, most_pulls = 4;
  double warm_seconds = 5;
  microseconds born = 0, learned_leaving = -1;
};

// What one version of the configuration says that can be seen from outside.
struct offered_state {
  std::int64_t marker = 0;
  std::string prefix;     // shared by all programs; its words name the marker
  std::string idle_zone;  // its weight is 0: no turn goes there
  bool pulls = true;      // a threshold is set
  std::int64_t keep_seconds = 3600;
};

// Where a program's conversation must go on.
struct kept_program {
  std::string program, prompt;
  std::int64_t turn = 0;
};

class oracle {
 public:
  explicit oracle(world& where);
  ~oracle();

  // What was set up.
  void engine_begins(engine_facts facts);
  void budget(const std::string& program_kind, std::int64_t tokens, std::int64_t turn_tokens);
  void offer(offered_state next);

  // What was seen.
  void turn_begins(const herontally::load_generator::seen_turn& asked);
  void turn_seen(const herontally::load_generator::seen_turn& seen);
  void call_seen(const herontally::load_generator::seen_call& seen);
  void engine_ran(const std::string& engine, const herontally::engine_stand_in::run& what);
  // The first of our nodes, whichever, says that it knows.
  void leaving_learned(const std::string& engine);
  void acknowledged(std::int64_t marker, std::int64_t revision);
  // A node that says it is ready, or a core that was asked, reported this revision.
  void revision_seen(const std::string& node, std::int64_t revision, microseconds asked);
  // An order to begin was granted: the evacuation holds since it was asked for, unless an order to end it was
  // granted under a later revision. Answers to orders that overlap come in any order; their revisions tell
  // which one stands.
  void evacuation_begun(const std::string& zone, microseconds asked, std::int64_t revision);
  // An order to end is under way: whether the zone is evacuated isn't known until it is answered.
  void evacuation_ending(const std::string& zone);
  void evacuation_ended(const std::string& zone, std::int64_t revision);
  void fail(const std::string& rule, const std::string& what);

  // At the end, when everything was healed.
  void finish();
  // Some programs whose conversation must be there, and what to go on with.
  std::vector<kept_program> kept_programs(std::size_t most) const;
  const std::vector<violation>& violations() const;
  nlohmann::json counts() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace simulator
