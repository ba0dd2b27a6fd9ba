// Deadlines of requests: answers by the deadline, cancellation when the client disconnects, and the remaining
// time that engines are told.
#include "request_router_fixture.h"

using namespace herontally;
using namespace herontally::tests;

namespace {

// Sends a request and closes the connection after `duration`, whether or not an answer has arrived.
runtime::task<bool> request_then_disconnect(runtime::handle runtime, runtime::http_request request,
                                            runtime::microseconds duration) {
  auto until = runtime.now() + duration;
  runtime::http_stream stream(runtime, "10.0.1.1:80", std::move(request));
  while (runtime.now() < until) co_await stream.next(until - runtime.now());
  co_return true;
}

runtime::http_request request_for(const std::string& method, const std::string& path) {
  runtime::http_request request;
  request.method = method;
  request.path = path;
  request.headers = {{"host", "h.example"}, {"X-Attempt-Id", "left"}, {"X-Time-Left-Ms", "3000"}};
  return request;
}

}  // namespace

TEST_CASE("a request that its engine doesn't answer gets 504 at its route's deadline") {
  request_router_fixture fixture(31);
  fixture.engine("one", "apps");
  fixture.table.routes[1].deadline = 700;
  fixture.begin();
  fixture.next_behaviours["one"] = {behaviour{.silent = true}};
  auto started_at = fixture.stores.world.now();
  auto response = fixture.request("POST", "/write/1", "x");
  CHECK(response.status == 504);
  CHECK(fixture.stores.world.now() - started_at >= 650 * millisecond);
  CHECK(fixture.stores.world.now() - started_at <= 800 * millisecond);
}

TEST_CASE("a turn that can't be stored in time is cut soon after its deadline") {
  request_router_fixture fixture(32);
  fixture.engine("one", "models");
  fixture.table.routes[2].deadline = 800;
  fixture.begin();
  fixture.next_behaviours["one"] = {behaviour{.events = 3, .delay = 600 * millisecond}};
  auto& world = fixture.stores.world;
  // The stores become unreachable before the answer ends.
  world.runtime_of("client").after(300 * millisecond, [&world] {
    for (auto* store : {"s1", "s2", "s3"}) world.find(store).frozen = true;
  });
  auto started_at = world.now();
  auto response = fixture.request("POST", "/turn/1", "x", {{"X-Program", "p"}, {"X-Session", "s"}});
  CHECK_FALSE(response.complete);
  CHECK(world.now() - started_at <= 1050 * millisecond);
}

TEST_CASE("an engine sees at once that the client has disconnected") {
  request_router_fixture fixture(33);
  fixture.engine("one", "apps");
  fixture.begin();
  fixture.next_behaviours["one"] = {behaviour{.silent = true}};
  auto runtime = fixture.stores.world.runtime_of("client");
  fixture.stores.run("client",
                     request_then_disconnect(runtime, request_for("GET", "/fetch/1"), 300 * millisecond));
  auto left = fixture.stores.world.now();
  fixture.stores.world.run_for(second);
  REQUIRE(fixture.disconnected_at.size() == 1);
  CHECK(fixture.disconnected_at[0] - left <= 100 * millisecond);
  // The request is not retried for a client that has disconnected.
  CHECK(fixture.received.size() == 1);
}

TEST_CASE("a request whose client disconnected while it waited reaches no engine") {
  request_router_fixture fixture(34);
  fixture.engine("one", "apps");
  fixture.listed[0]["capacity"] = 1;
  fixture.table.routes[0].latency_target = 10000;
  fixture.begin();
  fixture.next_behaviours["one"] = {behaviour{.delay = 600 * millisecond}};
  auto runtime = fixture.stores.world.runtime_of("client");
  // Occupies the engine, whose capacity is 1, for a while.
  runtime.spawn([](runtime::handle from) -> runtime::task<> {
    co_await request_then_disconnect(from, request_for("GET", "/fetch/first"), second);
  }(runtime));
  fixture.stores.world.run_for(50 * millisecond);
  fixture.stores.run(
      "client", request_then_disconnect(runtime, request_for("GET", "/fetch/second"), 200 * millisecond));
  fixture.stores.world.run_for(2 * second);
  REQUIRE(fixture.received.size() == 1);
  CHECK(fixture.received[0].target == "/fetch/first");
}

TEST_CASE("an engine of a later attempt is told the time that is left then") {
  request_router_fixture fixture(35);
  for (auto* id : {"one", "two"}) fixture.engine(id, "apps");
  fixture.begin();
  fixture.next_behaviours["one"] = fixture.next_behaviours["two"] = {
      behaviour{.status = 500, .sealed = false, .delay = 900 * millisecond}};
  // Without the seal this is no success.
  fixture.next_behaviours["one"][0].status = fixture.next_behaviours["two"][0].status = 200;
  fixture.request("GET", "/fetch/1", "");
  REQUIRE(fixture.received.size() >= 2);
  auto first = std::stoi(fixture.received[0].headers["x-time-left-ms"]);
  auto second = std::stoi(fixture.received[1].headers["x-time-left-ms"]);
  CHECK(first <= 3000);
  CHECK(first > 2900);
  CHECK(second <= first - 900);
}

TEST_CASE("without a time limit from the client the engine is told the route's deadline") {
  request_router_fixture fixture(36);
  fixture.engine("one", "apps");
  fixture.begin();
  auto request = request_for("GET", "/fetch/1");
  request.headers.erase("X-Time-Left-Ms");
  fixture.stores.run("client", fixture.ask(fixture.stores.world.runtime_of("client"), request));
  REQUIRE(fixture.received.size() == 1);
  auto told = std::stoi(fixture.received[0].headers["x-time-left-ms"]);
  CHECK(told <= 4000);
  CHECK(told > 3900);
}

TEST_CASE("a turn is rejected before half of its client's time has passed if the ledger is unreachable") {
  request_router_fixture fixture(37);
  fixture.engine("one", "models");
  fixture.begin();
  auto& world = fixture.stores.world;
  for (auto* store : {"s1", "s2", "s3"}) world.find(store).frozen = true;
  auto request = request_for("POST", "/turn/1");
  request.body = "x";
  request.headers["X-Time-Left-Ms"] = "800";
  request.headers["X-Program"] = "p";
  request.headers["X-Token-Budget"] = "1000";
  request.headers["X-Token-Count"] = "10,100";
  auto started_at = world.now();
  auto response = fixture.stores.run("client", fixture.ask(world.runtime_of("client"), request));
  CHECK(response.status == 503);
  CHECK_FALSE(response.headers["retry-after"].empty());
  CHECK(world.now() - started_at <= 400 * millisecond);
  CHECK(fixture.received.empty());
}
