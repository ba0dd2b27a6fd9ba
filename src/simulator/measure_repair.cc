// What repair and replacement cost.
#include <stdio.h>

#include "consensus/proposer.h"
#include "simulator/measure.h"
#include "simulator/scenario.h"

namespace simulator {

namespace rt = herontally::runtime;
void measure_repair();
void measure_replace();

namespace {

struct filled_site {
  world where;
  oracle judge;
  site place;
  std::shared_ptr<herontally::consensus::proposer> writer;
  explicit filled_site(std::uint64_t seed) : where(seed), judge(where), place(where, judge, shape()) {}
  static site_options shape() {
    site_options choice;
    choice.partners = {swanreach(0, 0)};
    return choice;
  }
  // So many contents of some hundred bytes, written as a proxy writes them.
  bool begin(int records) {
    if (!place.begin()) return false;
    namespace ht = herontally;
    ht::rpc::endpoint endpoint(place.callers(), "writer", ht::logging::logger("writer", [](auto&, auto&) {}));
    writer = std::make_shared<ht::consensus::proposer>(endpoint, "store");
    writer->set_seeds([] {
      return std::vector<std::string>{"10.0.0.4:7000", "10.0.0.5:7000", "10.0.0.6:7000"};
    });
    int ended = 0;
    auto put = [](filled_site* own, int from, int to, int* done) -> rt::task<> {
      for (int number = from; number < to; ++number)
        co_await own->writer->put_content("d" + std::to_string(number), std::string(300, 'x'),
                                          own->place.callers().now() + 30 * rt::second, true);
      ++*done;
    };
    for (int part = 0; part < 20; ++part)
      place.callers().spawn(put(this, records * part / 20, records * (part + 1) / 20, &ended));
    return where.run_until([&] { return ended == 20; }, 600 * rt::second);
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
    run.where.run_for(10 * rt::second);
    auto total = [&](const std::string& name) {
      double sum = 0;
      for (auto& each : run.place.of_role("storage_node")) sum += run.place.metric(each, name);
      return sum;
    };
    auto asked = [&] {
      return total("herontally_inner_asked_total{kind=\"sums_ask\"}") +
             total("herontally_inner_asked_total{kind=\"keys_ask\"}");
    };
    double before = asked(), walked = total("herontally_repair_ranges_walked_total");
    auto bytes = run.where.net().bytes;
    run.where.run_for(20 * rt::second);
    printf("| %d | %.1f | %.0f | %.1f |\n", records, (asked() - before) / 20,
           static_cast<double>(run.where.net().bytes - bytes) / 20,
           (total("herontally_repair_ranges_walked_total") - walked) / 20);
  }
}

// From the loss to full copies: the newcomer in the view, and nothing missing at any peer.
void measure_replace() {
  printf(
      "| lost | records | time to a new view s | time to full copies s | messages | bytes "
      "|\n|---|---|---|---|---|---|\n");
  for (std::string role : {"storage_node", "control_node"})
    for (int records : {1000, 10000, 40000}) {
      filled_site run(33);
      if (!run.begin(role == "control_node" ? 10 : records)) continue;
      run.where.run_for(6 * rt::second);
      std::string lost = role == "storage_node" ? "store-2" : "core-2";
      auto begun = run.where.now();
      auto messages = run.where.net().messages, bytes = run.where.net().bytes;
      run.where.kill(lost, disk_loss::all, true);
      run.where.run_for(500 * rt::millisecond);
      run.place.boot(lost);
      auto voter = role == "storage_node" ? "store-1" : "core-1";
      run.where.run_until(
          [&] {
            return role == "storage_node" ? run.place.metric(voter, "herontally_view") >= 3
                                          : run.place.metric(lost, "herontally_view") >= 3;
          },
          120 * rt::second);
      double view = static_cast<double>(run.where.now() - begun) / rt::second;
      auto keys = [&](const std::string& name) { return run.place.metric(name, "herontally_voter_keys"); };
      run.where.run_until([&] { return role == "control_node" || keys(lost) >= keys("store-1"); },
                          120 * rt::second);
      double full = static_cast<double>(run.where.now() - begun) / rt::second;
      printf("| %s | %d | %.1f | %.1f | %lld | %lld |\n", lost.c_str(), role == "control_node" ? 10 : records,
             view, full, static_cast<long long>(run.where.net().messages - messages),
             static_cast<long long>(run.where.net().bytes - bytes));
      if (role == "control_node") break;
    }
}

}  // namespace simulator
