#include "load_generator/load.h"

#include <algorithm>

namespace herontally::load_generator {

using json = nlohmann::json;
using runtime::microseconds;
using runtime::millisecond;
using runtime::second;
using runtime::task;

namespace {

struct shape {
  std::string partner, quick, slow;      // programs
  std::string tool, second_tool, plain;  // routes
  bool second_twice = false;             // the second tool's result is fetched twice
};

shape shape_of(const std::string& name) {
  if (name == "zastavica")
    return {"zastavica", "flag-question", "rollout", "audit-pulls", "rule-exports", "flag-sets", false};
  return {"swanreach", "eligibility", "exchange", "labels", "barcodes", "", true};
}

struct tally {
  std::int64_t turns = 0, complete = 0, cut = 0, unanswered = 0, calls = 0, calls_done = 0, calls_unknown = 0;
  std::map<std::string, std::int64_t> refusals, oddities;
  std::vector<double> first, whole;
  std::int64_t tokens = 0, under_way = 0;
};

struct session {
  runtime::handle runtime;
  options choice;
  watcher observer;
  shape kind;
  std::shared_ptr<tally> counts = std::make_shared<tally>();

  std::string proxy() const { return choice.proxies[runtime.draw(choice.proxies.size())]; }

  void note(const seen_turn& seen) const {
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
      counts->first.push_back(seen.first_piece_seconds);
      counts->whole.push_back(seen.seconds);
      counts->tokens += seen.tokens;
    }
    if (observer.turn) observer.turn(seen);
  }
  void note(const seen_call& seen) const {
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

task<> one_call(session here, std::string route, std::string key, std::string body) {
  auto seen = co_await make_call(here.runtime, here.proxy(), here.kind.partner, route, key, body,
                                 here.choice.timeout_seconds);
  here.note(seen);
}

// A program's turns, one after another, with its tool calls behind them.
task<> program(session here, bool slow, std::string id) {
  ++here.counts->under_way;
  std::string name = (slow ? here.kind.slow : here.kind.quick) + ":" + id;
  std::int64_t turns = slow ? 3 + static_cast<std::int64_t>(here.runtime.draw(4)) : 1;
  bool finished = true;
  for (std::int64_t number = 0; number < turns && finished; ++number) {
    std::string prompt = "turn " + std::to_string(number) + " of " + name + ": ";
    std::size_t words = 10 + here.runtime.draw(slow ? 60 : 20);
    for (std::size_t word = 0; word < words; ++word)
      prompt += "q" + std::to_string(here.runtime.draw(10000)) + " ";
    std::string turn = "t" + std::to_string(number);
    bool complete = false;
    // A client retries after the time that the rejection names, a few times.
    for (int attempt = 0; attempt < 4 && !complete; ++attempt) {
      if (here.observer.begin) {
        seen_turn asked;
        asked.program = name;
        asked.turn = turn;
        asked.prompt = prompt;
        here.observer.begin(asked);
      }
      auto seen = co_await take_turn(here.runtime, here.proxy(), here.kind.partner, name, turn, prompt, 64,
                                     here.choice.timeout_seconds);
      here.note(seen);
      complete = seen.end == "complete";
      if (!complete)
        co_await here.runtime.sleep(seen.come_back_seconds * second +
                                    static_cast<microseconds>(here.runtime.draw(500 * millisecond)));
    }
    finished = complete;
    if (slow && complete)
      co_await here.runtime.sleep(static_cast<microseconds>(here.runtime.draw(1500 * millisecond)));
  }
  std::string body = json{{"program", name}}.dump();
  if (finished && !here.kind.tool.empty()) co_await one_call(here, here.kind.tool, "k1-" + id, body);
  if (finished && slow) {
    co_await one_call(here, here.kind.second_tool, "k2-" + id, body);
    if (here.kind.second_twice) co_await one_call(here, here.kind.second_tool, "k2-" + id, body);
  }
  if (!here.kind.plain.empty()) co_await one_call(here, here.kind.plain, "", body);
  --here.counts->under_way;
}

json percentiles(std::vector<double> values) {
  if (values.empty()) return nullptr;
  std::sort(values.begin(), values.end());
  auto at = [&](double part) {
    return values[std::min(values.size() - 1,
                           static_cast<std::size_t>(part * static_cast<double>(values.size())))];
  };
  return {{"p50", at(0.5)}, {"p90", at(0.9)}, {"p99", at(0.99)}, {"most", values.back()}};
}

}  // namespace

task<json> run(runtime::handle runtime, options choice, watcher observer) {
  session here{runtime, choice, observer, shape_of(choice.shape)};
  auto begun = runtime.now();
  auto until = begun + static_cast<microseconds>(choice.seconds * second);
  bool crowded = choice.crowd_at_second < 0;
  std::int64_t number = 0;
  std::string life = runtime.random_name().substr(0, 6);
  while (runtime.now() < until) {
    // Quick chats come several times as often as long ones.
    bool slow = runtime.draw(5) == 0;
    runtime.spawn(program(here, slow, life + "-" + std::to_string(number++)));
    if (!crowded && runtime.now() - begun >= static_cast<microseconds>(choice.crowd_at_second * second)) {
      crowded = true;
      for (std::int64_t each = 0; each < choice.crowd; ++each)
        runtime.spawn(program(here, false, life + "-crowd-" + std::to_string(each)));
    }
    double unit = static_cast<double>(runtime.draw(1u << 30)) / (1u << 30);
    // Open loop: the next one comes whether or not the last was answered.
    auto gap = static_cast<microseconds>(-std::log(1 - unit) / choice.requests_per_second * second);
    co_await runtime.sleep(std::min<microseconds>(gap, second));
  }
  // Until the last client is through: each retries up to three times, after the time that the rejection
  // names.
  auto latest = runtime.now() + static_cast<microseconds>((choice.timeout_seconds * 4 + 130) * second);
  while (here.counts->under_way > 0 && runtime.now() < latest) co_await runtime.sleep(50 * millisecond);
  auto& counts = *here.counts;
  json report{{"shape", choice.shape},
              {"programs", number + (choice.crowd_at_second < 0 ? 0 : choice.crowd)},
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
              {"first_piece_seconds", percentiles(counts.first)},
              {"turn_seconds", percentiles(counts.whole)}};
  co_return report;
}

}  // namespace herontally::load_generator
