#include "simulator/measure.h"

#include <stdio.h>

#include <algorithm>
#include <map>

#include "simulator/scenario.h"

namespace simulator {

namespace rt = herontally::runtime;
using herontally::load_generator::seen_turn;

namespace {

double at(std::vector<double> values, double part) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[std::min(values.size() - 1,
                         static_cast<std::size_t>(part * static_cast<double>(values.size())))];
}

std::string words(int count, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::string text;
  for (int each = 0; each < count; ++each) text += "d" + std::to_string(random() % 1000) + " ";
  return text;
}

double sum(site& place, const std::string& role, const std::string& name) {
  double total = 0;
  for (auto& each : place.of_role(role)) total += place.metric(each, name);
  return total;
}

struct fork_result {
  std::vector<double> first;
  double moved = 0, computed = 0, named = 0;
  int complete = 0;
};

// Many programs begin at once over one long shared prefix that a single engine has computed before.
fork_result fork_burst(std::uint64_t seed, nlohmann::json delta, int prefix_words, int branches) {
  world where(seed);
  oracle judge(where);
  site_options choice;
  choice.partners = {swanreach(6, 2)};
  choice.warm_seconds = 0;
  choice.min_cached_token_delta = std::move(delta);
  choice.prefix_text = words(prefix_words, 5);
  choice.turns_per_engine = 30;
  choice.most_running = 16;
  site place(where, judge, choice);
  fork_result result;
  if (!place.begin()) return result;
  auto branch = [](site* own, fork_result* out, int number, int* done) -> rt::task<> {
    auto proxies = own->proxies();
    auto proxy = proxies[static_cast<std::size_t>(number) % proxies.size()];
    auto seen = co_await herontally::load_generator::take_turn(own->callers(), proxy, "swanreach",
                                                               "exchange:b" + std::to_string(number), "t0",
                                                               "branch " + std::to_string(number), 16, 40);
    if (seen.end == "complete") {
      ++out->complete;
      if (number > 0) out->first.push_back(seen.first_piece_seconds);
    }
    ++*done;
  };
  int done = 0;
  // The one copy that there is before the burst; a young site may refuse its first clients.
  for (int attempt = 0; attempt < 10 && result.complete == 0; ++attempt) {
    done = 0;
    place.callers().spawn(branch(&place, &result, 0, &done));
    where.run_until([&] { return done == 1; }, 40 * rt::second);
  }
  // The engines' reports of the first turn must have been seen.
  where.run_for(rt::second);
  double computed = sum(place, "engine", "herontally_engine_tokens_computed_total");
  for (int number = 1; number <= branches; ++number) {
    place.callers().spawn(branch(&place, &result, number, &done));
    where.run_for(10 * rt::millisecond);
  }
  where.run_until([&] { return done == branches + 1; }, 60 * rt::second);
  result.moved = sum(place, "engine", "herontally_engine_kv_bytes_in_total");
  result.computed = sum(place, "engine", "herontally_engine_tokens_computed_total") - computed;
  result.named = sum(place, "proxy", "herontally_pulls_named_total");
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
             on ? "on" : "off", result.complete - 1, result.named, result.moved, result.computed,
             at(result.first, 0.5), at(result.first, 0.9));
    }
}

// Price first: for each prefix length the same burst with and without the pull.
void measure_threshold() {
  printf(
      "| prefix words | computing p50 s | pulling p50 s | pulling/computing | bytes moved "
      "|\n|---|---|---|---|---|\n");
  for (int length : {20, 100, 400, 1000, 3000, 8000}) {
    auto off = fork_burst(3, nullptr, length, 12);
    auto on = fork_burst(3, 0, length, 12);
    double ratio = at(off.first, 0.5) > 0 ? at(on.first, 0.5) / at(off.first, 0.5) : 0;
    printf("| %d | %.4f | %.4f | %.2f | %.0f |\n", length, at(off.first, 0.5), at(on.first, 0.5), ratio,
           on.moved);
  }
}

// Where nothing may be pulled, nothing is.
void measure_controls() {
  printf("| control | branches done | pulls named | bytes moved |\n|---|---|---|---|\n");
  auto off = fork_burst(7, nullptr, 6000, 30);
  printf("| no threshold set | %d | %.0f | %.0f |\n", off.complete - 1, off.named, off.moved);
  auto high = fork_burst(7, 100000, 6000, 30);
  printf("| threshold above any lead | %d | %.0f | %.0f |\n", high.complete - 1, high.named, high.moved);
  auto brief = fork_burst(7, 64, 1, 30);
  printf("| prefix shorter than the threshold | %d | %.0f | %.0f |\n", brief.complete - 1, brief.named,
         brief.moved);
  auto on = fork_burst(7, 1024, 6000, 30);
  printf("| (sharing on, for comparison) | %d | %.0f | %.0f |\n", on.complete - 1, on.named, on.moved);
}

// From a change's sending to its acknowledgement, and until the last proxy has it in force.
void measure_in_force() {
  printf(
      "| proxies | changes | acknowledged p50 ms | most ms | last proxy after the acknowledgement, most ms "
      "|\n|---|---|---|---|---|\n");
  for (int edges : {3, 12, 60}) {
    world where(11);
    oracle judge(where);
    site_options choice;
    choice.edges = edges;
    choice.partners = {swanreach(2, 1)};
    site place(where, judge, choice);
    if (!place.begin()) continue;
    // Until every edge is listed.
    where.run_for(8 * rt::second);
    std::vector<double> acknowledged, behind;
    for (int change = 0; change < 20; ++change) {
      bool done = false;
      auto begun = where.now();
      place.callers().spawn([](site* own, bool* out) -> rt::task<> {
        co_await own->apply_next("core-1");
        *out = true;
      }(&place, &done));
      where.run_until([&] { return done; }, 10 * rt::second);
      acknowledged.push_back(static_cast<double>(where.now() - begun) / 1000);
      auto acked = where.now();
      auto newest = place.metric("core-1", "herontally_configuration_revision");
      where.run_until(
          [&] {
            for (auto& proxy : place.of_role("proxy"))
              if (place.metric(proxy, "herontally_configuration_revision") < newest) return false;
            return true;
          },
          5 * rt::second);
      behind.push_back(static_cast<double>(where.now() - acked) / 1000);
      where.run_for(300 * rt::millisecond);
    }
    printf("| %d | 20 | %.1f | %.1f | %.1f |\n", edges, at(acknowledged, 0.5), at(acknowledged, 1),
           at(behind, 1));
  }
}

// What the control plane costs when nothing happens.
void measure_control() {
  const char* kinds[] = {"probe", "news_ask", "voter_ask", "in_force"};
  printf("| proxies | messages/s in all | bytes/s in all | messages/s per machine | asked/s per machine:");
  for (auto* kind : kinds) printf(" %s |", kind);
  printf("\n|---|---|---|---|---|---|---|---|\n");
  for (int edges : {3, 12, 60}) {
    world where(13);
    oracle judge(where);
    site_options choice;
    choice.edges = edges;
    choice.partners = {swanreach(0, 0)};
    site place(where, judge, choice);
    if (!place.begin()) continue;
    where.run_for(6 * rt::second);
    auto asked = [&](const char* kind) {
      double total = 0;
      for (auto* role : {"control_node", "storage_node", "agent", "proxy"})
        total += sum(place, role, std::string("herontally_inner_asked_total{kind=\"") + kind + "\"}");
      return total;
    };
    std::vector<double> before;
    for (auto* kind : kinds) before.push_back(asked(kind));
    auto messages = where.net().messages, bytes = where.net().bytes;
    where.run_for(10 * rt::second);
    double each = static_cast<double>(where.net().messages - messages) / 10;
    printf("| %d | %.0f | %.0f | %.1f |", edges, each, static_cast<double>(where.net().bytes - bytes) / 10,
           each / (2.0 * edges + 6));
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

static const std::map<std::string, void (*)()>& all() {
  static const std::map<std::string, void (*)()> table{
      {"fork", measure_fork},         {"threshold", measure_threshold}, {"controls", measure_controls},
      {"in-force", measure_in_force}, {"control", measure_control},     {"times", measure_times},
      {"register", measure_register}, {"spread", measure_spread},       {"join", measure_join},
      {"roll", measure_roll},         {"crowd", measure_crowd},         {"slow-disk", measure_slow_disk},
      {"repair", measure_repair},     {"replace", measure_replace}};
  return table;
}

bool measure(const std::string& name) {
  auto found = all().find(name);
  if (found == all().end()) return false;
  found->second();
  return true;
}

std::string measurement_names() {
  std::string names;
  for (auto& [name, work] : all()) names += (names.empty() ? "" : " ") + name;
  return names;
}

}  // namespace simulator
