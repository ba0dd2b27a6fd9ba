// Flow control for contents: a voter that replies late isn't flooded, and gets what it missed by repair.
#include "replica_group_fixture.h"

using namespace herontally;
using namespace herontally::tests;
using runtime::millisecond;

static std::string key_of(int number) { return "turn/" + std::to_string(number); }

TEST_CASE("a frozen voter is sent a bounded amount of contents and catches up by repair") {
  group site(51);
  auto writer = site.begin();
  const std::string body = "{}\n" + std::string(8 << 10, 'b');
  constexpr int total = 400;
  site.world.freeze("s3");
  for (int number = 0; number < total; ++number)
    REQUIRE(site.run("w", writer.put_content(key_of(number), body, site.deadline("w", second), false)));
  // The queued messages arrive when it wakes: only those that were sent before its send window was full.
  site.world.wake("s3");
  site.world.run_for(20 * millisecond);
  int arrived = 0;
  for (int number = 0; number < total; ++number)
    arrived += site.voters["s3"]->content(key_of(number)) ? 1 : 0;
  INFO(arrived << " of " << total << " arrived at once");
  CHECK(arrived < total / 4);
  // Repair by the other voters brings the rest.
  REQUIRE(site.world.run_until(
      [&] {
        for (int number = 0; number < total; ++number)
          if (!site.voters["s3"]->content(key_of(number))) return false;
        return true;
      },
      20 * second));
}

TEST_CASE("a voter with a full send window is still asked when the others make no quorum") {
  group site(52);
  auto writer = site.begin();
  const std::string body = "{}\n" + std::string(8 << 10, 'b');
  site.world.freeze("s3");
  for (int number = 0; number < 40; ++number)
    REQUIRE(site.run("w", writer.put_content(key_of(number), body, site.deadline("w", second), false)));
  site.world.kill("s2", simulator::disk_loss::none);
  site.world.wake("s3");
  REQUIRE(site.run("w", writer.put_content("turn/last", body, site.deadline("w", 2 * second), false)));
}
