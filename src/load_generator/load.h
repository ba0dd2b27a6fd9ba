// Stand-in for the partners' clients: open-loop traffic in the shape of each deployment, and a report of the
// results. It checks streams for protocol errors, but not the text or the history of a program.
#pragma once
#include <nlohmann/json.hpp>

#include "runtime/runtime.h"

namespace herontally::load_generator {

// Traffic of one run. Programs begin at `requests_per_second` for `seconds`.
struct options {
  std::vector<std::string> proxies;  // HTTP addresses of proxies
  std::string shape = "swanreach";   // or "zastavica"
  double requests_per_second = 20, seconds = 10;
  double crowd_at_second = -1;  // when `crowd` additional programs begin at once; negative: never
  std::int64_t crowd = 0;
  double timeout_seconds = 40;  // per request
};

// The result of one turn, as its client saw it. `end` and `tokens` are those of the stream's final piece.
struct seen_turn {
  std::string partner, program, turn, prompt, text, end, proxy;
  std::int64_t status = 0, pieces = 0, tokens = 0;
  std::string ran, odd, request_id;              // odd: a protocol error in the response; empty: none
  double first_piece_seconds = -1, seconds = 0;  // since the request was sent; -1: no piece received
  std::int64_t come_back_seconds = 1;            // when to retry after a rejection
  bool stored = false;
};
// The result of one call, as its client saw it.
struct seen_call {
  std::string partner, route, key, ran, code, response, request_id;
  std::int64_t status = 0;  // 0: no response
  double seconds = 0;
};
// Callbacks for each request; each may be empty.
struct watcher {
  std::function<void(const seen_turn&)> begin;  // before the request is sent; holds program, turn and prompt
  std::function<void(const seen_turn&)> turn;
  std::function<void(const seen_call&)> call;
};

// Sends one turn to a proxy and reads its stream, for at most `timeout` seconds. Never retries.
runtime::task<seen_turn> take_turn(runtime::handle runtime, std::string proxy, std::string partner,
                                   std::string program, std::string turn, std::string prompt,
                                   std::int64_t max_tokens, double timeout);
// Sends one call; an empty key sends no Idempotency-Key. `timeout` is in seconds.
runtime::task<seen_call> make_call(runtime::handle runtime, std::string proxy, std::string partner,
                                   std::string route, std::string key, std::string body, double timeout);
// Generates the load and returns its report once all programs have ended or the retries' time limit has
// passed.
runtime::task<nlohmann::json> run(runtime::handle runtime, options config, watcher observer);

}  // namespace herontally::load_generator
