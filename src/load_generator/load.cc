// Open-loop client programs of each deployment, and the report of their results.
// Single requests are in requests.cc.
#include "load_generator/load.h"

#include <algorithm>

namespace herontally::load_generator {

using json = nlohmann::json;
using runtime::microseconds;
using runtime::millisecond;
using runtime::second;
using runtime::task;

namespace {

// The programs and routes of one deployment's traffic; an empty route is not called.
struct traffic_shape {
  std::string partner, short_program, long_program;
  std::string first_tool, second_tool, unkeyed_route;  // unkeyed_route: called without an idempotency key
  bool repeat_second_tool = false;                     // calls the second tool twice with the same key
};

traffic_shape shape_of(const std::string& name) {
  if (name == "zastavica")
    return {"zastavica", "flag-question", "rollout", "audit-pulls", "rule-exports", "flag-sets", false};
  return {"swanreach", "eligibility", "exchange", "labels", "barcodes", "", true};
}

// Results of all programs of one run.
struct run_counts {
  std::int64_t turns = 0, complete = 0, cut = 0, unanswered = 0, calls = 0, calls_done = 0, calls_unknown = 0;
  std::map<std::string, std::int64_t> refusals, oddities;
  std::vector<double> first_piece_seconds, turn_seconds;
  std::int64_t tokens = 0, active_programs = 0;
};

// What all programs of one run share.
struct session {
  runtime::handle runtime;
  options config;
  watcher observer;
  traffic_shape traffic;
  std::shared_ptr<run_counts> counts = std::make_shared<run_counts>();

  std::string random_proxy() const { return config.proxies[runtime.draw(config.proxies.size())]; }

  void record(const seen_turn& seen) const {
    ++counts->turns;
    if (!seen.odd.empty()) ++counts->oddities[seen.odd];
    if (seen.status == 0)
      ++counts->unanswered;
    else if (seen.status != 200)
      ++counts->refusals[std::to_string(seen.status) + " ran " + seen.ran];
    else if (seen.end == "complete")
      ++counts->complete;
    else
      ++counts->cut;
    if (seen.end == "complete") {
      counts->first_piece_seconds.push_back(seen.first_piece_seconds);
      counts->turn_seconds.push_back(seen.seconds);
      counts->tokens += seen.tokens;
    }
    if (observer.turn) observer.turn(seen);
  }
  void record(const seen_call& seen) const {
    ++counts->calls;
    if (seen.status == 0)
      ++counts->unanswered;
    else if (seen.status == 200)
      ++counts->calls_done;
    else if (seen.ran == "unknown")
      ++counts->calls_unknown;
    else
      ++counts->refusals["call " + std::to_string(seen.status) + " ran " + seen.ran];
    if (observer.call) observer.call(seen);
  }
};

task<> run_call(session client, std::string route, std::string key, std::string body) {
  auto seen = co_await make_call(client.runtime, client.random_proxy(), client.traffic.partner, route, key,
                                 body, client.config.timeout_seconds);
  client.record(seen);
}

// Runs one program: its turns in sequence, then its tool calls. A failed turn ends the turns and skips the
// keyed calls.
task<> run_program(session client, bool is_long, std::string id) {
  ++client.counts->active_programs;
  std::string name = (is_long ? client.traffic.long_program : client.traffic.short_program) + ":" + id;
  std::int64_t turns = is_long ? 3 + static_cast<std::int64_t>(client.runtime.draw(4)) : 1;
  bool all_complete = true;
  for (std::int64_t number = 0; number < turns && all_complete; ++number) {
    std::string prompt = "turn " + std::to_string(number) + " of " + name + ": ";
    std::size_t words = 10 + client.runtime.draw(is_long ? 60 : 20);
    for (std::size_t word = 0; word < words; ++word)
      prompt += "q" + std::to_string(client.runtime.draw(10000)) + " ";
    std::string turn = "t" + std::to_string(number);
    bool complete = false;
    // Up to three retries, each after the response's retry_after_seconds (1 s without one) plus up to
    // 500 ms.
    for (int attempt = 0; attempt < 4 && !complete; ++attempt) {
      if (client.observer.begin) {
        seen_turn asked;
        asked.program = name;
        asked.turn = turn;
        asked.prompt = prompt;
        client.observer.begin(asked);
      }
      auto seen = co_await take_turn(client.runtime, client.random_proxy(), client.traffic.partner, name,
                                     turn, prompt, 64, client.config.timeout_seconds);
      client.record(seen);
      complete = seen.end == "complete";
      if (!complete)
        co_await client.runtime.sleep(seen.come_back_seconds * second +
                                      static_cast<microseconds>(client.runtime.draw(500 * millisecond)));
    }
    all_complete = complete;
    if (is_long && complete)
      co_await client.runtime.sleep(static_cast<microseconds>(client.runtime.draw(1500 * millisecond)));
  }
  std::string body = json{{"program", name}}.dump();
  if (all_complete && !client.traffic.first_tool.empty())
    co_await run_call(client, client.traffic.first_tool, "k1-" + id, body);
  if (all_complete && is_long) {
    co_await run_call(client, client.traffic.second_tool, "k2-" + id, body);
    if (client.traffic.repeat_second_tool)
      co_await run_call(client, client.traffic.second_tool, "k2-" + id, body);
  }
  if (!client.traffic.unkeyed_route.empty())
    co_await run_call(client, client.traffic.unkeyed_route, "", body);
  --client.counts->active_programs;
}

// Percentiles and maximum ("most"); null without values.
json percentiles(std::vector<double> values) {
  if (values.empty()) return nullptr;
  std::sort(values.begin(), values.end());
  auto at = [&](double quantile) {
    return values[std::min(values.size() - 1,
                           static_cast<std::size_t>(quantile * static_cast<double>(values.size())))];
  };
  return {{"p50", at(0.5)}, {"p90", at(0.9)}, {"p99", at(0.99)}, {"most", values.back()}};
}

}  // namespace

task<json> run(runtime::handle runtime, options config, watcher observer) {
  session client{runtime, config, observer, shape_of(config.shape)};
  auto started_at = runtime.now();
  auto end_time = started_at + static_cast<microseconds>(config.seconds * second);
  bool burst_started = config.crowd_at_second < 0;
  std::int64_t number = 0;
  std::string run_id = runtime.random_name().substr(0, 6);
  while (runtime.now() < end_time) {
    // Short programs are four times as frequent as long ones.
    bool is_long = runtime.draw(5) == 0;
    runtime.spawn(run_program(client, is_long, run_id + "-" + std::to_string(number++)));
    if (!burst_started &&
        runtime.now() - started_at >= static_cast<microseconds>(config.crowd_at_second * second)) {
      burst_started = true;
      for (std::int64_t each = 0; each < config.crowd; ++each)
        runtime.spawn(run_program(client, false, run_id + "-crowd-" + std::to_string(each)));
    }
    double unit = static_cast<double>(runtime.draw(1u << 30)) / (1u << 30);
    // Open loop: the next program starts whether or not earlier ones have been answered.
    auto interval = static_cast<microseconds>(-std::log(1 - unit) / config.requests_per_second * second);
    co_await runtime.sleep(std::min<microseconds>(interval, second));
  }
  // Waits for the last programs: each turn is retried up to three times, after the rejection's
  // retry_after_seconds.
  auto wait_limit = runtime.now() + static_cast<microseconds>((config.timeout_seconds * 4 + 130) * second);
  while (client.counts->active_programs > 0 && runtime.now() < wait_limit)
    co_await runtime.sleep(50 * millisecond);
  auto& counts = *client.counts;
  json report{{"shape", config.shape},
              {"programs", number + (config.crowd_at_second < 0 ? 0 : config.crowd)},
              {"turns", counts.turns},
              {"turns_complete", counts.complete},
              {"turns_cut", counts.cut},
              {"unanswered", counts.unanswered},
              {"calls", counts.calls},
              {"calls_done", counts.calls_done},
              {"calls_may_have_run", counts.calls_unknown},
              {"refusals", counts.refusals},
              {"oddities", counts.oddities},
              {"tokens", counts.tokens},
              {"first_piece_seconds", percentiles(counts.first_piece_seconds)},
              {"turn_seconds", percentiles(counts.turn_seconds)}};
  co_return report;
}

}  // namespace herontally::load_generator
