// Which requests a process that is shutting down still accepts, and how its waiting requests end.
#include "router/shutdown_admission.h"

#include "request_router_fixture.h"

using namespace herontally;
using namespace herontally::tests;
using router::route_durations;
using router::shutdown_admission;

TEST_CASE("before a shutdown every request is accepted") {
  shutdown_admission admission;
  CHECK(admission.may_accept(100 * second, std::nullopt, 90 * second));
  CHECK(admission.limit_to_shutdown(100 * second) == 100 * second);
  CHECK_FALSE(admission.is_over(1000 * second));
}

// Review case 3 (LOST): after the notice requests were accepted that couldn't finish before the process
// ended.
TEST_CASE("during a shutdown a request is accepted if its deadline comes before the end") {
  shutdown_admission admission;
  admission.begin(10 * second, 17 * second);
  CHECK(admission.may_accept(16 * second, std::nullopt, 12 * second));
  CHECK_FALSE(admission.may_accept(17 * second, std::nullopt, 12 * second));
  CHECK_FALSE(admission.may_accept(20 * second, std::nullopt, 15 * second));
  // Late in the shutdown recent durations don't count.
  CHECK_FALSE(admission.may_accept(20 * second, 50 * millisecond, 15 * second));
}

TEST_CASE("in the first seconds of a shutdown a request is accepted if recent ones were fast enough") {
  shutdown_admission admission;
  admission.begin(10 * second, 17 * second);
  CHECK(admission.may_accept(40 * second, 2 * second, 11 * second));
  CHECK_FALSE(admission.may_accept(40 * second, 12 * second, 11 * second));
  CHECK_FALSE(admission.may_accept(40 * second, std::nullopt, 11 * second));
}

TEST_CASE("after the end of a shutdown nothing is accepted, even in a process that was frozen past the end") {
  shutdown_admission admission;
  admission.begin(10 * second, 17 * second);
  CHECK(admission.is_over(17 * second));
  CHECK_FALSE(admission.may_accept(26 * second, 10 * millisecond, 25 * second));
  // A second notice changes nothing.
  admission.begin(16 * second, 30 * second);
  CHECK(admission.limit_to_shutdown(100 * second) < 17 * second);
}

TEST_CASE("the longest duration of a route is remembered for a while") {
  route_durations durations;
  CHECK_FALSE(durations.recent_max("a", second));
  durations.record("a", 3 * second, 10 * second);
  durations.record("a", second, 11 * second);
  CHECK(durations.recent_max("a", 12 * second) == 3 * second);
  CHECK(durations.recent_max("a", 45 * second) == 3 * second);
  CHECK_FALSE(durations.recent_max("a", 200 * second));
  CHECK_FALSE(durations.recent_max("b", 12 * second));
  durations.retain_routes(routing::table{});
  CHECK_FALSE(durations.recent_max("a", 12 * second));
}

namespace {

// A router that shuts down while a request is in flight; its engine has capacity 1.
struct shutdown_fixture : request_router_fixture {
  explicit shutdown_fixture(std::uint64_t seed) : request_router_fixture(seed) {
    engine("one", "apps");
    listed[0]["capacity"] = 1;
    // Long enough for requests to wait until the end of the shutdown.
    for (auto& route : table.routes) route.latency_target = route.deadline = 30000;
    begin();
  }
  // Begins a shutdown of `length` after `pause`; requests in flight are aborted at its end.
  void schedule_shutdown(runtime::microseconds pause, runtime::microseconds length) {
    auto runtime = stores.world.runtime_of("w");
    runtime.after(pause, [this, runtime, length] {
      node_router->begin_shutdown(runtime.now() + length);
      runtime.after(length, [this] { node_router->abort_requests(); });
    });
  }
  // Sends a request that the engine never answers.
  void occupy_engine() {
    next_behaviours["one"].push_back(behaviour{.silent = true});
    runtime::http_request outgoing;
    outgoing.method = "POST";
    outgoing.path = "/write/first";
    outgoing.headers = {{"host", "h.example"}, {"X-Attempt-Id", "first"}};
    auto work = [](runtime::handle runtime, runtime::http_request outgoing) -> runtime::task<> {
      co_await ask(runtime, std::move(outgoing));
    };
    auto runtime = stores.world.runtime_of("client");
    runtime.spawn(work(runtime, std::move(outgoing)));
    stores.world.run_for(100 * millisecond);
    REQUIRE(received.size() == 1);
  }
};

}  // namespace

// Review case 3 (LOST): the connection of a request that waited for an engine was cut, though nothing had
// run.
TEST_CASE("a request that waits for an engine gets 503 before the process ends") {
  shutdown_fixture fixture(41);
  fixture.occupy_engine();
  auto started_at = fixture.stores.world.now();
  fixture.schedule_shutdown(100 * millisecond, second);
  auto response = fixture.request("POST", "/write/second", "x");
  CHECK(response.complete);
  CHECK(response.status == 503);
  CHECK(fixture.stores.world.now() - started_at < 1100 * millisecond);
  CHECK(fixture.received.size() == 1);
}

TEST_CASE("a request that an engine is processing when the process ends gets 502") {
  shutdown_fixture fixture(42);
  fixture.next_behaviours["one"] = {behaviour{.silent = true}};
  fixture.schedule_shutdown(100 * millisecond, second);
  auto response = fixture.request("POST", "/write/1", "x");
  CHECK(response.complete);
  CHECK(response.status == 502);
}

TEST_CASE("a request that arrives during a shutdown and can't finish in time reaches no engine") {
  shutdown_fixture fixture(43);
  fixture.node_router->begin_shutdown(fixture.stores.world.runtime_of("w").now() + 2 * second);
  auto response = fixture.request("POST", "/write/1", "x");
  CHECK(response.status == 503);
  CHECK(fixture.received.empty());
}

TEST_CASE("a request that arrives during a shutdown and can finish in time is served") {
  shutdown_fixture fixture(44);
  fixture.node_router->begin_shutdown(fixture.stores.world.runtime_of("w").now() + 7 * second);
  auto response = fixture.request("POST", "/write/1", "x");
  INFO(response.body);
  CHECK(response.status == 200);
}
