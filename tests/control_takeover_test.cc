// A core owns the voter groups role, freezes, and becomes the owner again after another core has acted as
// owner meanwhile. Guards against losses that aren't repaired because the group refuses the epoch of the old
// claim.
#include "control_site_fixture.h"

using namespace herontally;
using namespace herontally::tests;

namespace {

// Until the membership has declared the silent node dead, another core owns the role and has finished its
// moves.
constexpr auto takeover_time = 8 * second;
// A lost voter is replaced within this time while the role has an owner.
constexpr auto replacement_time = 6 * second;

// Freezes the owner, so that it comes back with its memory, and runs `work` meanwhile.
void freeze_owner_during(control_site& site, const std::function<void()>& work) {
  site.world.freeze("c1");
  work();
  site.world.run_for(takeover_time);
  site.world.wake("c1");
  site.world.run_for(4 * second);
}

}  // namespace

TEST_CASE("a lost storage machine is replaced after another core has acted as owner") {
  for (std::uint64_t seed : {51, 52, 53}) {
    control_site site(seed);
    site.boot_all();
    site.boot_store("s4");
    REQUIRE(site.status("c1", "POST", "/-/config/replace", site.table(5), "0") == 200);
    site.world.run_for(6 * second);
    freeze_owner_during(site, [&site] { site.world.kill("s3", simulator::disk_loss::all, true); });
    int moved = site.logged("group of voters moved");
    REQUIRE(moved > 0);
    site.boot_store("s3");
    site.world.run_for(2 * second);
    site.world.kill("s2", simulator::disk_loss::all, true);
    site.world.run_for(replacement_time);
    INFO("seed " << seed);
    CHECK(site.logged("group of voters moved") > moved);
  }
}

TEST_CASE("two core losses one after the other are tolerated after another core has acted as owner") {
  for (std::uint64_t seed : {61, 62, 63}) {
    control_site site(seed);
    site.boot_all();
    site.boot_core("c4", false);
    REQUIRE(site.status("c1", "POST", "/-/config/replace", site.table(5), "0") == 200);
    site.world.run_for(6 * second);
    // c4 replaces the frozen owner among the voters.
    freeze_owner_during(site, [] {});
    REQUIRE(site.count_nodes_that_logged("group of voters moved") > 0);
    site.world.kill("c3", simulator::disk_loss::all, true);
    site.world.run_for(replacement_time);
    site.world.kill("c2", simulator::disk_loss::all, true);
    INFO("seed " << seed);
    CHECK(site.status("c4", "GET", "/-/config/read") == 200);
    CHECK(site.ask("c4", "GET", "/-/config/read").body == site.table(5));
  }
}
