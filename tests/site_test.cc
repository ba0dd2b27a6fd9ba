// What a client observes of a whole simulated site, in situations that the seeded simulator runs don't cover.
#include "simulator/site.h"

#include <catch2/catch.hpp>

using namespace herontally;
using runtime::millisecond;
using runtime::second;

namespace {

struct small_site {
  simulator::world world;
  simulator::oracle oracle;
  simulator::site sim_site;
  explicit small_site(simulator::site_options options, std::uint64_t seed = 5)
      : world(seed), oracle(world), sim_site(world, oracle, options) {
    REQUIRE(sim_site.begin());
    world.run_for(4 * second);
  }
  void spawn_turn(const std::string& program, const std::string& turn,
                  std::shared_ptr<std::optional<load_generator::seen_turn>> out, std::size_t proxy = 0,
                  double patience = 20) {
    auto take = [](simulator::site* target, std::string program, std::string turn, std::size_t proxy,
                   double patience,
                   std::shared_ptr<std::optional<load_generator::seen_turn>> out) -> runtime::task<> {
      auto proxies = target->proxies();
      auto seen = co_await load_generator::take_turn(target->callers(), proxies[proxy % proxies.size()],
                                                     "swanreach", program, turn, "say " + turn, 64, patience);
      out->emplace(seen);
    };
    sim_site.callers().spawn(take(&sim_site, program, turn, proxy, patience, out));
  }
  load_generator::seen_turn turn(const std::string& program, const std::string& turn, std::size_t proxy = 0) {
    auto out = std::make_shared<std::optional<load_generator::seen_turn>>();
    spawn_turn(program, turn, out, proxy);
    REQUIRE(world.run_until([&] { return out->has_value(); }, 30 * second));
    return **out;
  }
  load_generator::seen_call call(const std::string& key) {
    auto out = std::make_shared<std::optional<load_generator::seen_call>>();
    auto make = [](simulator::site* target, std::string key,
                   std::shared_ptr<std::optional<load_generator::seen_call>> out) -> runtime::task<> {
      auto seen = co_await load_generator::make_call(target->callers(), target->proxies()[0], "swanreach",
                                                     "labels", key, "{}", 10);
      out->emplace(seen);
    };
    sim_site.callers().spawn(make(&sim_site, key, out));
    REQUIRE(world.run_until([&] { return out->has_value(); }, 20 * second));
    return **out;
  }
  double sum(const char* role, const std::string& name) {
    double total = 0;
    for (auto& each : sim_site.of_role(role)) total += sim_site.metric(each, name);
    return total;
  }
};

}  // namespace

TEST_CASE("a finished turn is not run again, however many turns followed it") {
  small_site site({});
  std::string first;
  for (int number = 0; number < 30; ++number) {
    auto seen = site.turn("exchange:long", "t" + std::to_string(number), static_cast<std::size_t>(number));
    REQUIRE(seen.end == "complete");
    if (number == 0) first = seen.text;
  }
  double ran = site.sum("engine", "herontally_engine_turns_total");
  auto again = site.turn("exchange:long", "t0", 1);
  REQUIRE(again.end == "complete");
  REQUIRE(again.stored);
  REQUIRE(again.text == first);
  REQUIRE(site.sum("engine", "herontally_engine_turns_total") == ran);
  REQUIRE(site.turn("exchange:long", "t30").end == "complete");
}

TEST_CASE("a receipt shrinks to a tombstone after its retention time, and its key never runs again") {
  simulator::site_options options;
  options.receipt_seconds = 1;
  small_site site(options);
  REQUIRE(site.call("k1").status == 200);
  auto again = site.call("k1");
  REQUIRE(again.status == 200);
  REQUIRE(again.response == "stored");
  site.world.run_for(25 * second);
  auto gone = site.call("k1");
  REQUIRE(gone.status == 410);
  REQUIRE(gone.ran == "yes");
  REQUIRE(site.sum("engine", "herontally_engine_calls_total") == 1);
  REQUIRE(site.sum("storage_node", "herontally_call_records_expired_total") == 1);
}

TEST_CASE("queued turns are answered at once when the last usable engine fails") {
  simulator::site_options options;
  options.partners = {simulator::swanreach(1, 1)};
  options.turns_per_engine = 1;
  options.warm_seconds = 0;
  options.token_milliseconds = 50;
  small_site site(options);
  std::vector<std::shared_ptr<std::optional<load_generator::seen_turn>>> seen;
  for (int number = 0; number < 6; ++number) {
    seen.push_back(std::make_shared<std::optional<load_generator::seen_turn>>());
    site.spawn_turn("eligibility:w" + std::to_string(number), "t0", seen.back(),
                    static_cast<std::size_t>(number));
  }
  site.world.run_for(600 * millisecond);
  site.world.kill("model-1", simulator::disk_loss::none);
  auto answered = [&] {
    for (auto& each : seen)
      if (!each->has_value()) return false;
    return true;
  };
  // The proxies' next request for the engine's report fails; no client waits until the queue timeout.
  REQUIRE(site.world.run_until(answered, 1500 * millisecond));
  for (auto& each : seen) {
    bool told = (*each)->end == "cut" || ((*each)->status >= 429 && (*each)->come_back_seconds >= 1);
    REQUIRE(told);
  }
}

TEST_CASE("a client that doesn't read is disconnected, and the data buffered for it is bounded") {
  simulator::site_options options;
  options.client_buffer_kilobytes = 1;
  options.token_milliseconds = 20;
  small_site site(options);
  std::vector<std::shared_ptr<std::optional<load_generator::seen_turn>>> seen;
  for (int number = 0; number < 20; ++number) {
    seen.push_back(std::make_shared<std::optional<load_generator::seen_turn>>());
    site.spawn_turn("exchange:slow" + std::to_string(number), "t0", seen.back(),
                    static_cast<std::size_t>(number));
  }
  site.world.run_for(50 * millisecond);
  site.world.stall("callers", true);
  site.world.run_for(8 * second);
  double cut = site.sum("proxy", "herontally_slow_clients_cut_total");
  INFO(cut << " cut");
  REQUIRE(cut > 0);
  // Their requests don't stay open at the proxies.
  REQUIRE(site.sum("proxy", "herontally_requests") <= 20);
  site.world.stall("callers", false);
  REQUIRE(site.turn("exchange:after", "t0").end == "complete");
}

TEST_CASE("an edge that begins anew while no core lives sends nothing to an engine that has been leaving") {
  // The seed decides whether the restarted edge first reads the platform's list before or after it gets the
  // peers' list.
  int fresh_proxies = 0;
  for (std::uint64_t seed = 1; seed <= 36; ++seed) {
    small_site site({}, seed);
    for (auto& core : site.sim_site.of_role("control_node"))
      site.world.kill(core, simulator::disk_loss::none);
    site.world.run_for(2 * second);
    for (auto& each : site.sim_site.of_role("engine"))
      if (each.rfind("model", 0) == 0) site.sim_site.roll_engine(each, "v1");
    site.world.run_for(4500 * millisecond);
    for (auto name : {"agent-1", "edge-1"}) {
      site.world.kill(name, simulator::disk_loss::none);
      site.sim_site.boot(name);
    }
    // The peers' list of engines dates from before the change; the engines in it stay up for another 2.5 s.
    auto out = std::make_shared<std::optional<load_generator::seen_turn>>();
    bool fresh = false;
    for (int number = 0; number < 120; ++number) {
      site.spawn_turn("exchange:" + std::to_string(number), "t0", out, 0, 1);
      site.world.run_for(20 * millisecond);
      fresh = fresh || site.sim_site.metric("edge-1", "herontally_fresh") == 1;
    }
    fresh_proxies += fresh ? 1 : 0;
    CHECK(site.oracle.violations().empty());
  }
  // Under some seeds the proxy learns of too few peers within this time to place any request.
  REQUIRE(fresh_proxies >= 12);
}
