// The state of simulator::oracle, shared by the .cc files that implement it. Internal to these files.
#pragma once
#include "prefix/prefix.h"
#include "simulator/oracle.h"

namespace simulator {

namespace rt = herontally::runtime;
using tokens = std::vector<std::int64_t>;

// Upper bound on the difference between the wall clocks of two simulated machines.
constexpr microseconds max_clock_skew = rt::second;

// What is known of a turn that a client has sent.
struct known_turn {
  std::string prompt, complete_text;
  tokens prompt_ids, output_ids;
  bool complete = false, refused = false;
  microseconds first_asked = 0, last_asked = 0;
  // The shortest retention time of the configurations under which an engine ran the turn; -1: none ran it.
  std::int64_t keep_seconds = -1;
};
struct known_program {
  std::map<std::int64_t, known_turn> turns;
  std::int64_t streamed = 0;  // tokens that clients got, replays of stored turns left out
};
struct known_config {
  observable_config given;
  tokens ids;                      // of its shared prefix
  microseconds acknowledged = -1;  // first acknowledgement; -1: none
};
struct known_call {
  std::int64_t runs = 0;
  std::set<std::string> codes;  // the different results that clients got
};
// The first program that had a cache block computed, and the weights that it was computed with.
struct block_owner {
  std::string program, weights;  // program is empty for a shared block
};

struct oracle::state {
  world& sim_world;
  std::vector<violation> violations;
  std::map<std::string, engine_info> engines;
  // By kind of program: tokens in all, and for one turn.
  std::map<std::string, std::pair<std::int64_t, std::int64_t>> budgets;
  std::map<std::int64_t, known_config> configs;  // by marker
  std::map<std::string, known_program> programs;
  std::map<std::string, known_call> calls;
  std::set<std::string> reported_not_run, executed;      // requests
  std::map<std::string, block_owner> blocks;             // by hash
  std::map<std::string, microseconds> evacuated;         // by zone: since when
  std::map<std::string, std::int64_t> evacuation_ended;  // by zone: the newest revision of a command to end
  std::vector<std::pair<microseconds, std::int64_t>> acknowledged;  // when, revision
  std::int64_t turns = 0, complete = 0, turns_cut = 0, turns_refused = 0, calls_seen = 0, runs = 0, hits = 0,
               replays = 0, pulls = 0, expired_turns_omitted = 0, revision_reports = 0;
  explicit state(world& world_of) : sim_world(world_of) {}

  void fail(const std::string& rule, const std::string& what);
  // What a turn's prompt at an engine must begin with: the shared prefix, and the program's turns from
  // `first` to `turn`.
  tokens expected_prompt(const known_program& program, std::int64_t first, std::int64_t turn,
                         const tokens& prefix) const;
  // The newest marker whose shared prefix the prompt begins with; 0: none.
  std::int64_t marker_of(const tokens& prompt) const;
  void check_prompt(const std::string& name, const herontally::engine_stand_in::run& event);
  void check_omitted_turns(const std::string& name, known_program& program, std::int64_t first,
                           const herontally::engine_stand_in::run& event);
  void check_config_in_force(const std::string& title, std::int64_t marker, microseconds sent);
  void check_cache_hit(const std::string& engine, const herontally::engine_stand_in::run& event);
  void check_arrival(const engine_info& engine, const herontally::engine_stand_in::run& event);
  void check_slow_start(const engine_info& engine, const herontally::engine_stand_in::run& event,
                        const std::string& unit, std::int64_t initial, std::int64_t max);
  void check_streamed_text(const herontally::load_generator::seen_turn& seen);
};

tokens output_ids_of(const std::string& text);  // of a model's output, whose words contain their ids
std::int64_t turn_number(const std::string& turn);
// The model's output after these tokens, up to `max_tokens`.
std::string continuation(tokens before, std::int64_t max_tokens);

}  // namespace simulator
