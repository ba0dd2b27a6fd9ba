// First starts that are interrupted before the first view: the claim to found the core group outlives a
// restart, and only the seeds of the first start hold it.
#include <algorithm>

#include "control_site_fixture.h"
#include "simulator/world.h"

using namespace herontally;
using runtime::millisecond;
using runtime::second;
using tests::control_site;

namespace {

const std::vector<std::string> seeds{"c1", "c2", "c3"};

void kill_seeds(control_site& site, simulator::disk_loss loss) {
  for (auto& name : seeds) site.world.kill(name, loss, true);
}

void restart_seeds_without_genesis(control_site& site) {
  for (auto& name : seeds) site.boot_core(name, false);
}

const replication::voter& voter_of(control_site& site, const std::string& name) {
  return std::any_cast<std::shared_ptr<control_node::node>&>(site.world.find(name).node)->voter();
}

}  // namespace

TEST_CASE("FAULT: seeds that all end before the first view found the group after a restart") {
  // Each step kills the seeds at another moment between their first write and the first configuration.
  for (int step = 0; step < 24; ++step) {
    control_site site(400 + static_cast<std::uint64_t>(step));
    site.boot_all();
    site.world.run_for(10 * millisecond + step * 11 * millisecond);
    kill_seeds(site, step % 2 ? simulator::disk_loss::none : simulator::disk_loss::unsynced);
    site.world.run_for(500 * millisecond);
    restart_seeds_without_genesis(site);
    INFO("step " << step);
    REQUIRE(site.status("c2", "POST", "/-/config/replace", site.table(5), "0") == 200);
    site.world.run_for(6 * second);
    REQUIRE(site.ask("c1", "GET", "/-/config/read").body == site.table(5));
    REQUIRE(site.logged("storage group founded") == 1);
  }
}

TEST_CASE("FAULT: seeds that restart one after the other before the first view found the group") {
  for (int step = 0; step < 12; ++step) {
    control_site site(430 + static_cast<std::uint64_t>(step));
    // While the third seed is down, none can found the group.
    for (auto name : {"c1", "c2", "s1", "s2", "s3"})
      name[0] == 'c' ? site.boot_core(name) : site.boot_store(name);
    site.world.run_for(second);
    for (auto name : {"c1", "c2"}) {
      site.world.kill(name, simulator::disk_loss::none, true);
      site.world.run_for(step * 40 * millisecond);
      site.boot_core(name, false);
    }
    site.boot_core("c3");
    INFO("step " << step);
    REQUIRE(site.status("c3", "POST", "/-/config/replace", site.table(5), "0") == 200);
  }
}

TEST_CASE("seeds whose settings list them in different orders found one group, also after a restart") {
  for (int step = 0; step < 6; ++step) {
    control_site site(440 + static_cast<std::uint64_t>(step));
    site.seeds_in_own_order = true;
    site.boot_all();
    site.world.run_for(10 * millisecond + step * 30 * millisecond);
    kill_seeds(site, simulator::disk_loss::none);
    restart_seeds_without_genesis(site);
    INFO("step " << step);
    REQUIRE(site.status("c3", "POST", "/-/config/replace", site.table(5), "0") == 200);
    site.world.run_for(6 * second);
    for (auto& name : seeds) REQUIRE(site.ask(name, "GET", "/-/config/read").body == site.table(5));
  }
}

TEST_CASE(
    "FAULT: a seed that ends before its identity is on disk doesn't keep the others from founding the "
    "group") {
  for (auto name : seeds) {
    control_site site(450);
    site.boot_all();
    site.world.run_for(10 * millisecond);
    kill_seeds(site, simulator::disk_loss::none);
    site.world.find(name).disk.files.clear();
    restart_seeds_without_genesis(site);
    site.world.run_for(10 * second);
    INFO("seed " << name);
    REQUIRE(site.status("c1", "POST", "/-/config/replace", site.table(5), "0") == 200);
    CHECK(site.logged("core group founded") >= 1);
    CHECK(site.logged("storage group founded") == 1);
    for (auto& each : seeds) CHECK(site.ask(each, "GET", "/-/config/read").body == site.table(5));
  }
}

TEST_CASE(
    "FAULT: founding without the claim of one seed is completed when it was interrupted by an end of all "
    "seeds") {
  for (int installed = 1; installed <= 2; ++installed) {
    control_site site(460 + static_cast<std::uint64_t>(installed));
    site.boot_all();
    site.world.run_for(10 * millisecond);
    kill_seeds(site, simulator::disk_loss::none);
    site.world.find("c3").disk.files.clear();
    restart_seeds_without_genesis(site);
    REQUIRE(site.world.run_until([&] { return site.logged("view installed") >= installed; }, 20 * second));
    kill_seeds(site, simulator::disk_loss::none);
    restart_seeds_without_genesis(site);
    INFO("installed at " << installed);
    REQUIRE(site.status("c1", "POST", "/-/config/replace", site.table(5), "0") == 200);
  }
}

TEST_CASE("a single seed with a claim doesn't found a group beside seeds without one, and the log says why") {
  control_site site(451);
  site.boot_all();
  site.world.run_for(10 * millisecond);
  kill_seeds(site, simulator::disk_loss::none);
  for (auto name : {"c2", "c3"}) site.world.find(name).disk.files.clear();
  restart_seeds_without_genesis(site);
  site.world.run_for(20 * second);
  CHECK(site.logged("view installed") == 0);
  CHECK(site.logged("founding the core group failed; retrying") > 0);
  CHECK(site.logged("no core group is known") > 0);
  CHECK(site.ask("c1", "POST", "/-/config/replace", site.table(5), "0").status == 503);
}

TEST_CASE("seeds with a claim don't found a second group once one was founded without them") {
  int acknowledged = 0;
  for (int step = 0; step < 24; ++step) {
    control_site site(600 + static_cast<std::uint64_t>(step));
    site.boot_all();
    // One seed may end before it has the first view, and another one loses its disk after a change.
    site.world.run_for(60 * millisecond + step * 10 * millisecond);
    site.world.kill("c2", simulator::disk_loss::unsynced, true);
    bool changed = site.status("c1", "POST", "/-/config/replace", site.table(5), "0") == 200;
    acknowledged += changed ? 1 : 0;
    site.world.kill("c3", simulator::disk_loss::none, true);
    site.world.find("c3").disk.files.clear();
    site.boot_core("c2", false);
    site.boot_core("c3", false);
    site.world.run_for(15 * second);
    INFO("step " << step);
    if (!changed) continue;
    for (auto& name : seeds) {
      auto read = site.ask(name, "GET", "/-/config/read");
      CHECK((read.status == 503 || read.body == site.table(5)));
      CHECK(site.ask(name, "POST", "/-/config/replace", site.table(6), "0").status != 200);
    }
  }
  CHECK(acknowledged > 0);
}

TEST_CASE("FAULT: seeds that are told to end during their first start store their claim before") {
  for (int step = 0; step < 12; ++step) {
    control_site site(640 + static_cast<std::uint64_t>(step));
    for (auto& name : seeds) {
      site.boot_core(name);
      site.world.run_for(step * millisecond / 2);
      auto node = std::any_cast<std::shared_ptr<control_node::node>&>(site.world.find(name).node);
      bool left = false;
      auto leave = [](std::shared_ptr<control_node::node> leaving, bool* out) -> runtime::task<> {
        co_await leaving->leave();
        *out = true;
      };
      site.world.runtime_of(name).spawn(leave(node, &left));
      REQUIRE(site.world.run_until([&] { return left; }, 8 * second));
      node.reset();
      site.world.kill(name, simulator::disk_loss::none, true);
    }
    restart_seeds_without_genesis(site);
    for (auto name : {"s1", "s2", "s3"}) site.boot_store(name);
    INFO("step " << step);
    REQUIRE(site.status("c2", "POST", "/-/config/replace", site.table(5), "0") == 200);
  }
}

TEST_CASE("a core that isn't a seed of the first start has no claim, also if it becomes a seed later") {
  control_site site(460);
  site.boot_all();
  site.boot_core("c4");
  REQUIRE(site.status("c1", "POST", "/-/config/replace", site.table(5), "0") == 200);
  CHECK(voter_of(site, "c1").claim().seeds.size() == seeds.size());
  CHECK(voter_of(site, "c4").claim().seeds.empty());
}

TEST_CASE("a voter that a view leaves out loses its claim with its records") {
  simulator::world world(470);
  world.machine("a", "z");
  world.boot("a");
  logging::logger logger("a", [](auto&, auto&) {});
  rpc::endpoint endpoint(world.runtime_of("a"), "a", logger);
  replication::voter_options options;
  options.group = "core";
  options.bucket_count = 1;
  replication::voter voter(endpoint, options);
  bool done = false;
  auto run = [](replication::voter* self, bool* out) -> runtime::task<> {
    replication::founding_claim claim;
    claim.seeds.push_back("10.0.0.1:7000");
    self->offer_claim(claim);
    co_await self->open_when_possible();
    REQUIRE(self->claim().seeds.size() == 1);
    consensus::view first;
    first.group = "core";
    first.number = 1;
    consensus::voter_info own;
    own.id = self->id();
    first.voters.push_back(own);
    bool installed = co_await self->install(first);
    REQUIRE(installed);
    consensus::view second = first;
    second.number = 2;
    second.voters[0].id = "another";
    bool wiped = co_await self->install(second);
    REQUIRE(wiped);
    REQUIRE(self->claim().seeds.empty());
    *out = true;
  };
  world.runtime_of("a").spawn(run(&voter, &done));
  REQUIRE(world.run_until([&] { return done; }, 5 * second));
}

TEST_CASE("FAULT: cores and stores whose disks can't be used at their start wait for them") {
  control_site site(480);
  for (auto name : {"c1", "s1"}) {
    site.world.machine(name, std::string("z") + name[1]);
    site.world.find(name).disk.failing = true;
  }
  site.boot_all();
  site.world.run_for(3 * second);
  CHECK(site.logged("opening the data folder failed; retrying") >= 2);
  for (auto name : {"c1", "s1"}) site.world.find(name).disk.failing = false;
  CHECK(site.status("c1", "POST", "/-/config/replace", site.table(5), "0") == 200);
  site.world.run_for(8 * second);
  CHECK(site.logged("opening the data folder succeeded after retries") == 2);
  CHECK(site.count_nodes_that_logged("view installed") == 6);
}
