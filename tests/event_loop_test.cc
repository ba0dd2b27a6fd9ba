// The event loop's work without a delay: its order, its cancelling, and that it leaves the loop its turns.
#include "runtime/event_loop.h"

#include <catch2/catch.hpp>

using namespace herontally;
using runtime::millisecond;

TEST_CASE("work without a delay runs in its order, what it queues behind it") {
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

TEST_CASE("work without a delay that was cancelled doesn't run") {
  runtime::event_loop loop("/tmp");
  auto runtime = loop.runtime();
  bool ran = false;
  auto number = runtime.after(0, [&] { ran = true; });
  runtime.cancel(number);
  runtime.after(5 * millisecond, [&] { loop.stop(); });
  loop.run();
  REQUIRE_FALSE(ran);
}

TEST_CASE("work that queues itself without end leaves timers their turn") {
  runtime::event_loop loop("/tmp");
  auto runtime = loop.runtime();
  std::int64_t turns = 0;
  std::function<void()> again = [&] {
    ++turns;
    runtime.post(again);
  };
  runtime.post(again);
  runtime.after(20 * millisecond, [&] { loop.stop(); });
  loop.run();
  REQUIRE(turns > 1000);
}

TEST_CASE("nothing runs after the loop was stopped") {
  runtime::event_loop loop("/tmp");
  auto runtime = loop.runtime();
  bool ran = false;
  runtime.post([&] { loop.stop(); });
  runtime.post([&] { ran = true; });
  loop.run();
  REQUIRE_FALSE(ran);
}
