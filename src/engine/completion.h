// Client for one turn at a model engine: a request in the OpenAI-style completions protocol, whose response
// is streamed as server-sent events. Does not retry.
#pragma once
#include "prefix/prefix.h"
#include "runtime/runtime.h"

namespace herontally::engine {

// A turn for the engine at `address` (ip:port), with the engine to pull KV cache blocks from, if any.
struct completion_request {
  std::string address, model, request_id;
  std::vector<std::int64_t> prompt;
  std::int64_t max_tokens = 0;
  prefix::identity identity;               // what the block hashes depend on besides the tokens
  std::string source;                      // ip:port of the engine to pull from; empty: no pull
  std::vector<std::string> source_blocks;  // hashes of the blocks to pull
  std::int64_t pull_milliseconds = 0;      // time limit of the pull, from the turn's arrival
};

// A part of the output.
struct completion_chunk {
  std::string text;
  std::vector<std::int64_t> tokens;
};
// The engine's statistics of a complete turn. A pull has failed if the source did not answer in full.
struct completion_summary {
  std::string finish_reason;
  std::int64_t prompt_tokens = 0, cached_tokens = 0, output_tokens = 0;
  std::int64_t blocks_requested = 0, blocks_found = 0, bytes_moved = 0;
  bool pull_failed = false;
};
// The turn did not complete. `status` is the HTTP status, 0 if no response came.
struct completion_failure {
  bool may_have_run = true;  // false: the engine certainly did not start the turn
  int status = 0;
  std::string reason;
};
struct completion_timeout {};  // no event within the time allowed
using completion_event =
    std::variant<completion_chunk, completion_summary, completion_failure, completion_timeout>;

// Sends the request on construction; destroying it abandons the request.
class completion {
 public:
  completion(runtime::handle runtime, completion_request request);
  ~completion();
  // The next event, or completion_timeout after `timeout`. A summary or a failure is the last event.
  runtime::task<completion_event> next(runtime::microseconds timeout);

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace herontally::engine
