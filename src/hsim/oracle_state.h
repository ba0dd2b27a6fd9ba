// Internal to hsim's oracle.
#pragma once
#include "hsim/oracle.h"
#include "prefix/prefix.h"

namespace hsim {

namespace rt = herontally::runtime;
using tokens = std::vector<std::int64_t>;

struct asked_turn {
  std::string prompt, complete_text;
  bool complete = false, told_spent = false;
  microseconds first_asked = 0, last_asked = 0;
};
struct known_program {
  std::map<std::int64_t, asked_turn> turns;
  std::int64_t streamed = 0;  // tokens that any visitor got
};
struct known_prefix {
  std::string text;
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
  std::map<std::int64_t, known_prefix> prefixes;
  std::map<std::string, known_program> programs;
  std::map<std::string, known_call> calls;
  std::set<std::string> never_run, ran;  // visits
  std::map<std::string, block_owner> blocks;
  std::map<std::string, microseconds> evacuated;
  std::int64_t turns = 0, complete = 0, cut = 0, dropped = 0, calls_seen = 0, runs = 0, hits = 0, replays = 0;
  microseconds last_complete = -1, last_call = -1;
  explicit state(world& place) : where(place) {}

  void fail(const std::string& rule, const std::string& what);
  // The chain of the program before this turn, under a prefix: what an engine's prompt must begin with.
  tokens base(const known_program& program, std::int64_t turn, const known_prefix& prefix) const;
  void check_prompt(const std::string& name, const herontally::simengine::run& what);
  void check_hit(const std::string& engine, const herontally::simengine::run& what);
  void check_place(const engine_facts& engine, const herontally::simengine::run& what);
  void check_text(const herontally::simcaller::seen_turn& seen);
};

tokens ids_of(const std::string& text);  // of a model's output, whose words name their ids
std::int64_t number_of(const std::string& turn);
// What the model gives after these tokens, up to a number of them.
std::string continuation(tokens before, std::int64_t most);

}  // namespace hsim
