// Tests callbacks without a delay: their order and cancellation, and that they don't starve timers.
#include "runtime/event_loop.h"

#include <catch2/catch.hpp>

using namespace herontally;
using runtime::millisecond;

TEST_CASE("callbacks without a delay run in the order of posting, including those posted by callbacks") {
  runtime::event_loop loop("/tmp");
  auto runtime = loop.runtime();
  std::string order;
  runtime.post([&] {
    order += "a";
    runtime.post([&] { order += "c"; });
  });
  runtime.post([&] { order += "b"; });
  runtime.after(5 * millisecond, [&] {
    order += "d";
    loop.stop();
  });
  loop.run();
  REQUIRE(order == "abcd");
}

TEST_CASE("a cancelled callback without a delay doesn't run") {
  runtime::event_loop loop("/tmp");
  auto runtime = loop.runtime();
  bool ran = false;
  auto id = runtime.after(0, [&] { ran = true; });
  runtime.cancel(id);
  runtime.after(5 * millisecond, [&] { loop.stop(); });
  loop.run();
  REQUIRE_FALSE(ran);
}

TEST_CASE("a callback that reposts itself forever doesn't starve timers") {
  runtime::event_loop loop("/tmp");
  auto runtime = loop.runtime();
  std::int64_t runs = 0;
  std::function<void()> repost = [&] {
    ++runs;
    runtime.post(repost);
  };
  runtime.post(repost);
  runtime.after(20 * millisecond, [&] { loop.stop(); });
  loop.run();
  REQUIRE(runs > 1000);
}

TEST_CASE("no callback runs after the loop is stopped") {
  runtime::event_loop loop("/tmp");
  auto runtime = loop.runtime();
  bool ran = false;
  runtime.post([&] { loop.stop(); });
  runtime.post([&] { ran = true; });
  loop.run();
  REQUIRE_FALSE(ran);
}
