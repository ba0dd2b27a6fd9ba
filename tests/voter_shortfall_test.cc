// A group that can't bear the losses that it should says so: in the log and by its gauges.
#include "control_site_fixture.h"

using namespace herontally;
using namespace herontally::tests;

namespace {

constexpr auto* too_small = "a group of voters can't bear all losses that it should";
constexpr auto* large_enough = "a group of voters can bear all losses that it should";
constexpr auto* unreplaced = "voters are lost and no spare has taken their place";

}  // namespace

// Guards against review case 1 (CONFIG): a group of three whose deployment counts on five.
TEST_CASE("a group that is founded with fewer voters than its budget asks for is told of at once") {
  control_site site(71);
  site.machine_losses = 2;
  site.boot_all();
  REQUIRE(site.world.run_until([&site] { return site.logged("core group founded") > 0; }, 10 * second));
  site.world.run_for(second);
  CHECK(site.logged(too_small) > 0);
  CHECK(site.largest_gauge("herontally_voters_needed{group=\"core\"}") == 5);
  CHECK(site.largest_gauge("herontally_voters_lacking{group=\"core\"}") == 2);
  site.boot_core("c4", false);
  site.boot_core("c5", false);
  auto lacking = [&site] { return site.largest_gauge("herontally_voters_lacking{group=\"core\"}"); };
  CHECK(site.world.run_until([&lacking] { return lacking() == 0; }, 15 * second));
  CHECK(site.logged(large_enough) > 0);
}

TEST_CASE("a lost voter that no spare replaces is told of until one does") {
  control_site site(72);
  site.boot_all();
  REQUIRE(site.status("c1", "POST", "/-/config/replace", site.table(5), "0") == 200);
  REQUIRE(site.world.run_until([&site] { return site.logged("storage group founded") > 0; }, 10 * second));
  site.world.run_for(2 * second);
  site.world.kill("s3", simulator::disk_loss::all, true);
  auto lost = [&site] { return site.largest_gauge("herontally_voters_lost{group=\"store\"}"); };
  CHECK(site.world.run_until([&lost] { return lost() == 1; }, 12 * second));
  CHECK(site.logged(unreplaced) > 0);
  site.boot_store("s4");
  CHECK(site.world.run_until([&lost] { return lost() == 0; }, 12 * second));
}
