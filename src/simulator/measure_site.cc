// What whole sites do under load and change: spread, a cold engine, a roll-over, a crowd, slow disks.
#include <stdio.h>

#include <algorithm>

#include "simulator/measure.h"
#include "simulator/scenario.h"

namespace simulator {

namespace rt = herontally::runtime;
using herontally::load_generator::seen_turn;
void measure_spread();
void measure_join();
void measure_roll();
void measure_crowd();
void measure_slow_disk();

namespace {

double at(std::vector<double> values, double part) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[std::min(values.size() - 1,
                         static_cast<std::size_t>(part * static_cast<double>(values.size())))];
}

std::string words(int count) {
  std::string text;
  for (int each = 0; each < count; ++each) text += "d" + std::to_string(each % 977) + " ";
  return text;
}

struct bench {
  world where;
  oracle judge;
  site place;
  std::vector<double> first, refusal_seconds;
  std::int64_t complete = 0, cut = 0, refusals = 0;
  nlohmann::json report;
  bool ended = false;

  bench(std::uint64_t seed, site_options choice) : where(seed), judge(where), place(where, judge, choice) {}
  bool begin() {
    if (!place.begin()) return false;
    // Until every edge is listed and warm.
    where.run_for(12 * rt::second);
    return true;
  }
  void load(double rate, double seconds, std::int64_t crowd = 0) {
    herontally::load_generator::options traffic;
    traffic.proxies = place.proxies();
    traffic.requests_per_second = rate;
    traffic.seconds = seconds;
    traffic.crowd = crowd;
    traffic.crowd_at_second = crowd > 0 ? 0 : -1;
    herontally::load_generator::watcher observer;
    observer.turn = [this](const seen_turn& seen) {
      if (seen.end == "complete") {
        ++complete;
        first.push_back(seen.first_piece_seconds);
      } else if (seen.status == 200) {
        ++cut;
      } else if (seen.status != 0) {
        ++refusals;
        refusal_seconds.push_back(seen.seconds);
      }
    };
    place.callers().spawn([](rt::handle runtime, herontally::load_generator::options traffic,
                             herontally::load_generator::watcher observer, bench* out) -> rt::task<> {
      out->report = co_await herontally::load_generator::run(runtime, traffic, observer);
      out->ended = true;
    }(place.callers(), traffic, observer, this));
  }
  void finish() {
    where.run_until([this] { return ended; }, 400 * rt::second);
  }
  double sum(const char* role, const std::string& name) {
    double total = 0;
    for (auto& each : place.of_role(role)) total += place.metric(each, name);
    return total;
  }
};

site_options full_size() {
  auto shape = *deployment("swanreach");
  shape.turns_per_engine = 12;
  return shape;
}

}  // namespace

void measure_spread() {
  printf(
      "| proxies | programs/s | turns | per engine least | median | most | per proxy least | median | most | "
      "refusals |\n"
      "|---|---|---|---|---|---|---|---|---|---|\n");
  for (int edges : {6, 60})
    for (double rate : {10.0, 40.0, 80.0}) {
      auto shape = full_size();
      shape.edges = edges;
      bench run(21, shape);
      if (!run.begin()) continue;
      run.load(rate, 15);
      run.finish();
      std::vector<double> engines, proxies;
      for (auto& name : run.place.of_role("engine"))
        if (name.rfind("model", 0) == 0)
          engines.push_back(run.place.metric(name, "herontally_engine_turns_total"));
      for (auto& name : run.place.of_role("proxy"))
        proxies.push_back(run.place.metric(name, "herontally_placements_total"));
      printf("| %d | %.0f | %lld | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %lld |\n", edges, rate,
             static_cast<long long>(run.complete), at(engines, 0), at(engines, 0.5), at(engines, 1),
             at(proxies, 0), at(proxies, 0.5), at(proxies, 1), static_cast<long long>(run.refusals));
    }
}

// One engine more, with nothing in its cache, while all others hold a long shared prefix.
void measure_join() {
  printf(
      "| sharing | second after its start | turns begun there | most its ramp lets in at once | bytes it "
      "pulled |\n"
      "|---|---|---|---|---|\n");
  for (bool on : {false, true}) {
    auto shape = full_size();
    shape.prefix_text = words(3000);
    shape.min_cached_token_delta = on ? nlohmann::json(512) : nlohmann::json(nullptr);
    bench run(23, shape);
    if (!run.begin()) continue;
    run.load(60, 20);
    run.where.run_for(6 * rt::second);
    auto name = run.place.add_engine(run.place.options().partners[0], "model", "zone-a", "v1");
    run.place.boot(name);
    run.place.remove_engine("nobody");
    double turns = 0, bytes = 0;
    for (int second = 1; second <= 8; ++second) {
      run.where.run_for(rt::second);
      double now = run.place.metric(name, "herontally_engine_turns_total"),
             moved = run.place.metric(name, "herontally_engine_kv_bytes_in_total");
      printf("| %s | %d | %.0f | %.0f | %.0f |\n", on ? "on" : "off", second, now - turns,
             std::min(12.0, 1 + 11 * second / 5.0), moved - bytes);
      turns = now;
      bytes = moved;
    }
  }
}

void measure_roll() {
  printf(
      "| sharing | turns complete | cut | refusals | tokens computed | bytes moved | first piece p50 s | p99 "
      "s "
      "|\n"
      "|---|---|---|---|---|---|---|---|\n");
  for (bool on : {false, true}) {
    auto shape = full_size();
    shape.prefix_text = words(1500);
    shape.min_cached_token_delta = on ? nlohmann::json(512) : nlohmann::json(nullptr);
    bench run(25, shape);
    if (!run.begin()) continue;
    run.load(20, 30);
    run.where.run_for(2 * rt::second);
    double computed = 0, moved = 0;
    for (int number = 1; number <= 12; ++number) {
      run.place.roll_engine("model-" + std::to_string(number), "v1");
      run.where.run_for(2 * rt::second);
    }
    run.finish();
    computed = run.sum("engine", "herontally_engine_tokens_computed_total");
    moved = run.sum("engine", "herontally_engine_kv_bytes_in_total");
    printf("| %s | %lld | %lld | %lld | %.0f | %.0f | %.3f | %.3f |\n", on ? "on" : "off",
           static_cast<long long>(run.complete), static_cast<long long>(run.cut),
           static_cast<long long>(run.refusals), computed, moved, at(run.first, 0.5), at(run.first, 0.99));
  }
}

void measure_crowd() {
  printf(
      "| clients at once | turns complete | refusals | time to a refusal p50 s | most s | first piece "
      "p50 s | "
      "p99 s | cut |\n|---|---|---|---|---|---|---|---|\n");
  for (std::int64_t crowd : {100, 500, 2000, 5000}) {
    bench run(27, full_size());
    if (!run.begin()) continue;
    run.load(5, 2, crowd);
    run.finish();
    printf("| %lld | %lld | %lld | %.3f | %.3f | %.3f | %.3f | %lld |\n", static_cast<long long>(crowd),
           static_cast<long long>(run.complete), static_cast<long long>(run.refusals),
           at(run.refusal_seconds, 0.5), at(run.refusal_seconds, 1), at(run.first, 0.5), at(run.first, 0.99),
           static_cast<long long>(run.cut));
  }
}

void measure_slow_disk() {
  printf(
      "| storage machines with syncs of 150 to 300 ms | turns complete | refusals | first piece p50 s | p99 "
      "s "
      "|\n"
      "|---|---|---|---|---|\n");
  for (int slow : {0, 1, 2, 3}) {
    bench run(29, full_size());
    if (!run.begin()) continue;
    for (int number = 1; number <= slow; ++number)
      run.where.find("store-" + std::to_string(number)).disk.sync_time = 150 * rt::millisecond;
    run.load(10, 15);
    run.finish();
    printf("| %d | %lld | %lld | %.3f | %.3f |\n", slow, static_cast<long long>(run.complete),
           static_cast<long long>(run.refusals), at(run.first, 0.5), at(run.first, 0.99));
  }
}

}  // namespace simulator
