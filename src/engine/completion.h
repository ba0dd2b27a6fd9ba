// A turn at a model engine: the OpenAI-style completions protocol with streamed server-sent events.
#pragma once
#include "prefix/prefix.h"
#include "runtime/runtime.h"

namespace herontally::engine {

struct completion_request {
  std::string address, model, request_id;
  std::vector<std::int64_t> prompt;
  std::int64_t most_tokens = 0;
  prefix::identity identity;
  std::string source;                      // the lender's ip:port; empty: no pull
  std::vector<std::string> source_blocks;  // hashes to ask it for
  std::int64_t pull_milliseconds = 0;
};

struct completion_chunk {
  std::string text;
  std::vector<std::int64_t> tokens;
};
// What the engine says of the turn after its last piece.
struct completion_summary {
  std::string finish;
  std::int64_t prompt_tokens = 0, cached_tokens = 0, output_tokens = 0;
  std::int64_t blocks_asked = 0, blocks_found = 0, bytes_moved = 0;
  bool pull_failed = false;
};
// `ran` is false when the engine certainly took no work on.
struct completion_failure {
  bool ran = true;
  int status = 0;
  std::string why;
};
struct completion_timeout {};  // nothing came within the time allowed
using completion_event =
    std::variant<completion_chunk, completion_summary, completion_failure, completion_timeout>;

class completion {
 public:
  completion(runtime::handle runtime, completion_request order);
  ~completion();
  // After a summary or a failure there is nothing more to come.
  runtime::task<completion_event> next(runtime::microseconds timeout);

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace herontally::engine
