// Which requests a process that is about to end still takes, and what becomes of those that wait in it.
#include "router/shutdown_admission.h"

#include "request_router_fixture.h"

using namespace herontally;
using namespace herontally::tests;
using router::route_durations;
using router::shutdown_admission;

TEST_CASE("before a shutdown every request is taken") {
  shutdown_admission admission;
  CHECK(admission.may_take(100 * second, std::nullopt, 90 * second));
  CHECK(admission.bounded(100 * second) == 100 * second);
  CHECK_FALSE(admission.is_over(1000 * second));
}

// Guards against review case 3 (LOST): requests taken after a notice that can't end before the process does.
TEST_CASE("during a shutdown a request is taken if its deadline comes before the end") {
  shutdown_admission admission;
  admission.begin(10 * second, 17 * second);
  CHECK(admission.may_take(16 * second, std::nullopt, 12 * second));
  CHECK_FALSE(admission.may_take(17 * second, std::nullopt, 12 * second));
  CHECK_FALSE(admission.may_take(20 * second, std::nullopt, 15 * second));
  // Late: whatever such requests have taken.
  CHECK_FALSE(admission.may_take(20 * second, 50 * millisecond, 15 * second));
}

TEST_CASE("in a shutdown's first seconds what such requests have taken is enough") {
  shutdown_admission admission;
  admission.begin(10 * second, 17 * second);
  CHECK(admission.may_take(40 * second, 2 * second, 11 * second));
  CHECK_FALSE(admission.may_take(40 * second, 12 * second, 11 * second));
  CHECK_FALSE(admission.may_take(40 * second, std::nullopt, 11 * second));
}

TEST_CASE("a shutdown that is over takes nothing, also in a process that was frozen past its end") {
  shutdown_admission admission;
  admission.begin(10 * second, 17 * second);
  CHECK(admission.is_over(17 * second));
  CHECK_FALSE(admission.may_take(26 * second, 10 * millisecond, 25 * second));
  // A second notice moves nothing.
  admission.begin(16 * second, 30 * second);
  CHECK(admission.bounded(100 * second) < 17 * second);
}

TEST_CASE("the longest duration of a route is remembered for a while") {
  route_durations durations;
  CHECK_FALSE(durations.longest("a", second));
  durations.note("a", 3 * second, 10 * second);
  durations.note("a", second, 11 * second);
  CHECK(durations.longest("a", 12 * second) == 3 * second);
  CHECK(durations.longest("a", 45 * second) == 3 * second);
  CHECK_FALSE(durations.longest("a", 200 * second));
  CHECK_FALSE(durations.longest("b", 12 * second));
  durations.keep_routes_of(routing::table{});
  CHECK_FALSE(durations.longest("a", 12 * second));
}

namespace {

// A router that is told to end while a request is under way; engines of capacity 1.
struct ending_router : request_router_fixture {
  explicit ending_router(std::uint64_t seed) : request_router_fixture(seed) {
    engine("one", "apps");
    listed[0]["capacity"] = 1;
    // Long enough to wait until the end.
    for (auto& route : table.routes) route.latency_target = route.deadline = 30000;
    begin();
  }
  // Begins the shutdown after `pause`; what is under way is given up at its end.
  void end_soon(runtime::microseconds pause, runtime::microseconds length) {
    auto runtime = stores.world.runtime_of("w");
    runtime.after(pause, [this, runtime, length] {
      node_router->begin_shutdown(runtime.now() + length);
      runtime.after(length, [this] { node_router->give_up_requests(); });
    });
  }
  // Sends a request that its engine works on without an end.
  void occupy_engine() {
    next["one"].push_back(behaviour{.silent = true});
    runtime::http_request asked;
    asked.method = "POST";
    asked.path = "/write/first";
    asked.headers = {{"host", "h.example"}, {"X-Attempt-Id", "first"}};
    auto work = [](runtime::handle runtime, runtime::http_request asked) -> runtime::task<> {
      co_await ask(runtime, std::move(asked));
    };
    auto runtime = stores.world.runtime_of("client");
    runtime.spawn(work(runtime, std::move(asked)));
    stores.world.run_for(100 * millisecond);
    REQUIRE(seen.size() == 1);
  }
};

}  // namespace

// Guards against review case 3 (LOST): a request that waits for an engine is cut, though nothing has run.
TEST_CASE("a request that waits for an engine is answered 503 before its process ends") {
  ending_router here(41);
  here.occupy_engine();
  auto begun = here.stores.world.now();
  here.end_soon(100 * millisecond, second);
  auto got = here.request("POST", "/write/second", "x");
  CHECK(got.whole);
  CHECK(got.status == 503);
  CHECK(here.stores.world.now() - begun < 1100 * millisecond);
  CHECK(here.seen.size() == 1);
}

TEST_CASE("a request that an engine works on at the end of its process is answered 502") {
  ending_router here(42);
  here.next["one"] = {behaviour{.silent = true}};
  here.end_soon(100 * millisecond, second);
  auto got = here.request("POST", "/write/1", "x");
  CHECK(got.whole);
  CHECK(got.status == 502);
}

TEST_CASE("a request that comes during a shutdown and can't end in time reaches no engine") {
  ending_router here(43);
  here.node_router->begin_shutdown(here.stores.world.runtime_of("w").now() + 2 * second);
  auto got = here.request("POST", "/write/1", "x");
  CHECK(got.status == 503);
  CHECK(here.seen.empty());
}

TEST_CASE("a request that comes during a shutdown and can end in time is served") {
  ending_router here(44);
  here.node_router->begin_shutdown(here.stores.world.runtime_of("w").now() + 7 * second);
  auto got = here.request("POST", "/write/1", "x");
  INFO(got.body);
  CHECK(got.status == 200);
}
