// Times that the brief bounds, and what the register costs; over seeds, in virtual time.
#include <stdio.h>

#include <algorithm>

#include "simulator/measure.h"
#include "simulator/scenario.h"

namespace simulator {

namespace rt = herontally::runtime;
void measure_times();
void measure_register();

namespace {

struct spread {
  std::vector<double> values;
  void print(const char* what, double bound) {
    std::sort(values.begin(), values.end());
    if (values.empty()) return;
    printf("| %s | %zu | %.2f | %.2f | %.2f | %.0f |\n", what, values.size(), values.front(),
           values[values.size() / 2], values.back(), bound);
  }
};

// Traffic that goes on until the world ends.
void keep_busy(site& place, oracle& judge, double rate) {
  herontally::load_generator::options traffic;
  traffic.proxies = place.proxies();
  traffic.requests_per_second = rate;
  traffic.seconds = 60;
  herontally::load_generator::watcher observer;
  observer.begin = [&judge](const auto& asked) { judge.turn_begins(asked); };
  observer.turn = [&judge](const auto& seen) { judge.turn_seen(seen); };
  place.callers().spawn([](rt::handle runtime, herontally::load_generator::options traffic,
                           herontally::load_generator::watcher observer) -> rt::task<> {
    co_await herontally::load_generator::run(runtime, traffic, observer);
  }(place.callers(), traffic, observer));
}

bool serves(site& place, const std::string& tail) {
  bool done = false, complete = false;
  place.callers().spawn([](site* own, std::string name, bool* out, bool* ended) -> rt::task<> {
    auto proxies = own->proxies();
    auto seen = co_await herontally::load_generator::take_turn(own->callers(), proxies[0], "swanreach", name,
                                                               "t0", "hello", 8, 2);
    *out = seen.end == "complete";
    *ended = true;
  }(&place, "exchange:" + tail, &complete, &done));
  place.where().run_until([&] { return done; }, 3 * rt::second);
  return complete;
}

// Seconds from now to the last turn that the engine computed within the next six.
double seconds_to_last_turn(site& place, const std::string& engine, double turns) {
  auto& where = place.where();
  auto begun = where.now();
  double last_seen = 0;
  where.run_until(
      [&] {
        auto now = place.metric(engine, "herontally_engine_turns_total");
        if (now > turns) last_seen = static_cast<double>(where.now() - begun) / rt::second;
        turns = std::max(turns, now);
        return false;
      },
      6 * rt::second);
  return last_seen;
}

// An engine that takes whatever comes is shown as leaving; how long do requests still reach it?
double measure_drain(site& place) {
  std::string victim = "model-1";
  place.roll_engine(victim, "v1");
  return seconds_to_last_turn(place, victim, place.metric(victim, "herontally_engine_turns_total"));
}

// A zone is evacuated; how long until its engines compute nothing new?
double measure_evacuation(site& place) {
  std::string inside = "model-2";
  place.callers().spawn(place.change_zone("zone-b", true));
  return seconds_to_last_turn(place, inside, place.metric(inside, "herontally_engine_turns_total"));
}

// Everything of ours goes down by power and starts again; how long until a turn is complete?
double measure_total_loss(site& place) {
  auto& where = place.where();
  for (auto* role : {"control_node", "storage_node", "agent", "proxy"})
    for (auto& name : place.of_role(role)) where.kill(name, disk_loss::unsynced, true);
  where.run_for(2 * rt::second);
  auto begun = where.now();
  place.boot_all();
  for (int attempt = 0; attempt < 60; ++attempt) {
    if (serves(place, "back-" + std::to_string(attempt))) break;
    where.run_for(50 * rt::millisecond);
  }
  return static_cast<double>(where.now() - begun) / rt::second;
}

}  // namespace

void measure_times() {
  spread back, drained, emptied;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    world where(seed);
    oracle judge(where);
    site place(where, judge, {});
    if (!place.begin()) continue;
    keep_busy(place, judge, 20);
    where.run_for(8 * rt::second);
    drained.values.push_back(measure_drain(place));
    where.run_for(3 * rt::second);
    emptied.values.push_back(measure_evacuation(place));
    back.values.push_back(measure_total_loss(place));
  }
  printf("| what | runs | least s | median s | most s | bound s |\n|---|---|---|---|---|---|\n");
  drained.print("last turn computed at an engine after the platform was notified (it shows it 0.4 s later)",
                3);
  emptied.print("last turn computed in a zone after its evacuation was asked for", 5);
  back.print("first turn complete after a total loss", 12);
}

void measure_register() {
  printf(
      "| traffic | turns complete | register rounds/turn | store syncs/turn | collisions "
      "|\n|---|---|---|---|---|\n");
  for (double rate : {5.0, 20.0, 60.0}) {
    world where(17);
    oracle judge(where);
    site_options choice;
    choice.partners = {swanreach(12, 2)};
    choice.warm_seconds = 0;
    site place(where, judge, choice);
    if (!place.begin()) continue;
    auto total = [&](const char* role, const char* name) {
      double sum = 0;
      for (auto& each : place.of_role(role)) sum += place.metric(each, name);
      return sum;
    };
    where.run_for(3 * rt::second);
    double rounds = total("proxy", "herontally_register_rounds_total"),
           syncs = total("storage_node", "herontally_disk_syncs_total");
    double turns = total("proxy", "herontally_turns_total{how=\"complete\"}");
    keep_busy(place, judge, rate);
    where.run_for(20 * rt::second);
    turns = total("proxy", "herontally_turns_total{how=\"complete\"}") - turns;
    rounds = total("proxy", "herontally_register_rounds_total") - rounds;
    syncs = total("storage_node", "herontally_disk_syncs_total") - syncs;
    // Tool calls write receipts too; they are in the rounds.
    printf("| %.0f programs/s | %.0f | %.2f | %.2f | %.0f |\n", rate, turns, rounds / std::max(1.0, turns),
           syncs / std::max(1.0, turns), total("proxy", "herontally_register_collisions_total"));
  }
}

}  // namespace simulator
