// A group that can't tolerate the losses of its budget is reported, in the log and in gauges.
#include "control_site_fixture.h"

using namespace herontally;
using namespace herontally::tests;

namespace {

constexpr auto* cannot_bear_losses = "a group of voters can't bear all losses that it should";
constexpr auto* can_bear_losses = "a group of voters can bear all losses that it should";
constexpr auto* voters_lost = "voters are lost and no spare has taken their place";

}  // namespace

// Guards against review case 1 (CONFIG): a group that has three voters, unreported, in a deployment whose
// loss budget takes five.
TEST_CASE("a group that starts with fewer voters than its loss budget takes is reported at once") {
  control_site site(71);
  site.machine_losses = 2;
  site.boot_all();
  REQUIRE(site.world.run_until([&site] { return site.logged("core group founded") > 0; }, 10 * second));
  site.world.run_for(second);
  CHECK(site.logged(cannot_bear_losses) > 0);
  CHECK(site.largest_gauge("herontally_voters_needed{group=\"core\"}") == 5);
  CHECK(site.largest_gauge("herontally_voters_lacking{group=\"core\"}") == 2);
  site.boot_core("c4", false);
  site.boot_core("c5", false);
  auto lacking = [&site] { return site.largest_gauge("herontally_voters_lacking{group=\"core\"}"); };
  CHECK(site.world.run_until([&lacking] { return lacking() == 0; }, 15 * second));
  CHECK(site.logged(can_bear_losses) > 0);
}

TEST_CASE("a lost voter is reported until a spare replaces it") {
  control_site site(72);
  site.boot_all();
  REQUIRE(site.status("c1", "POST", "/-/config/replace", site.table(5), "0") == 200);
  REQUIRE(site.world.run_until([&site] { return site.logged("storage group founded") > 0; }, 10 * second));
  site.world.run_for(2 * second);
  site.world.kill("s3", simulator::disk_loss::all, true);
  auto lost = [&site] { return site.largest_gauge("herontally_voters_lost{group=\"store\"}"); };
  CHECK(site.world.run_until([&lost] { return lost() == 1; }, 12 * second));
  CHECK(site.logged(voters_lost) > 0);
  site.boot_store("s4");
  CHECK(site.world.run_until([&lost] { return lost() == 0; }, 12 * second));
}
