// Test oracle for simulated sites: receives what clients, engines and operators observe and records
// violations of the rules that must hold in every run. It sees nothing inside the nodes, apart from the time
// at which the first node reports an engine as leaving; control_oracle.h checks the state of cores and
// stores.
#pragma once
#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "engine_stand_in/node.h"
#include "load_generator/load.h"
#include "simulator/world.h"

namespace simulator {

// A broken rule: its name, a description, and the virtual time at which it was noticed.
struct violation {
  std::string rule, what;
  microseconds when = 0;
};

// An engine's properties that limit what may reach it. `started_at` and `known_leaving_at` are virtual times;
// -1: no node is known to know that it leaves. `max_transfers` limits its lends and, separately, its borrows
// of cache blocks.
struct engine_info {
  std::string name, zone, weights, kind;
  std::int64_t block_tokens = 16, slow_start_concurrent = 1, max_concurrent = 8, max_transfers = 4;
  double warm_seconds = 5;
  microseconds started_at = 0, known_leaving_at = -1;
};

// The part of one version of the configuration that clients and engines can observe.
struct observable_config {
  std::int64_t marker = 0;       // numbers the versions that operators send, from 1 on
  std::string prefix;            // shared by all programs; contains the marker
  std::string zero_weight_zone;  // this zone's weight is 0, so that no turn is placed there
  bool pulls = true;             // a threshold for pulling cached blocks is set
  std::int64_t keep_seconds = 3600;
};

// A program whose conversation must still be there, and the turn and prompt to continue it with.
struct kept_program {
  std::string program, prompt;
  std::int64_t turn = 0;
};

class oracle {
 public:
  explicit oracle(world& sim_world);
  ~oracle();

  // What was set up.
  // An engine's process starts now; called for every start.
  void engine_started(engine_info info);
  // Every program of this kind may get `tokens` in all; a single turn may exceed that by `turn_tokens`.
  void set_budget(const std::string& program_kind, std::int64_t tokens, std::int64_t turn_tokens);
  // An operator is about to send this configuration.
  void config_offered(observable_config next);

  // What was observed.
  // A client is about to send a turn, or to retry it.
  void turn_begins(const herontally::load_generator::seen_turn& asked);
  // A turn or a call has ended for its client.
  void turn_seen(const herontally::load_generator::seen_turn& seen);
  void call_seen(const herontally::load_generator::seen_call& seen);
  // A request reached an engine, or the engine did something; see engine_stand_in::run.
  void engine_event(const std::string& engine, const herontally::engine_stand_in::run& event);
  // A node under test reports that it knows the engine to be leaving; only the first report counts.
  void engine_known_leaving(const std::string& engine);
  // An operator's change was acknowledged under this revision. Marker 0: the change was no whole
  // configuration.
  void config_acknowledged(std::int64_t marker, std::int64_t revision);
  // A ready node, or a core, reported this revision in its response to a request sent at `asked`.
  void revision_reported(const std::string& node, std::int64_t revision, microseconds asked);
  // A command to begin was acknowledged: the evacuation holds since `asked`, unless a command to end it was
  // acknowledged under a later revision. Responses to overlapping commands arrive in any order; their
  // revisions decide which command holds.
  void evacuation_begun(const std::string& zone, microseconds asked, std::int64_t revision);
  // A command to end is about to be sent: whether the zone is evacuated is unknown until the response comes.
  void evacuation_ending(const std::string& zone);
  // A command to end was acknowledged.
  void evacuation_ended(const std::string& zone, std::int64_t revision);
  // Records a violation.
  void fail(const std::string& rule, const std::string& what);

  // Makes the checks that need the whole run; called once, after all faults are healed.
  void finish();
  // The programs with the longest conversations that must still be there, at most `max_count`.
  std::vector<kept_program> kept_programs(std::size_t max_count) const;
  const std::vector<violation>& violations() const;
  // Numbers of observed events, by name.
  nlohmann::json counts() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace simulator
