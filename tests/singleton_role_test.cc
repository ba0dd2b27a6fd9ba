// The owner of a singleton role must notice when another node claims the role, also if no receiver refuses
// its epoch: it would go on under an epoch that has been superseded.
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

// Writes the claim of node x, as a node does that has just started and knows no other node.
void claim_by_other_node(group& site, std::int64_t epoch) {
  auto other = site.writer("x");
  nlohmann::json claim{{"epoch", epoch}, {"holder", "x/1/drawn"}};
  auto write = [claim](const std::optional<std::string>&) {
    return std::optional<std::string>(claim.dump());
  };
  auto written = site.run("x", other.change(role_register, write, site.deadline("x", 3 * second)));
  REQUIRE(written.status == consensus::change_status::committed);
}

}  // namespace

TEST_CASE("an owner notices that another node claimed its role and claims it again") {
  for (std::uint64_t seed : {71, 72, 73}) {
    group site(seed, 3);
    auto catalog = site.begin();
    membership::member_list members(catalog.endpoint(), core_entry("w"), {});
    singleton::singleton_role role(members, catalog, "voters", rpc::node_role::core);
    role.start();
    REQUIRE(site.world.run_until([&role] { return role.is_owner(); }, 5 * second));
    for (int round = 0; round < 3; ++round) {
      auto other_epoch = role.epoch() + 1;
      claim_by_other_node(site, other_epoch);
      site.world.run_for(3 * second);
      CHECK(role.is_owner());
      CHECK(role.epoch() > other_epoch);
    }
  }
}

TEST_CASE("an owner that is not superseded keeps its epoch") {
  group site(74, 3);
  auto catalog = site.begin();
  membership::member_list members(catalog.endpoint(), core_entry("w"), {});
  singleton::singleton_role role(members, catalog, "voters", rpc::node_role::core);
  role.start();
  REQUIRE(site.world.run_until([&role] { return role.is_owner(); }, 5 * second));
  auto epoch = role.epoch();
  // It also keeps the epoch while the register can't be read.
  site.world.kill("s1", simulator::disk_loss::none, true);
  site.world.kill("s2", simulator::disk_loss::none, true);
  site.world.run_for(5 * second);
  site.boot("s1");
  site.boot("s2");
  site.world.run_for(5 * second);
  CHECK(role.is_owner());
  CHECK(role.epoch() == epoch);
}
