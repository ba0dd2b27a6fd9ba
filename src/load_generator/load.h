// Stand-in for the partners' callers: open-loop traffic in each deployment's shape, and a report of what came
// back.
#pragma once
#include <nlohmann/json.hpp>

#include "runtime/runtime.h"

namespace herontally::load_generator {

struct options {
  std::vector<std::string> proxies;  // HTTP addresses of proxies
  std::string shape = "swanreach";   // or "zastavica"
  double requests_per_second = 20, seconds = 10;
  double crowd_at_second = -1;  // all at once
  std::int64_t crowd = 0;
  double timeout_seconds = 40;
};

// What one client saw of one request, for those who check.
struct seen_turn {
  std::string partner, program, turn, prompt, text, end, proxy;
  std::int64_t status = 0, pieces = 0, tokens = 0;
  std::string ran, odd, request_id;  // odd: what was wrong with the stream itself
  double first_piece_seconds = -1, seconds = 0;
  std::int64_t come_back_seconds = 1;
  bool stored = false;
};
struct seen_call {
  std::string partner, route, key, ran, code, response, request_id;
  std::int64_t status = 0;  // 0: no answer
  double seconds = 0;
};
struct watcher {
  std::function<void(const seen_turn&)> begin;  // before the request is sent; only what is asked is filled in
  std::function<void(const seen_turn&)> turn;
  std::function<void(const seen_call&)> call;
};

runtime::task<seen_turn> take_turn(runtime::handle runtime, std::string proxy, std::string partner,
                                   std::string program, std::string turn, std::string prompt,
                                   std::int64_t most_tokens, double timeout);
runtime::task<seen_call> make_call(runtime::handle runtime, std::string proxy, std::string partner,
                                   std::string route, std::string key, std::string body, double timeout);
// Runs the whole load and returns its report.
runtime::task<nlohmann::json> run(runtime::handle runtime, options choice, watcher observer);

}  // namespace herontally::load_generator
