// A voter that answers late isn't flooded with contents, and gets them from the others afterwards.
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
  // What waits for it arrives as it wakes: at most what was sent before it was left out.
  site.world.wake("s3");
  site.world.run_for(20 * millisecond);
  int arrived = 0;
  for (int number = 0; number < total; ++number)
    arrived += site.voters["s3"]->content(key_of(number)) ? 1 : 0;
  INFO(arrived << " of " << total << " arrived at once");
  CHECK(arrived < total / 4);
  // The others hand over the rest.
  REQUIRE(site.world.run_until(
      [&] {
        for (int number = 0; number < total; ++number)
          if (!site.voters["s3"]->content(key_of(number))) return false;
        return true;
      },
      20 * second));
}

TEST_CASE("a late voter is asked all the same when the others make no quorum") {
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
