// Stand-in for the partners' engines, for tests and local fleets: model engines that serve completions and
// lend cache blocks, and application engines that serve calls. It runs no model: output and timing are
// computed.
#pragma once
#include "logging/logging.h"
#include "prefix/prefix.h"
#include "runtime/runtime.h"

namespace herontally::engine_stand_in {

// Identity, capacity and speed of one engine. `kind` is "model" or "application", `serves` the name of the
// model or application, `http` the address to listen on as ip:port.
struct options {
  std::string name, kind = "model", partner, serves, zone, http, weights = "v1", hash_seed = "seed";
  std::int64_t block_tokens = 16, most_running = 4, max_lends = 8, cache_blocks = 20000, bytes_per_token = 64;
  double prefill_tokens_per_second = 20000, token_milliseconds = 4, transfer_bytes_per_second = 50e6;
  double pull_floor_milliseconds = 1, call_milliseconds = 15;
};

// A request that is being processed: its sender's address and the time it was sent (0: unknown).
struct active_request {
  std::string peer;
  runtime::microseconds sent = 0;
};
// An event at an engine, reported to the simulator's oracle. A turn's key is its program.
//   "arrive-turn", "arrive-call", "arrive-ask", "arrive-pull": a request has arrived, whether or not
//   it is then run
//   "turn": a turn was accepted; "call": a call was run; "hit": the cached blocks of a turn are known
//   "borrow": this engine begins to pull blocks
struct run {
  std::string what, key, request_id, path;
  std::vector<std::int64_t> prompt;
  std::vector<std::string> hashes;     // of a hit: the leading blocks found in the cache
  std::vector<std::string> computed;   // of a hit: the blocks that were computed
  std::vector<active_request> active;  // requests of the same kind at this engine, including this one
  runtime::microseconds sent = 0;      // when the request left its sender; 0 outside the simulator
};

// A model's next token: a function of the preceding tokens alone, so that an observer can verify the text.
struct next_output {
  std::int64_t id = 0;
  std::string text;
  bool last = false;
};
next_output token_after(const std::vector<std::int64_t>& tokens);
// The data of a cache block, derived from its hash, so that a borrower can verify it.
std::string block_payload(const std::string& hash, std::size_t bytes);

// One engine: an HTTP server with a simulated block cache and request slots.
class node {
 public:
  node(runtime::handle runtime, options config, logging::logger logger);
  ~node();
  // Begins to serve HTTP. Returns an error text if the address can't be listened on.
  runtime::task<std::optional<std::string>> start();
  // Refuses new turns and calls and waits at most 2 s for running and waiting requests to end.
  runtime::task<> leave();
  // Sets the function that receives all events; replaces an earlier one.
  void on_run(std::function<void(const run&)> watcher);
  // The engine's logger, which also counts its metrics.
  logging::logger logger() const;
  // Injects a fault or ends it: "drain", "undrain", "lender-pause", "lender-cut", "lender-garble",
  // "lose-answers"; "well" ends the lender faults and "lose-answers". Other texts are ignored.
  void behave(const std::string& how);

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace herontally::engine_stand_in
