// Control nodes with the platform's adapter: founding of the groups from seeds, operators' calls, the engine
// list, replacement of storage nodes.
#include "control_site_fixture.h"

using namespace herontally;
using namespace herontally::tests;

TEST_CASE("three cores found one core group from their seeds and the storage group exactly once") {
  for (std::uint64_t seed : {1, 2, 3, 4}) {
    control_site site(seed);
    site.boot_all();
    CHECK(site.status("c1", "POST", "/-/config/replace", site.table(5), "0") == 200);
    site.world.run_for(8 * second);
    CHECK(site.logged("storage group founded") == 1);
    CHECK(site.count_nodes_that_logged("view installed") == 6);
    for (auto core : {"c1", "c2", "c3"}) CHECK(site.ask(core, "GET", "/-/config/read").body == site.table(5));
  }
}

TEST_CASE("a core that dies during the founding leaves the others with exactly one group") {
  // Each step kills the core at another moment of the founding: the delay after an installed view grows by
  // 150 microseconds a step.
  for (int step = 0; step < 12; ++step) {
    control_site site(20 + static_cast<std::uint64_t>(step));
    site.boot_all();
    REQUIRE(site.world.run_until([&] { return site.logged("view installed") > step % 3; }, 20 * second));
    site.world.run_for(step * 150);
    auto loss = step % 2 ? simulator::disk_loss::none : simulator::disk_loss::unsynced;
    site.world.kill("c1", loss, true);
    site.world.run_for(4 * second);
    // A view that only the dead core has installed can't be told apart from no view: the others wait until it
    // restarts with what it had written. A view that two cores have installed is completed without it.
    bool has_quorum = site.count_nodes_that_logged("view installed") >= 2;
    if (has_quorum) CHECK(site.status("c2", "POST", "/-/config/replace", site.table(5), "0") == 200);
    site.boot_core("c1", step % 4 < 2);
    if (!has_quorum) CHECK(site.status("c2", "POST", "/-/config/replace", site.table(5), "0") == 200);
    site.world.run_for(6 * second);
    CHECK(site.status("c1", "GET", "/-/config/read") == 200);
    CHECK(site.ask("c1", "GET", "/-/config/read").body == site.table(5));
    CHECK(site.logged("storage group founded") == 1);
  }
}

TEST_CASE("cores with empty disks found no group if the settings don't allow founding") {
  control_site site(3);
  for (auto name : {"c1", "c2", "c3"}) site.boot_core(name, false);
  site.world.run_for(15 * second);
  CHECK(site.logged("view installed") == 0);
  CHECK(site.ask("c1", "POST", "/-/config/replace", site.table(5), "0").status == 503);
}

TEST_CASE("no group is founded until all seeds are up, and then founding completes") {
  control_site site(9);
  for (auto name : {"c2", "c3", "s1", "s2", "s3"})
    name[0] == 'c' ? site.boot_core(name) : site.boot_store(name);
  site.world.run_for(5 * second);
  // While a seed is down the cores don't know all founders, and found nothing with a part of them.
  CHECK(site.logged("view installed") == 0);
  site.boot_core("c1");
  CHECK(site.status("c3", "POST", "/-/config/replace", site.table(5), "0") == 200);
}

TEST_CASE("of two concurrent changes based on one version one wins, and the winner's call may be repeated") {
  for (std::uint64_t seed : {5, 6, 7, 8, 9, 10}) {
    control_site site(seed);
    site.boot_all();
    REQUIRE(site.status("c1", "POST", "/-/config/replace", site.table(5), "0") == 200);
    auto one = site.start_call("c1", "POST", "/-/config/replace", site.table(7, "one"), "5");
    auto two = site.start_call("c2", "POST", "/-/config/replace", site.table(8, "two"), "5");
    REQUIRE(site.world.run_until([&] { return one->has_value() && two->has_value(); }, 5 * second));
    auto first_status = site.status("c1", "POST", "/-/config/replace", site.table(7, "one"), "5");
    auto second_status = site.status("c2", "POST", "/-/config/replace", site.table(8, "two"), "5");
    CHECK(std::minmax(first_status, second_status) == std::minmax(200, 412));
    auto expected = first_status == 200 ? site.table(7, "one") : site.table(8, "two");
    CHECK(site.ask("c3", "GET", "/-/config/read").body == expected);
    // The winner's call may be repeated also after a later change.
    auto base = first_status == 200 ? "7" : "8";
    CHECK(site.status("c3", "POST", "/-/config/replace", site.table(20), base) == 200);
    CHECK(site.status("c2", "POST", "/-/config/replace", expected, "5") == 200);
    CHECK(site.ask("c1", "GET", "/-/config/read").body == site.table(20));
  }
}

TEST_CASE("an invalid change is refused and changes nothing") {
  control_site site(11);
  site.boot_all();
  REQUIRE(site.status("c1", "POST", "/-/config/replace", site.table(5), "0") == 200);
  CHECK(site.status("c1", "POST", "/-/config/replace", "{", "5") == 400);
  CHECK(site.status("c1", "POST", "/-/config/replace", site.table(5, "x"), "5") == 400);
  CHECK(site.status("c1", "POST", "/-/config/replace", site.table(9), "") == 400);
  CHECK(site.status("c1", "POST", "/-/config/replace", site.table(9), "4") == 412);
  CHECK(site.ask("c2", "GET", "/-/config/read").body == site.table(5));
  json change{{"generation", 9}, {"remove", {{"routing", json::array({"talk"})}}}};
  CHECK(site.status("c2", "POST", "/-/config/amend", change.dump(), "5") == 200);
  CHECK(site.status("c1", "POST", "/-/config/amend", change.dump(), "5") == 200);
  auto got = json::parse(site.ask("c3", "GET", "/-/config/read").body);
  CHECK(got["generation"] == 9);
  CHECK(got["routing"].empty());
}

TEST_CASE("acknowledged changes survive a power loss of all cores") {
  control_site site(12);
  site.boot_all();
  REQUIRE(site.status("c1", "POST", "/-/config/replace", site.table(5), "0") == 200);
  REQUIRE(site.status("c2", "POST", "/-/evacuation/z1/begin") == 200);
  for (auto name : {"c1", "c2", "c3"}) site.world.kill(name, simulator::disk_loss::unsynced, true);
  for (auto name : {"c1", "c2", "c3"}) site.boot_core(name, false);
  CHECK(site.status("c3", "GET", "/-/config/read") == 200);
  CHECK(site.ask("c3", "GET", "/-/config/read").body == site.table(5));
  CHECK(site.status("c1", "POST", "/-/config/replace", site.table(8), "5") == 200);
  site.world.run_for(5 * second);
  CHECK(site.logged("storage group founded") == 1);
}

TEST_CASE("calls are answered in time while one core is frozen, and without a majority too") {
  control_site site(13);
  site.boot_all();
  REQUIRE(site.status("c1", "POST", "/-/config/replace", site.table(5), "0") == 200);
  site.world.run_for(5 * second);
  site.world.freeze("c1");
  CHECK(site.ask("c2", "POST", "/-/config/replace", site.table(6), "5").status == 200);
  CHECK(site.ask("c3", "POST", "/-/evacuation/z2/begin").status == 200);
  CHECK(site.ask("c3", "GET", "/-/config/read").body == site.table(6));
  site.world.freeze("c2");
  // Without a majority the answer still comes within the callers' timeout, and acknowledges nothing.
  CHECK(site.ask("c3", "POST", "/-/config/replace", site.table(7), "6").status == 503);
}

TEST_CASE("evacuation calls may be repeated, and every zone may be evacuated") {
  control_site site(14);
  site.boot_all();
  for (auto path : {"/-/evacuation/z1/begin", "/-/evacuation/z1/begin", "/-/evacuation/z2/begin",
                    "/-/evacuation/z3/begin", "/-/evacuation/z1/finish", "/-/evacuation/z1/finish"})
    CHECK(site.status("c1", "POST", path) == 200);
  CHECK(site.status("c1", "GET", "/-/config/read") == 404);
}

TEST_CASE("a retiring storage machine is emptied once another one can take its copies") {
  control_site site(15);
  site.boot_all();
  REQUIRE(site.status("c1", "POST", "/-/config/replace", site.table(5), "0") == 200);
  site.world.run_for(8 * second);
  CHECK(site.status("c1", "POST", "/-/retire/s1/begin", "{\"over_s\":10}") == 409);
  CHECK(site.status("c1", "POST", "/-/retire/s9/begin", "{\"over_s\":10}") == 404);
  CHECK(site.status("c1", "GET", "/-/retire/s9/read") == 404);
  site.boot_store("s4");
  site.world.run_for(3 * second);
  // The only spare is frozen and can't take the copies, however soon the move begins.
  site.world.freeze("s4");
  CHECK(site.status("c2", "POST", "/-/retire/s1/begin", "{\"over_s\":10}") == 200);
  CHECK(site.status("c3", "POST", "/-/retire/s1/begin", "{\"over_s\":10}") == 200);
  CHECK(site.ask("c1", "GET", "/-/retire/s1/read").body == "{\"phase\":\"rolling\"}");
  site.world.wake("s4");
  CHECK(site.world.run_until(
      [&] {
        site.world.run_for(500 * millisecond);
        return site.ask("c1", "GET", "/-/retire/s1/read").body == "{\"phase\":\"complete\"}";
      },
      30 * second));
}

TEST_CASE("exactly one core polls the platform's engine list, and a refused poll changes nothing") {
  control_site site(16);
  site.page_two = json::array({{{"id", "i-1"}, {"backend", "chat"}, {"endpoint", "10.9.9.9:80"}}});
  site.boot_all();
  REQUIRE(site.status("c1", "POST", "/-/config/replace", site.table(5), "0") == 200);
  site.world.run_for(3 * second);
  site.list_queries.clear();
  site.world.run_for(10 * second);
  // Two pages every 500 ms, from one core alone.
  CHECK(site.list_queries.size() >= 30);
  CHECK(site.list_queries.size() <= 42);
  CHECK(site.logged("engine list changed") == 1);
  auto page = site.ask("c1", "GET", "/-/config/read");
  CHECK(page.status == 200);
  site.list_status = 429;
  site.world.run_for(3 * second);
  CHECK(site.logged("engine list changed") == 1);
}

TEST_CASE("after all nodes lost power every read of the configuration returns the newest one or fails") {
  control_site site(18);
  site.boot_all();
  REQUIRE(site.status("c1", "POST", "/-/config/replace", site.table(5), "0") == 200);
  REQUIRE(site.status("c2", "POST", "/-/config/replace", site.table(6), "5") == 200);
  for (auto name : {"c1", "c2", "c3", "s1", "s2", "s3"})
    site.world.kill(name, simulator::disk_loss::unsynced);
  site.world.run_for(700 * millisecond);
  for (auto name : {"c1", "c2", "c3"}) site.boot_core(name, false);
  for (auto name : {"s1", "s2", "s3"}) site.boot_store(name);
  int answered = 0;
  for (int round = 0; round < 40; ++round)
    for (auto name : {"c1", "c2", "c3"}) {
      auto page = site.ask(name, "GET", "/-/config/read");
      if (page.status != 200) {
        CHECK((page.status == 0 || page.status >= 500));
        continue;
      }
      ++answered;
      CHECK(json::parse(page.body)["generation"] == 6);
      CHECK(json::parse(page.body) == json::parse(site.table(6)));
      site.world.run_for(30 * millisecond);
    }
  CHECK(answered > 100);
}

TEST_CASE("after a power loss of all cores the engine list is polled as soon as one of them owns the role") {
  control_site site(17);
  site.page_two = json::array({{{"id", "i-1"}, {"backend", "chat"}, {"endpoint", "10.9.9.9:80"}}});
  site.boot_all();
  REQUIRE(site.status("c1", "POST", "/-/config/replace", site.table(5), "0") == 200);
  site.world.run_for(3 * second);
  for (auto name : {"c1", "c2", "c3"}) site.world.kill(name, simulator::disk_loss::unsynced);
  site.world.run_for(500 * millisecond);
  site.logged_events.clear();
  site.list_queries.clear();
  for (auto name : {"c1", "c2", "c3"}) site.boot_core(name, false);
  REQUIRE(site.world.run_until([&] { return site.logged("singleton role claimed") > 0; }, 5 * second));
  REQUIRE(site.world.run_until([&] { return site.logged("engine list changed") > 0; }, 60 * millisecond));
  // At most two pages for each core that owned the role in between.
  site.world.run_for(400 * millisecond);
  CHECK(site.list_queries.size() <= 6);
}

TEST_CASE("a lost storage machine is replaced by a new one within 4.2 s of the new one's start") {
  control_site site(17);
  site.boot_all();
  REQUIRE(site.status("c1", "POST", "/-/config/replace", site.table(5), "0") == 200);
  site.world.run_for(8 * second);
  site.world.kill("s3", simulator::disk_loss::all);
  site.world.run_for(second);
  site.boot_store("s4");
  // The users rely on the new machine 4.2 s after its start.
  site.world.run_for(4200 * millisecond);
  CHECK(site.logged("group of voters moved") == 1);
  // By then it must hold the records, too.
  CHECK(site.logged("voter caught up") == 1);
}

TEST_CASE("a delayed evacuation call to a frozen core does not undo the acknowledged end of the evacuation") {
  control_site site(31);
  site.boot_all();
  REQUIRE(site.status("c1", "POST", "/-/config/replace", site.table(5), "0") == 200);
  // The call waits at a frozen core, on a connection whose close never arrives; meanwhile the operator calls
  // another core.
  site.world.freeze("c3");
  auto delayed = site.start_call("c3", "POST", "/-/evacuation/z1/begin", "", "", 20 * second);
  site.world.run_for(1500 * millisecond);
  REQUIRE(site.status("c1", "POST", "/-/evacuation/z1/begin") == 200);
  REQUIRE(site.status("c1", "POST", "/-/evacuation/z1/finish") == 200);
  site.world.wake("c3");
  site.world.run_for(3 * second);
  CHECK(site.logged("evacuation begun") == 1);
  CHECK(site.logged("evacuation ended") == 1);
}
