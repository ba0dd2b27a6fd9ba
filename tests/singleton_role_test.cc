// The owner of a singleton role, when another node claims the role too.
#include "singleton/singleton_role.h"

#include "replica_group_fixture.h"

using namespace herontally;
using namespace herontally::tests;

namespace {

constexpr const char* role_register = "duty/voters";

rpc::member core_entry(const std::string& name) {
  rpc::member entry;
  entry.name = name;
  entry.role = rpc::node_role::core;
  entry.inner = "10.0.9.1:7000";
  return entry;
}

// Claims as a node does that has just started and knows only itself.
void claim_elsewhere(group& site, std::int64_t epoch) {
  auto other = site.writer("x");
  nlohmann::json claim{{"epoch", epoch}, {"holder", "x/1/drawn"}};
  auto write = [claim](const std::optional<std::string>&) {
    return std::optional<std::string>(claim.dump());
  };
  auto written = site.run("x", other.change(role_register, write, site.deadline("x", 3 * second)));
  REQUIRE(written.status == consensus::change_status::committed);
}

}  // namespace

TEST_CASE("an owner notices that its role was claimed elsewhere and claims it anew") {
  for (std::uint64_t seed : {71, 72, 73}) {
    group site(seed, 3);
    auto catalog = site.begin();
    membership::member_list members(catalog.endpoint(), core_entry("w"), {});
    singleton::singleton_role role(members, catalog, "voters", rpc::node_role::core);
    role.start();
    REQUIRE(site.world.run_until([&role] { return role.is_owner(); }, 5 * second));
    for (int round = 0; round < 3; ++round) {
      auto theirs = role.epoch() + 1;
      claim_elsewhere(site, theirs);
      site.world.run_for(3 * second);
      CHECK(role.is_owner());
      CHECK(role.epoch() > theirs);
    }
  }
}

TEST_CASE("an owner that nobody supersedes keeps its epoch") {
  group site(74, 3);
  auto catalog = site.begin();
  membership::member_list members(catalog.endpoint(), core_entry("w"), {});
  singleton::singleton_role role(members, catalog, "voters", rpc::node_role::core);
  role.start();
  REQUIRE(site.world.run_until([&role] { return role.is_owner(); }, 5 * second));
  auto epoch = role.epoch();
  // Also while the register can't be read for a while.
  site.world.kill("s1", simulator::disk_loss::none, true);
  site.world.kill("s2", simulator::disk_loss::none, true);
  site.world.run_for(5 * second);
  site.boot("s1");
  site.boot("s2");
  site.world.run_for(5 * second);
  CHECK(role.is_owner());
  CHECK(role.epoch() == epoch);
}
