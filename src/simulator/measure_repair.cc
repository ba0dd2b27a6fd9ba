// Measurements of the background repair between stores and of the replacement of a lost voter: traffic and
// times.
#include <stdio.h>

#include "consensus/proposer.h"
#include "simulator/measure.h"
#include "simulator/scenario.h"

namespace simulator {

namespace rt = herontally::runtime;
void measure_repair();
void measure_replace();

namespace {

// A site without engines whose stores hold a number of records.
struct filled_site {
  world sim_world;
  oracle sim_oracle;
  site sim_site;
  std::shared_ptr<herontally::consensus::proposer> writer;
  explicit filled_site(std::uint64_t seed)
      : sim_world(seed), sim_oracle(sim_world), sim_site(sim_world, sim_oracle, empty_site_options()) {}
  static site_options empty_site_options() {
    site_options options;
    options.partners = {swanreach(0, 0)};
    return options;
  }
  // Writes `records` contents of 300 bytes as a proxy writes them.
  bool begin(int records) {
    if (!sim_site.begin()) return false;
    namespace ht = herontally;
    ht::rpc::endpoint endpoint(sim_site.callers(), "writer",
                               ht::logging::logger("writer", [](auto&, auto&) {}));
    writer = std::make_shared<ht::consensus::proposer>(endpoint, "store");
    writer->set_seeds([] {
      return std::vector<std::string>{"10.0.0.4:7000", "10.0.0.5:7000", "10.0.0.6:7000"};
    });
    int ended = 0;
    auto put = [](filled_site* target, int from, int to, int* done) -> rt::task<> {
      for (int number = from; number < to; ++number)
        co_await target->writer->put_content("d" + std::to_string(number), std::string(300, 'x'),
                                             target->sim_site.callers().now() + 30 * rt::second, true);
      ++*done;
    };
    for (int part = 0; part < 20; ++part)
      sim_site.callers().spawn(put(this, records * part / 20, records * (part + 1) / 20, &ended));
    return sim_world.run_until([&] { return ended == 20; }, 600 * rt::second);
  }
};

}  // namespace

void measure_repair() {
  printf(
      "| records | messages/s between stores for repair | bytes/s, whole site at rest | ranges walked/s |\n"
      "|---|---|---|---|\n");
  for (int records : {0, 1000, 10000, 40000}) {
    filled_site run(31);
    if (!run.begin(records)) continue;
    run.sim_world.run_for(10 * rt::second);
    auto total = [&](const std::string& name) {
      double sum = 0;
      for (auto& each : run.sim_site.of_role("storage_node")) sum += run.sim_site.metric(each, name);
      return sum;
    };
    auto asked = [&] {
      return total("herontally_inner_asked_total{kind=\"sums_ask\"}") +
             total("herontally_inner_asked_total{kind=\"keys_ask\"}");
    };
    double before = asked(), walked = total("herontally_repair_ranges_walked_total");
    auto bytes = run.sim_world.net().bytes;
    run.sim_world.run_for(20 * rt::second);
    printf("| %d | %.1f | %.0f | %.1f |\n", records, (asked() - before) / 20,
           static_cast<double>(run.sim_world.net().bytes - bytes) / 20,
           (total("herontally_repair_ranges_walked_total") - walked) / 20);
  }
}

// The times from the loss of a voter's disk until the replacement is in the view and until it has a full
// copy.
void measure_replace() {
  printf(
      "| lost | records | time to a new view s | time to full copies s | messages | bytes "
      "|\n|---|---|---|---|---|---|\n");
  for (std::string role : {"storage_node", "control_node"})
    for (int records : {1000, 10000, 40000}) {
      filled_site run(33);
      if (!run.begin(role == "control_node" ? 10 : records)) continue;
      run.sim_world.run_for(6 * rt::second);
      std::string lost = role == "storage_node" ? "store-2" : "core-2";
      auto begun = run.sim_world.now();
      auto messages = run.sim_world.net().messages, bytes = run.sim_world.net().bytes;
      run.sim_world.kill(lost, disk_loss::all, true);
      run.sim_world.run_for(500 * rt::millisecond);
      run.sim_site.boot(lost);
      auto voter = role == "storage_node" ? "store-1" : "core-1";
      run.sim_world.run_until(
          [&] {
            return role == "storage_node" ? run.sim_site.metric(voter, "herontally_view") >= 3
                                          : run.sim_site.metric(lost, "herontally_view") >= 3;
          },
          120 * rt::second);
      double view = static_cast<double>(run.sim_world.now() - begun) / rt::second;
      auto keys = [&](const std::string& name) { return run.sim_site.metric(name, "herontally_voter_keys"); };
      run.sim_world.run_until([&] { return role == "control_node" || keys(lost) >= keys("store-1"); },
                              120 * rt::second);
      double full = static_cast<double>(run.sim_world.now() - begun) / rt::second;
      printf("| %s | %d | %.1f | %.1f | %lld | %lld |\n", lost.c_str(), role == "control_node" ? 10 : records,
             view, full, static_cast<long long>(run.sim_world.net().messages - messages),
             static_cast<long long>(run.sim_world.net().bytes - bytes));
      if (role == "control_node") break;
    }
}

}  // namespace simulator
