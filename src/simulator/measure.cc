// The table of all measurements, and those of cache sharing between engines and of the control plane.
#include "simulator/measure.h"

#include <stdio.h>

#include <algorithm>
#include <map>

#include "simulator/scenario.h"

namespace simulator {

namespace rt = herontally::runtime;
using herontally::load_generator::seen_turn;

namespace {

// The value at this fraction of the sorted values: 0 is the smallest, 1 the largest. 0 if there are none.
double quantile(std::vector<double> values, double fraction) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[std::min(values.size() - 1,
                         static_cast<std::size_t>(fraction * static_cast<double>(values.size())))];
}

std::string filler_words(int count, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::string text;
  for (int each = 0; each < count; ++each) text += "d" + std::to_string(random() % 1000) + " ";
  return text;
}

double sum_of_metric(site& sim_site, const std::string& role, const std::string& name) {
  double total = 0;
  for (auto& each : sim_site.of_role(role)) total += sim_site.metric(each, name);
  return total;
}

// What the branches of a burst got, and what the burst moved and computed at the engines.
struct fork_result {
  std::vector<double> first_piece_seconds;
  double bytes_moved = 0, tokens_computed = 0, pulls_named = 0;
  int complete = 0;
};

// Starts many programs at once with one long shared prefix that a single engine has computed before.
fork_result fork_burst(std::uint64_t seed, nlohmann::json delta, int prefix_words, int branches) {
  world sim_world(seed);
  oracle sim_oracle(sim_world);
  site_options options;
  options.partners = {swanreach(6, 2)};
  options.warm_seconds = 0;
  options.min_cached_token_delta = std::move(delta);
  options.prefix_text = filler_words(prefix_words, 5);
  options.turns_per_engine = 30;
  options.most_running = 16;
  site sim_site(sim_world, sim_oracle, options);
  fork_result result;
  if (!sim_site.begin()) return result;
  auto branch = [](site* target, fork_result* out, int number, int* done) -> rt::task<> {
    auto proxies = target->proxies();
    auto proxy = proxies[static_cast<std::size_t>(number) % proxies.size()];
    auto seen = co_await herontally::load_generator::take_turn(target->callers(), proxy, "swanreach",
                                                               "exchange:b" + std::to_string(number), "t0",
                                                               "branch " + std::to_string(number), 16, 40);
    if (seen.end == "complete") {
      ++out->complete;
      if (number > 0) out->first_piece_seconds.push_back(seen.first_piece_seconds);
    }
    ++*done;
  };
  int done = 0;
  // Makes the only copy that exists before the burst; a site that has just started may refuse its first
  // clients.
  for (int attempt = 0; attempt < 10 && result.complete == 0; ++attempt) {
    done = 0;
    sim_site.callers().spawn(branch(&sim_site, &result, 0, &done));
    sim_world.run_until([&] { return done == 1; }, 40 * rt::second);
  }
  // Waits until the proxies have read the engines' reports of the first turn.
  sim_world.run_for(rt::second);
  double computed = sum_of_metric(sim_site, "engine", "herontally_engine_tokens_computed_total");
  for (int number = 1; number <= branches; ++number) {
    sim_site.callers().spawn(branch(&sim_site, &result, number, &done));
    sim_world.run_for(10 * rt::millisecond);
  }
  sim_world.run_until([&] { return done == branches + 1; }, 60 * rt::second);
  result.bytes_moved = sum_of_metric(sim_site, "engine", "herontally_engine_kv_bytes_in_total");
  result.tokens_computed =
      sum_of_metric(sim_site, "engine", "herontally_engine_tokens_computed_total") - computed;
  result.pulls_named = sum_of_metric(sim_site, "proxy", "herontally_pulls_named_total");
  return result;
}

void measure_fork() {
  printf(
      "| seed | sharing | branches done | pulls named | bytes moved | tokens computed | first piece p50 s | "
      "p90 s |\n");
  printf("|---|---|---|---|---|---|---|---|\n");
  for (std::uint64_t seed = 1; seed <= 5; ++seed)
    for (bool on : {false, true}) {
      auto result = fork_burst(seed, on ? nlohmann::json(1024) : nlohmann::json(nullptr), 6000, 40);
      printf("| %d | %s | %d | %.0f | %.0f | %.0f | %.3f | %.3f |\n", static_cast<int>(seed),
             on ? "on" : "off", result.complete - 1, result.pulls_named, result.bytes_moved,
             result.tokens_computed, quantile(result.first_piece_seconds, 0.5),
             quantile(result.first_piece_seconds, 0.9));
    }
}

// Compares computing with pulling: the same burst with and without pulls, for each prefix length.
void measure_threshold() {
  printf(
      "| prefix words | computing p50 s | pulling p50 s | pulling/computing | bytes moved "
      "|\n|---|---|---|---|---|\n");
  for (int length : {20, 100, 400, 1000, 3000, 8000}) {
    auto off = fork_burst(3, nullptr, length, 12);
    auto on = fork_burst(3, 0, length, 12);
    double ratio = quantile(off.first_piece_seconds, 0.5) > 0
                       ? quantile(on.first_piece_seconds, 0.5) / quantile(off.first_piece_seconds, 0.5)
                       : 0;
    printf("| %d | %.4f | %.4f | %.2f | %.0f |\n", length, quantile(off.first_piece_seconds, 0.5),
           quantile(on.first_piece_seconds, 0.5), ratio, on.bytes_moved);
  }
}

// Controls: nothing is pulled when the threshold forbids it.
void measure_controls() {
  printf("| control | branches done | pulls named | bytes moved |\n|---|---|---|---|\n");
  auto off = fork_burst(7, nullptr, 6000, 30);
  printf("| no threshold set | %d | %.0f | %.0f |\n", off.complete - 1, off.pulls_named, off.bytes_moved);
  auto high = fork_burst(7, 100000, 6000, 30);
  printf("| threshold above any lead | %d | %.0f | %.0f |\n", high.complete - 1, high.pulls_named,
         high.bytes_moved);
  auto short_prefix = fork_burst(7, 64, 1, 30);
  printf("| prefix shorter than the threshold | %d | %.0f | %.0f |\n", short_prefix.complete - 1,
         short_prefix.pulls_named, short_prefix.bytes_moved);
  auto on = fork_burst(7, 1024, 6000, 30);
  printf("| (sharing on, for comparison) | %d | %.0f | %.0f |\n", on.complete - 1, on.pulls_named,
         on.bytes_moved);
}

// The time from sending a change to its acknowledgement, and from there until the last proxy has it in force.
void measure_in_force() {
  printf(
      "| proxies | changes | acknowledged p50 ms | most ms | last proxy after the acknowledgement, most ms "
      "|\n|---|---|---|---|---|\n");
  for (int edges : {3, 12, 60}) {
    world sim_world(11);
    oracle sim_oracle(sim_world);
    site_options options;
    options.edges = edges;
    options.partners = {swanreach(2, 1)};
    site sim_site(sim_world, sim_oracle, options);
    if (!sim_site.begin()) continue;
    // Waits until every edge is listed.
    sim_world.run_for(8 * rt::second);
    std::vector<double> acknowledged, proxy_delays;
    for (int change = 0; change < 20; ++change) {
      bool done = false;
      auto begun = sim_world.now();
      sim_site.callers().spawn([](site* target, bool* out) -> rt::task<> {
        co_await target->apply_next("core-1");
        *out = true;
      }(&sim_site, &done));
      sim_world.run_until([&] { return done; }, 10 * rt::second);
      acknowledged.push_back(static_cast<double>(sim_world.now() - begun) / 1000);
      auto acknowledged_at = sim_world.now();
      auto newest = sim_site.metric("core-1", "herontally_configuration_revision");
      sim_world.run_until(
          [&] {
            for (auto& proxy : sim_site.of_role("proxy"))
              if (sim_site.metric(proxy, "herontally_configuration_revision") < newest) return false;
            return true;
          },
          5 * rt::second);
      proxy_delays.push_back(static_cast<double>(sim_world.now() - acknowledged_at) / 1000);
      sim_world.run_for(300 * rt::millisecond);
    }
    printf("| %d | 20 | %.1f | %.1f | %.1f |\n", edges, quantile(acknowledged, 0.5),
           quantile(acknowledged, 1), quantile(proxy_delays, 1));
  }
}

// The control plane's traffic on an idle site.
void measure_control() {
  const char* kinds[] = {"probe", "news_ask", "voter_ask", "in_force"};
  printf("| proxies | messages/s in all | bytes/s in all | messages/s per machine | asked/s per machine:");
  for (auto* kind : kinds) printf(" %s |", kind);
  printf("\n|---|---|---|---|---|---|---|---|\n");
  for (int edges : {3, 12, 60}) {
    world sim_world(13);
    oracle sim_oracle(sim_world);
    site_options options;
    options.edges = edges;
    options.partners = {swanreach(0, 0)};
    site sim_site(sim_world, sim_oracle, options);
    if (!sim_site.begin()) continue;
    sim_world.run_for(6 * rt::second);
    auto asked = [&](const char* kind) {
      double total = 0;
      for (auto* role : {"control_node", "storage_node", "agent", "proxy"})
        total +=
            sum_of_metric(sim_site, role, std::string("herontally_inner_asked_total{kind=\"") + kind + "\"}");
      return total;
    };
    std::vector<double> before;
    for (auto* kind : kinds) before.push_back(asked(kind));
    auto messages = sim_world.net().messages, bytes = sim_world.net().bytes;
    sim_world.run_for(10 * rt::second);
    double messages_per_second = static_cast<double>(sim_world.net().messages - messages) / 10;
    printf("| %d | %.0f | %.0f | %.1f |", edges, messages_per_second,
           static_cast<double>(sim_world.net().bytes - bytes) / 10, messages_per_second / (2.0 * edges + 6));
    for (std::size_t kind = 0; kind < before.size(); ++kind)
      printf(" %.1f |", (asked(kinds[kind]) - before[kind]) / 10 / (2.0 * edges + 6));
    printf("\n");
  }
}

}  // namespace

void measure_times();
void measure_register();
void measure_spread();
void measure_join();
void measure_roll();
void measure_crowd();
void measure_slow_disk();
void measure_repair();
void measure_replace();

static const std::map<std::string, void (*)()>& measurements() {
  static const std::map<std::string, void (*)()> table{
      {"fork", measure_fork},         {"threshold", measure_threshold}, {"controls", measure_controls},
      {"in-force", measure_in_force}, {"control", measure_control},     {"times", measure_times},
      {"register", measure_register}, {"spread", measure_spread},       {"join", measure_join},
      {"roll", measure_roll},         {"crowd", measure_crowd},         {"slow-disk", measure_slow_disk},
      {"repair", measure_repair},     {"replace", measure_replace}};
  return table;
}

bool measure(const std::string& name) {
  auto found = measurements().find(name);
  if (found == measurements().end()) return false;
  found->second();
  return true;
}

std::string measurement_names() {
  std::string names;
  for (auto& [name, function] : measurements()) names += (names.empty() ? "" : " ") + name;
  return names;
}

}  // namespace simulator
