// What a request is owed in time: answers by its deadline, no work for clients that have left, and engines
// that are told how much time is left.
#include "request_router_fixture.h"

using namespace herontally;
using namespace herontally::tests;

namespace {

// Asks and closes the connection after a while, whatever has come by then.
runtime::task<bool> ask_and_leave(runtime::handle runtime, runtime::http_request request,
                                  runtime::microseconds stay) {
  auto until = runtime.now() + stay;
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

TEST_CASE("a request that its engine doesn't answer is answered at its route's deadline") {
  request_router_fixture here(31);
  here.engine("one", "apps");
  here.table.routes[1].deadline = 700;
  here.begin();
  here.next["one"] = {behaviour{.silent = true}};
  auto begun = here.stores.world.now();
  auto got = here.request("POST", "/write/1", "x");
  CHECK(got.status == 504);
  CHECK(here.stores.world.now() - begun >= 650 * millisecond);
  CHECK(here.stores.world.now() - begun <= 800 * millisecond);
}

TEST_CASE("a turn whose keeping is late ends soon after its deadline, and not as a whole one") {
  request_router_fixture here(32);
  here.engine("one", "models");
  here.table.routes[2].deadline = 800;
  here.begin();
  here.next["one"] = {behaviour{.events = 3, .delay = 600 * millisecond}};
  auto& world = here.stores.world;
  // Before the end of the answer the stores are out of reach.
  world.runtime_of("client").after(300 * millisecond, [&world] {
    for (auto* store : {"s1", "s2", "s3"}) world.find(store).frozen = true;
  });
  auto begun = world.now();
  auto got = here.request("POST", "/turn/1", "x", {{"X-Program", "p"}, {"X-Session", "s"}});
  CHECK_FALSE(got.whole);
  CHECK(world.now() - begun <= 1050 * millisecond);
}

TEST_CASE("an engine is told at once that a client has left") {
  request_router_fixture here(33);
  here.engine("one", "apps");
  here.begin();
  here.next["one"] = {behaviour{.silent = true}};
  auto runtime = here.stores.world.runtime_of("client");
  here.stores.run("client", ask_and_leave(runtime, request_for("GET", "/fetch/1"), 300 * millisecond));
  auto left = here.stores.world.now();
  here.stores.world.run_for(second);
  REQUIRE(here.gone_at.size() == 1);
  CHECK(here.gone_at[0] - left <= 100 * millisecond);
  // Nobody is left for whom it could be tried elsewhere.
  CHECK(here.seen.size() == 1);
}

TEST_CASE("a request whose client left while it waited reaches no engine") {
  request_router_fixture here(34);
  here.engine("one", "apps");
  here.listed[0]["capacity"] = 1;
  here.table.routes[0].latency_target = 10000;
  here.begin();
  here.next["one"] = {behaviour{.delay = 600 * millisecond}};
  auto runtime = here.stores.world.runtime_of("client");
  // Takes the engine's only place for a while.
  runtime.spawn([](runtime::handle from) -> runtime::task<> {
    co_await ask_and_leave(from, request_for("GET", "/fetch/first"), second);
  }(runtime));
  here.stores.world.run_for(50 * millisecond);
  here.stores.run("client", ask_and_leave(runtime, request_for("GET", "/fetch/second"), 200 * millisecond));
  here.stores.world.run_for(2 * second);
  REQUIRE(here.seen.size() == 1);
  CHECK(here.seen[0].target == "/fetch/first");
}

TEST_CASE("an engine that is tried later is told the time that is left then") {
  request_router_fixture here(35);
  for (auto* id : {"one", "two"}) here.engine(id, "apps");
  here.begin();
  here.next["one"] =
      here.next["two"] = {behaviour{.status = 500, .sealed = false, .delay = 900 * millisecond}};
  here.next["one"][0].status = here.next["two"][0].status = 200;  // without its stamp: no success
  here.request("GET", "/fetch/1", "");
  REQUIRE(here.seen.size() >= 2);
  auto first = std::stoi(here.seen[0].headers["x-time-left-ms"]);
  auto second = std::stoi(here.seen[1].headers["x-time-left-ms"]);
  CHECK(first <= 3000);
  CHECK(first > 2900);
  CHECK(second <= first - 900);
}

TEST_CASE("without a time of the client's an engine is told its route's") {
  request_router_fixture here(36);
  here.engine("one", "apps");
  here.begin();
  auto request = request_for("GET", "/fetch/1");
  request.headers.erase("X-Time-Left-Ms");
  here.stores.run("client", here.ask(here.stores.world.runtime_of("client"), request));
  REQUIRE(here.seen.size() == 1);
  auto told = std::stoi(here.seen[0].headers["x-time-left-ms"]);
  CHECK(told <= 4000);
  CHECK(told > 3900);
}

TEST_CASE("a turn whose ledger is out of reach is refused before half of its client's time is over") {
  request_router_fixture here(37);
  here.engine("one", "models");
  here.begin();
  auto& world = here.stores.world;
  for (auto* store : {"s1", "s2", "s3"}) world.find(store).frozen = true;
  auto request = request_for("POST", "/turn/1");
  request.body = "x";
  request.headers["X-Time-Left-Ms"] = "800";
  request.headers["X-Program"] = "p";
  request.headers["X-Token-Budget"] = "1000";
  request.headers["X-Token-Count"] = "10,100";
  auto begun = world.now();
  auto got = here.stores.run("client", here.ask(world.runtime_of("client"), request));
  CHECK(got.status == 503);
  CHECK_FALSE(got.headers["retry-after"].empty());
  CHECK(world.now() - begun <= 400 * millisecond);
  CHECK(here.seen.empty());
}
