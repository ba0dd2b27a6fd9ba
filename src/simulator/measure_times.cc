// Measurements over several seeds, in virtual time: the times that the requirements limit, and what the
// replicated register costs per turn (rounds and disk syncs).
#include <stdio.h>

#include <algorithm>

#include "simulator/measure.h"
#include "simulator/scenario.h"

namespace simulator {

namespace rt = herontally::runtime;
void measure_times();
void measure_register();

namespace {

// Measured times of one kind, in seconds.
struct samples {
  std::vector<double> values;
  void print(const char* what, double bound) {
    std::sort(values.begin(), values.end());
    if (values.empty()) return;
    printf("| %s | %zu | %.2f | %.2f | %.2f | %.0f |\n", what, values.size(), values.front(),
           values[values.size() / 2], values.back(), bound);
  }
};

// Starts load that outlasts the measurement: 60 s of virtual time.
void start_load(site& sim_site, oracle& sim_oracle, double rate) {
  herontally::load_generator::options traffic;
  traffic.proxies = sim_site.proxies();
  traffic.requests_per_second = rate;
  traffic.seconds = 60;
  herontally::load_generator::watcher observer;
  observer.begin = [&sim_oracle](const auto& asked) { sim_oracle.turn_begins(asked); };
  observer.turn = [&sim_oracle](const auto& seen) { sim_oracle.turn_seen(seen); };
  sim_site.callers().spawn([](rt::handle runtime, herontally::load_generator::options traffic,
                              herontally::load_generator::watcher observer) -> rt::task<> {
    co_await herontally::load_generator::run(runtime, traffic, observer);
  }(sim_site.callers(), traffic, observer));
}

// Whether a turn of a new program is complete within 3 s of virtual time.
bool serves(site& sim_site, const std::string& tail) {
  bool done = false, complete = false;
  sim_site.callers().spawn([](site* target, std::string name, bool* out, bool* ended) -> rt::task<> {
    auto proxies = target->proxies();
    auto seen = co_await herontally::load_generator::take_turn(target->callers(), proxies[0], "swanreach",
                                                               name, "t0", "hello", 8, 2);
    *out = seen.end == "complete";
    *ended = true;
  }(&sim_site, "exchange:" + tail, &complete, &done));
  sim_site.where().run_until([&] { return done; }, 3 * rt::second);
  return complete;
}

// Runs six seconds and returns the time, in seconds from now, of the last turn that the engine computed.
double seconds_to_last_turn(site& sim_site, const std::string& engine, double turns) {
  auto& sim_world = sim_site.where();
  auto begun = sim_world.now();
  double last_seen = 0;
  sim_world.run_until(
      [&] {
        auto now = sim_site.metric(engine, "herontally_engine_turns_total");
        if (now > turns) last_seen = static_cast<double>(sim_world.now() - begun) / rt::second;
        turns = std::max(turns, now);
        return false;
      },
      6 * rt::second);
  return last_seen;
}

// How long an engine that refuses nothing still gets requests after the platform was notified that it leaves.
double measure_drain(site& sim_site) {
  std::string victim = "model-1";
  sim_site.roll_engine(victim, "v1");
  return seconds_to_last_turn(sim_site, victim, sim_site.metric(victim, "herontally_engine_turns_total"));
}

// How long an engine of a zone still computes turns after the zone's evacuation was requested.
double measure_evacuation(site& sim_site) {
  std::string inside = "model-2";
  sim_site.callers().spawn(sim_site.change_zone("zone-b", true));
  return seconds_to_last_turn(sim_site, inside, sim_site.metric(inside, "herontally_engine_turns_total"));
}

// How long it takes, after all nodes lose power and are started again, until a turn is complete.
double measure_total_loss(site& sim_site) {
  auto& sim_world = sim_site.where();
  for (auto* role : {"control_node", "storage_node", "agent", "proxy"})
    for (auto& name : sim_site.of_role(role)) sim_world.kill(name, disk_loss::unsynced, true);
  sim_world.run_for(2 * rt::second);
  auto begun = sim_world.now();
  sim_site.boot_all();
  for (int attempt = 0; attempt < 60; ++attempt) {
    if (serves(sim_site, "back-" + std::to_string(attempt))) break;
    sim_world.run_for(50 * rt::millisecond);
  }
  return static_cast<double>(sim_world.now() - begun) / rt::second;
}

}  // namespace

void measure_times() {
  samples recovery, drain, evacuation;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    world sim_world(seed);
    oracle sim_oracle(sim_world);
    site sim_site(sim_world, sim_oracle, {});
    if (!sim_site.begin()) continue;
    start_load(sim_site, sim_oracle, 20);
    sim_world.run_for(8 * rt::second);
    drain.values.push_back(measure_drain(sim_site));
    sim_world.run_for(3 * rt::second);
    evacuation.values.push_back(measure_evacuation(sim_site));
    recovery.values.push_back(measure_total_loss(sim_site));
  }
  printf("| what | runs | least s | median s | most s | bound s |\n|---|---|---|---|---|---|\n");
  drain.print("last turn computed at an engine after the platform was notified (it shows it 0.4 s later)", 3);
  evacuation.print("last turn computed in a zone after its evacuation was asked for", 5);
  recovery.print("first turn complete after a total loss", 12);
}

void measure_register() {
  printf(
      "| traffic | turns complete | register rounds/turn | store syncs/turn | collisions "
      "|\n|---|---|---|---|---|\n");
  for (double rate : {5.0, 20.0, 60.0}) {
    world sim_world(17);
    oracle sim_oracle(sim_world);
    site_options options;
    options.partners = {swanreach(12, 2)};
    options.warm_seconds = 0;
    site sim_site(sim_world, sim_oracle, options);
    if (!sim_site.begin()) continue;
    auto total = [&](const char* role, const char* name) {
      double sum = 0;
      for (auto& each : sim_site.of_role(role)) sum += sim_site.metric(each, name);
      return sum;
    };
    sim_world.run_for(3 * rt::second);
    double rounds = total("proxy", "herontally_register_rounds_total"),
           syncs = total("storage_node", "herontally_disk_syncs_total");
    double turns = total("proxy", "herontally_turns_total{how=\"complete\"}");
    start_load(sim_site, sim_oracle, rate);
    sim_world.run_for(20 * rt::second);
    turns = total("proxy", "herontally_turns_total{how=\"complete\"}") - turns;
    rounds = total("proxy", "herontally_register_rounds_total") - rounds;
    syncs = total("storage_node", "herontally_disk_syncs_total") - syncs;
    // The rounds include those for the receipts of calls.
    printf("| %.0f programs/s | %.0f | %.2f | %.2f | %.0f |\n", rate, turns, rounds / std::max(1.0, turns),
           syncs / std::max(1.0, turns), total("proxy", "herontally_register_collisions_total"));
  }
}

}  // namespace simulator
