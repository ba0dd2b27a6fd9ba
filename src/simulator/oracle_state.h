// Internal to simulator's oracle.
#pragma once
#include "prefix/prefix.h"
#include "simulator/oracle.h"

namespace simulator {

namespace rt = herontally::runtime;
using tokens = std::vector<std::int64_t>;

// Wall clocks of the world's machines differ by this much at the most.
constexpr microseconds clock_skew = rt::second;

struct asked_turn {
  std::string prompt, complete_text;
  tokens prompt_ids, output_ids;
  bool complete = false, refused = false;
  microseconds first_asked = 0, last_asked = 0;
  std::int64_t keep_seconds = -1;  // the least of the states under which it was placed
};
struct known_program {
  std::map<std::int64_t, asked_turn> turns;
  std::int64_t streamed = 0;  // tokens that any client got
};
struct known_state {
  offered_state given;
  tokens ids;
  microseconds acknowledged = -1;
};
struct known_call {
  std::int64_t runs = 0;
  std::set<std::string> codes;
};
struct block_owner {
  std::string program, weights;  // program is empty for a shared block
};

struct oracle::state {
  world& where;
  std::vector<violation> found;
  std::map<std::string, engine_facts> engines;
  std::map<std::string, std::pair<std::int64_t, std::int64_t>> budgets;
  std::map<std::int64_t, known_state> offered;  // by marker
  std::map<std::string, known_program> programs;
  std::map<std::string, known_call> calls;
  std::set<std::string> never_run, ran;  // requests
  std::map<std::string, block_owner> blocks;
  std::map<std::string, microseconds> evacuated;
  std::map<std::string, std::int64_t> evacuation_ended;  // by zone: the newest revision of an order to end
  std::vector<std::pair<microseconds, std::int64_t>> acknowledged;  // when, revision
  std::int64_t turns = 0, complete = 0, cut = 0, refused = 0, calls_seen = 0, runs = 0, hits = 0, replays = 0,
               pulls = 0, expired = 0, looks = 0;
  explicit state(world& place) : where(place) {}

  void fail(const std::string& rule, const std::string& what);
  // What an engine's prompt must begin with: a prefix, and the program's turns from one on up to another.
  tokens base(const known_program& program, std::int64_t first, std::int64_t turn,
              const tokens& prefix) const;
  // The newest marker under which this prompt can have been made.
  std::int64_t marker_of(const tokens& prompt) const;
  void check_prompt(const std::string& name, const herontally::engine_stand_in::run& what);
  void check_cut(const std::string& name, known_program& program, std::int64_t first,
                 const herontally::engine_stand_in::run& what);
  void check_state(const std::string& title, std::int64_t marker, microseconds sent);
  void check_hit(const std::string& engine, const herontally::engine_stand_in::run& what);
  void check_arrival(const engine_facts& engine, const herontally::engine_stand_in::run& what);
  void check_cold(const engine_facts& engine, const herontally::engine_stand_in::run& what,
                  const std::string& of, std::int64_t cold, std::int64_t most);
  void check_text(const herontally::load_generator::seen_turn& seen);
};

tokens ids_of(const std::string& text);  // of a model's output, whose words name their ids
std::int64_t number_of(const std::string& turn);
// What the model gives after these tokens, up to a number of them.
std::string continuation(tokens before, std::int64_t most);

}  // namespace simulator
