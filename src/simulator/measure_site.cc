// Measurements of whole sites under load: how evenly turns are distributed, a new engine with an empty cache,
// a rolling replacement of engines, a crowd of clients, and slow disks.
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

// The value at this fraction of the sorted values: 0 is the smallest, 1 the largest. 0 if there are none.
double quantile(std::vector<double> values, double fraction) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[std::min(values.size() - 1,
                         static_cast<std::size_t>(fraction * static_cast<double>(values.size())))];
}

std::string filler_words(int count) {
  std::string text;
  for (int each = 0; each < count; ++each) text += "d" + std::to_string(each % 977) + " ";
  return text;
}

// A site with load, and what its clients observed.
struct loaded_site {
  world sim_world;
  oracle sim_oracle;
  site sim_site;
  std::vector<double> first_piece_seconds, refusal_seconds;
  std::int64_t complete = 0, turns_cut = 0, refusals = 0;
  nlohmann::json report;
  bool ended = false;

  loaded_site(std::uint64_t seed, site_options options)
      : sim_world(seed), sim_oracle(sim_world), sim_site(sim_world, sim_oracle, options) {}
  bool begin() {
    if (!sim_site.begin()) return false;
    // Waits until every edge is listed and warm.
    sim_world.run_for(12 * rt::second);
    return true;
  }
  void load(double rate, double seconds, std::int64_t crowd = 0) {
    herontally::load_generator::options traffic;
    traffic.proxies = sim_site.proxies();
    traffic.requests_per_second = rate;
    traffic.seconds = seconds;
    traffic.crowd = crowd;
    traffic.crowd_at_second = crowd > 0 ? 0 : -1;
    herontally::load_generator::watcher observer;
    observer.turn = [this](const seen_turn& seen) {
      if (seen.end == "complete") {
        ++complete;
        first_piece_seconds.push_back(seen.first_piece_seconds);
      } else if (seen.status == 200) {
        ++turns_cut;
      } else if (seen.status != 0) {
        ++refusals;
        refusal_seconds.push_back(seen.seconds);
      }
    };
    sim_site.callers().spawn([](rt::handle runtime, herontally::load_generator::options traffic,
                                herontally::load_generator::watcher observer,
                                loaded_site* out) -> rt::task<> {
      out->report = co_await herontally::load_generator::run(runtime, traffic, observer);
      out->ended = true;
    }(sim_site.callers(), traffic, observer, this));
  }
  void finish() {
    sim_world.run_until([this] { return ended; }, 400 * rt::second);
  }
  double sum(const char* role, const std::string& name) {
    double total = 0;
    for (auto& each : sim_site.of_role(role)) total += sim_site.metric(each, name);
    return total;
  }
};

site_options swanreach_deployment() {
  auto options = *deployment("swanreach");
  options.turns_per_engine = 12;
  return options;
}

}  // namespace

void measure_spread() {
  printf(
      "| proxies | programs/s | turns | per engine least | median | most | per proxy least | median | most | "
      "refusals |\n"
      "|---|---|---|---|---|---|---|---|---|---|\n");
  for (int edges : {6, 60})
    for (double rate : {10.0, 40.0, 80.0}) {
      auto options = swanreach_deployment();
      options.edges = edges;
      loaded_site run(21, options);
      if (!run.begin()) continue;
      run.load(rate, 15);
      run.finish();
      std::vector<double> engines, proxies;
      for (auto& name : run.sim_site.of_role("engine"))
        if (name.rfind("model", 0) == 0)
          engines.push_back(run.sim_site.metric(name, "herontally_engine_turns_total"));
      for (auto& name : run.sim_site.of_role("proxy"))
        proxies.push_back(run.sim_site.metric(name, "herontally_placements_total"));
      printf("| %d | %.0f | %lld | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %lld |\n", edges, rate,
             static_cast<long long>(run.complete), quantile(engines, 0), quantile(engines, 0.5),
             quantile(engines, 1), quantile(proxies, 0), quantile(proxies, 0.5), quantile(proxies, 1),
             static_cast<long long>(run.refusals));
    }
}

// An engine with an empty cache joins while all others hold a long shared prefix.
void measure_join() {
  printf(
      "| sharing | second after its start | turns begun there | most its ramp lets in at once | bytes it "
      "pulled |\n"
      "|---|---|---|---|---|\n");
  for (bool on : {false, true}) {
    auto options = swanreach_deployment();
    options.prefix_text = filler_words(3000);
    options.min_cached_token_delta = on ? nlohmann::json(512) : nlohmann::json(nullptr);
    loaded_site run(23, options);
    if (!run.begin()) continue;
    run.load(60, 20);
    run.sim_world.run_for(6 * rt::second);
    auto name = run.sim_site.add_engine(run.sim_site.options().partners[0], "model", "zone-a", "v1");
    run.sim_site.boot(name);
    // Removes nothing; publishes the platform's list with the new engine.
    run.sim_site.remove_engine("nobody");
    double turns = 0, bytes = 0;
    for (int second = 1; second <= 8; ++second) {
      run.sim_world.run_for(rt::second);
      double now = run.sim_site.metric(name, "herontally_engine_turns_total"),
             moved = run.sim_site.metric(name, "herontally_engine_kv_bytes_in_total");
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
    auto options = swanreach_deployment();
    options.prefix_text = filler_words(1500);
    options.min_cached_token_delta = on ? nlohmann::json(512) : nlohmann::json(nullptr);
    loaded_site run(25, options);
    if (!run.begin()) continue;
    run.load(20, 30);
    run.sim_world.run_for(2 * rt::second);
    double computed = 0, moved = 0;
    for (int number = 1; number <= 12; ++number) {
      run.sim_site.roll_engine("model-" + std::to_string(number), "v1");
      run.sim_world.run_for(2 * rt::second);
    }
    run.finish();
    computed = run.sum("engine", "herontally_engine_tokens_computed_total");
    moved = run.sum("engine", "herontally_engine_kv_bytes_in_total");
    printf("| %s | %lld | %lld | %lld | %.0f | %.0f | %.3f | %.3f |\n", on ? "on" : "off",
           static_cast<long long>(run.complete), static_cast<long long>(run.turns_cut),
           static_cast<long long>(run.refusals), computed, moved, quantile(run.first_piece_seconds, 0.5),
           quantile(run.first_piece_seconds, 0.99));
  }
}

void measure_crowd() {
  printf(
      "| clients at once | turns complete | refusals | time to a refusal p50 s | most s | first piece "
      "p50 s | "
      "p99 s | cut |\n|---|---|---|---|---|---|---|---|\n");
  for (std::int64_t crowd : {100, 500, 2000, 5000}) {
    loaded_site run(27, swanreach_deployment());
    if (!run.begin()) continue;
    run.load(5, 2, crowd);
    run.finish();
    printf("| %lld | %lld | %lld | %.3f | %.3f | %.3f | %.3f | %lld |\n", static_cast<long long>(crowd),
           static_cast<long long>(run.complete), static_cast<long long>(run.refusals),
           quantile(run.refusal_seconds, 0.5), quantile(run.refusal_seconds, 1),
           quantile(run.first_piece_seconds, 0.5), quantile(run.first_piece_seconds, 0.99),
           static_cast<long long>(run.turns_cut));
  }
}

void measure_slow_disk() {
  printf(
      "| storage machines with syncs of 150 to 300 ms | turns complete | refusals | first piece p50 s | p99 "
      "s "
      "|\n"
      "|---|---|---|---|---|\n");
  for (int slow : {0, 1, 2, 3}) {
    loaded_site run(29, swanreach_deployment());
    if (!run.begin()) continue;
    for (int number = 1; number <= slow; ++number)
      run.sim_world.find("store-" + std::to_string(number)).disk.sync_time = 150 * rt::millisecond;
    run.load(10, 15);
    run.finish();
    printf("| %d | %lld | %lld | %.3f | %.3f |\n", slow, static_cast<long long>(run.complete),
           static_cast<long long>(run.refusals), quantile(run.first_piece_seconds, 0.5),
           quantile(run.first_piece_seconds, 0.99));
  }
}

}  // namespace simulator
