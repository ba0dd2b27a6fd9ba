// Stand-in for the partners' engines: model engines that speak completions and lend cache, and applications.
#pragma once
#include "logging/logging.h"
#include "prefix/prefix.h"
#include "runtime/runtime.h"

namespace herontally::engine_stand_in {

struct options {
  std::string name, kind = "model", partner, serves, zone, http, weights = "v1", hash_seed = "seed";
  std::int64_t block_tokens = 16, most_running = 4, most_lends = 8, cache_blocks = 20000,
               bytes_per_token = 64;
  double prefill_tokens_per_second = 20000, token_milliseconds = 4, transfer_bytes_per_second = 50e6;
  double pull_floor_milliseconds = 1, call_milliseconds = 15;
};

// Somebody's work that is under way.
struct active_request {
  std::string peer;
  runtime::microseconds sent = 0;
};
// What reached an engine and what it did, for those who check. A turn's key is its program.
//   "arrive-turn", "arrive-call", "arrive-ask", "arrive-pull": a request has come, whatever is made of it
//   "turn", "call": it is run; "hit": it was served from these blocks; "borrow": a pull begins here
struct run {
  std::string what, key, request_id, path;
  std::vector<std::int64_t> prompt;
  std::vector<std::string> hashes;     // of a hit: the leading blocks that were not computed
  std::vector<std::string> computed;   // and those that were
  std::vector<active_request> active;  // of the same kind at this engine, this one included
  runtime::microseconds sent = 0;      // when it left its sender; known to simulated engines only
};

// The text that a model gives: a function of the tokens before it alone, so that anybody can check it.
struct next_output {
  std::int64_t id = 0;
  std::string text;
  bool last = false;
};
next_output token_after(const std::vector<std::int64_t>& tokens);
std::string block_payload(const std::string& hash, std::size_t bytes);

class node {
 public:
  node(runtime::handle runtime, options choice, logging::logger logger);
  ~node();
  runtime::task<std::optional<std::string>> start();
  runtime::task<> leave();
  void on_run(std::function<void(const run&)> watcher);
  logging::logger logger() const;
  // Ways to misbehave: "drain", "undrain", "lender-pause", "lender-cut", "lender-garble", "lose-answers",
  // "well".
  void behave(const std::string& how);

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace herontally::engine_stand_in
