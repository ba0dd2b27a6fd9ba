// The machines on which the deploy file starts cores and stores must suffice for the voters that a
// deployment's loss budget takes.
#include <catch2/catch.hpp>
#include <random>

#include "control_node/voter_plan.h"
#include "deploy_file.h"

using namespace herontally;
using namespace herontally::control_node;

namespace {

struct deployment {
  std::string name;
  std::vector<int> cores, stores;  // machines by zone
  loss_budget budget;
};

// The users' deployments.
const std::vector<deployment>& known_deployments() {
  static const std::vector<deployment> all{
      {"swanreach-returns, zastavica-lj", {2, 2, 1}, {1, 1, 1}, {1, 1}},
      {"kayrak-kayit-grown", {2, 2, 1}, {4, 3, 3}, {2, 1}},
      {"swanreach-returns grown, shared, duties", {3, 3, 3}, {3, 3, 2}, {2, 1}},
      {"zastavica-lj grown, shared, duties", {3, 2, 2, 2}, {3, 3, 2, 2}, {2, 1}},
      {"swanreach-returns-large", {2, 2, 2, 2, 1}, {8, 7, 7, 7, 7}, {2, 1}},
      {"zastavica-lj-large", {2, 2, 2, 1, 1, 1}, {6, 6, 6, 6, 6, 6}, {2, 1}},
  };
  return all;
}

std::vector<consensus::voter_info> machines_of(const std::vector<int>& by_zone) {
  std::vector<consensus::voter_info> machines;
  for (std::size_t zone = 0; zone < by_zone.size(); ++zone)
    for (int number = 0; number < by_zone[zone]; ++number) {
      auto name = std::to_string(zone) + "-" + std::to_string(number);
      machines.push_back({"id-" + name, name + ":7000", name, "zone-" + std::to_string(zone)});
    }
  return machines;
}

// The shortfall of a group made of these machines.
voter_shortfall shortfall_with(const std::vector<int>& by_zone, const loss_budget& budget) {
  return shortfall_of(plan_voters({}, {}, machines_of(by_zone), budget), budget);
}

std::vector<int> started_machines(const std::string& role, const std::vector<int>& machines) {
  return deploy_file::machines_in_use(machines, deploy_file::share_of(role));
}

}  // namespace

// Guards against review case 1 (CONFIG): a share in the deploy file that starts three voters where tolerating
// the loss of two machines takes five.
TEST_CASE("the deploy file starts the voters that each known deployment's loss budget takes") {
  for (auto& deployment : known_deployments()) {
    INFO(deployment.name);
    CHECK(shortfall_with(started_machines("core", deployment.cores), deployment.budget) == voter_shortfall{});
    CHECK(shortfall_with(started_machines("store", deployment.stores), deployment.budget) ==
          voter_shortfall{});
  }
}

// The same for randomly drawn deployments.
TEST_CASE("where a deployment's machines suffice for its loss budget, the deploy file starts enough") {
  constexpr int shapes = 2000, max_zones = 6, max_machines_per_zone = 5, max_losses = 3;
  std::mt19937 random(43);
  auto draw = [&random](int max) { return 1 + static_cast<int>(random() % static_cast<unsigned>(max)); };
  int feasible = 0;
  for (int shape = 0; shape < shapes; ++shape) {
    std::vector<int> machines(static_cast<std::size_t>(draw(max_zones)));
    for (auto& in_zone : machines) in_zone = draw(max_machines_per_zone);
    loss_budget budget{draw(max_losses), 1};
    if (shortfall_with(machines, budget) != voter_shortfall{}) continue;
    ++feasible;
    INFO("shape " << shape << ", losses " << budget.machines);
    REQUIRE(shortfall_with(started_machines("core", machines), budget) == voter_shortfall{});
    REQUIRE(shortfall_with(started_machines("store", machines), budget) == voter_shortfall{});
  }
  CHECK(feasible > shapes / 4);
}
