// Membership: nodes discover each other through seeds, remove dead members, keep a member that only one node
// can't reach, and merge their lists after a partition.
#include <catch2/catch.hpp>

#include "membership/member_list.h"
#include "simulator/world.h"

using namespace herontally;

namespace {

struct cluster {
  simulator::world world;
  std::map<std::string, std::shared_ptr<membership::member_list>> nodes;
  std::vector<std::string> seeds;
  explicit cluster(std::uint64_t seed) : world(seed) {}

  static std::string address(int number) { return "10.0.0." + std::to_string(number) + ":7000"; }
  void boot(int number) {
    std::string name = "n" + std::to_string(number);
    world.machine(name, "z");
    world.boot(name);
    rpc::endpoint endpoint(world.runtime_of(name), name, logging::logger(name, [](auto&, auto&) {}));
    endpoint.listen(address(number));
    rpc::member self;
    self.name = name;
    self.role = rpc::node_role::agent;
    self.inner = address(number);
    auto known = std::make_shared<membership::member_list>(endpoint, self, seeds);
    known->start();
    nodes[name] = known;
  }
  void boot_all(int count) {
    for (int number = 1; number <= 3; ++number) seeds.push_back(address(number));
    for (int number = 1; number <= count; ++number) boot(number);
  }
  // Whether every node that is up and not frozen lists exactly this many live members.
  bool all_list_live(std::size_t count) {
    for (auto& [name, known] : nodes)
      if (world.find(name).up && !world.find(name).frozen &&
          known->live(rpc::node_role::agent).size() != count)
        return false;
    return true;
  }
};

}  // namespace

TEST_CASE("24 nodes discover each other through three seeds within 1.5 seconds") {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    cluster site(seed);
    site.boot_all(24);
    REQUIRE(site.world.run_until([&] { return site.all_list_live(24); }, 3 * runtime::second));
    INFO("seed " << seed << " took " << site.world.now());
    REQUIRE(site.world.now() < 1500 * runtime::millisecond);
  }
}

TEST_CASE("dead nodes are removed, frozen ones return, and indirect probes keep unreachable ones alive") {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    cluster site(seed);
    site.boot_all(12);
    REQUIRE(site.world.run_until([&] { return site.all_list_live(12); }, 3 * runtime::second));
    site.world.kill("n7", simulator::disk_loss::none, true);
    REQUIRE(site.world.run_until([&] { return site.all_list_live(11); }, 8 * runtime::second));
    site.boot(7);
    REQUIRE(site.world.run_until([&] { return site.all_list_live(12); }, 4 * runtime::second));
    site.world.freeze("n5");
    REQUIRE(site.world.run_until([&] { return site.all_list_live(11); }, 8 * runtime::second));
    site.world.wake("n5");
    REQUIRE(site.world.run_until([&] { return site.all_list_live(12); }, 4 * runtime::second));
    // Only the path between n2 and n3 is cut: indirect probes through the others keep both alive.
    site.world.cut("n2", "n3");
    site.world.cut("n3", "n2");
    bool disagreed = site.world.run_until([&] { return !site.all_list_live(12); }, 10 * runtime::second);
    REQUIRE_FALSE(disagreed);
  }
}

TEST_CASE("two sides of a partition merge after it heals") {
  cluster site(3);
  site.boot_all(10);
  REQUIRE(site.world.run_until([&] { return site.all_list_live(10); }, 3 * runtime::second));
  auto for_each_path = [&](auto change) {
    for (int left = 1; left <= 5; ++left)
      for (int right = 6; right <= 10; ++right) {
        change("n" + std::to_string(left), "n" + std::to_string(right));
        change("n" + std::to_string(right), "n" + std::to_string(left));
      }
  };
  for_each_path([&](auto from, auto to) { site.world.cut(from, to); });
  REQUIRE(site.world.run_until([&] { return site.all_list_live(5); }, 15 * runtime::second));
  for_each_path([&](auto from, auto to) { site.world.heal(from, to); });
  REQUIRE(site.world.run_until([&] { return site.all_list_live(10); }, 10 * runtime::second));
}
