// Requests through the router: forwarding, retries, kept turns, budgets, and the responses that clients get.
#include "request_router_fixture.h"

using namespace herontally;
using namespace herontally::tests;

TEST_CASE("a request and its answer are forwarded unchanged") {
  request_router_fixture fixture(11);
  fixture.engine("one", "apps");
  fixture.begin();
  auto response = fixture.request("POST", "/write/x%20y?q=1&r=%2F", "a body",
                                  {{"X-Other", "kept"}, {"Connection", "X-Hop"}, {"X-Hop", "dropped"}});
  CHECK(response.status == 200);
  CHECK(response.body == "body of one");
  CHECK(response.headers["x-server-seal"] == "seal");
  REQUIRE(fixture.received.size() == 1);
  CHECK(fixture.received[0].method == "POST");
  CHECK(fixture.received[0].target == "/write/x%20y?q=1&r=%2F");
  CHECK(fixture.received[0].body == "a body");
  CHECK(fixture.received[0].headers["x-other"] == "kept");
  CHECK_FALSE(fixture.received[0].headers.count("x-hop"));
  CHECK(fixture.received[0].headers["host"] == "h.example");
  CHECK(fixture.received[0].headers["x-target-instance"] == "one");
  CHECK(std::stoi(fixture.received[0].headers["x-time-left-ms"]) <= 3000);
}

TEST_CASE(
    "a request without a matching route gets 404, and one before the first configuration gets Retry-After") {
  request_router_fixture fixture(12);
  auto early = fixture.request("GET", "/fetch/1", "");
  CHECK(early.status == 503);
  CHECK_FALSE(early.headers["retry-after"].empty());
  fixture.engine("one", "apps");
  fixture.begin();
  CHECK(fixture.request("GET", "/nowhere/1", "").status == 404);
  CHECK(fixture.request("GET", "/fetch", "").status == 404);
  CHECK(fixture.received.empty());
}

TEST_CASE("a mutating request is sent once, and gets 502 if its answer is lost") {
  request_router_fixture fixture(13);
  fixture.engine("one", "apps");
  fixture.engine("two", "apps");
  fixture.begin();
  fixture.next_behaviours["one"] = fixture.next_behaviours["two"] = {behaviour{.lost = true}};
  auto response = fixture.request("POST", "/write/1", "x");
  CHECK(response.status == 502);
  CHECK(fixture.received.size() == 1);
}

TEST_CASE("an idempotent request is retried at other engines, as often as its route allows") {
  request_router_fixture fixture(14);
  for (auto* id : {"one", "two", "three", "four"}) fixture.engine(id, "apps");
  fixture.begin();
  for (auto* id : {"one", "two", "three", "four"}) fixture.next_behaviours[id] = {behaviour{.lost = true}};
  CHECK(fixture.request("GET", "/fetch/1", "").status == 502);
  CHECK(fixture.received.size() == 3);
  std::set<std::string> engines;
  for (auto& each : fixture.received) engines.insert(each.engine);
  CHECK(engines.size() == 3);
}

TEST_CASE("a 503 is passed on only if the engine states that it did not run the request") {
  request_router_fixture fixture(15);
  fixture.engine("one", "apps");
  fixture.begin();
  fixture.next_behaviours["one"] = {behaviour{.status = 503, .not_run = true}};
  auto response = fixture.request("POST", "/write/1", "x");
  CHECK(response.status == 503);
  CHECK_FALSE(response.headers["retry-after"].empty());
  fixture.next_behaviours["one"] = {behaviour{.status = 503}};
  CHECK(fixture.request("POST", "/write/1", "x").status == 502);
  fixture.next_behaviours["one"] = {behaviour{.status = 500}};
  CHECK(fixture.request("POST", "/write/1", "x").status == 500);
}

TEST_CASE("a success without the engine's seal gets 502") {
  request_router_fixture fixture(16);
  fixture.engine("one", "apps");
  fixture.begin();
  fixture.next_behaviours["one"] = {behaviour{.sealed = false}};
  CHECK(fixture.request("POST", "/write/1", "x").status == 502);
}

TEST_CASE(
    "an answer of another instance at the address is detected, and the request goes to another engine") {
  request_router_fixture fixture(17);
  fixture.engine("one", "apps");
  fixture.engine("two", "apps");
  fixture.begin();
  behaviour other{.status = 421};
  other.headers["X-Instance"] = "somebody";
  fixture.next_behaviours["one"] = fixture.next_behaviours["two"] = {other};
  auto response = fixture.request("POST", "/write/1", "x");
  // Other instances serve both addresses: nothing ran, which is what 503 tells the client.
  CHECK(response.status == 503);
  CHECK(fixture.received.size() == 2);
}

TEST_CASE("the engine gets a kept turn with exactly the chain of turns before it") {
  request_router_fixture fixture(18);
  fixture.engine("model", "models");
  fixture.begin();
  fixture.next_behaviours["model"] = {behaviour{.events = 2}, behaviour{.events = 1}, behaviour{.events = 1}};
  std::string first_input = std::string("in\xff\x01", 4) + "1";
  auto first = fixture.request("POST", "/turn/1", first_input);
  CHECK(first.status == 200);
  CHECK(first.complete);
  CHECK(first.body == "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n");
  std::string turn = fixture.last_attempt();
  CHECK(fixture.request("POST", "/turn/1", "in2", {{"X-Previous-Turn", turn}}).status == 200);
  std::string second_turn = fixture.last_attempt();
  CHECK(fixture.received.back().body == first_input + "e1\ne2\nin2");
  // A branch: another turn that continues from the first one.
  fixture.request("POST", "/turn/1", "in3", {{"X-Previous-Turn", turn}});
  CHECK(fixture.received.back().body == first_input + "e1\ne2\nin3");
  fixture.next_behaviours["model"] = {behaviour{.events = 1}};
  fixture.request("POST", "/turn/1", "in4", {{"X-Previous-Turn", second_turn}});
  CHECK(fixture.received.back().body == first_input + "e1\ne2\nin2e1\nin4");
  auto count = fixture.received.size();
  CHECK(fixture.request("POST", "/turn/1", "x", {{"X-Previous-Turn", "nobody"}}).status == 404);
  CHECK(fixture.received.size() == count);
}

TEST_CASE("a turn stays readable with its chain after earlier turns of the chain have expired") {
  request_router_fixture fixture(26);
  for (auto* name : {"s1", "s2", "s3"})
    fixture.stores.world.runtime_of(name).spawn(storage_node::expire_programs_forever(
        *fixture.stores.voters[name], fixture.stores.world.runtime_of(name),
        fixture.stores.loggers.at(name)));
  fixture.engine("model", "models");
  fixture.begin();
  fixture.next_behaviours["model"] = {behaviour{.events = 1}, behaviour{.events = 1}, behaviour{.events = 1}};
  REQUIRE(fixture.request("POST", "/turn/1", "in1").status == 200);
  auto first = fixture.last_attempt();
  // Each further turn continues one that is 50 s old; turns are kept for 60 s.
  constexpr auto age = 50 * second;
  fixture.stores.world.run_for(age);
  REQUIRE(fixture.request("POST", "/turn/1", "in2", {{"X-Previous-Turn", first}}).status == 200);
  auto second_turn = fixture.last_attempt();
  fixture.stores.world.run_for(age);
  REQUIRE(fixture.request("POST", "/turn/1", "in3", {{"X-Previous-Turn", second_turn}}).status == 200);
  CHECK(fixture.received.back().body == "in1e1\nin2e1\nin3");
  auto third = fixture.last_attempt();
  fixture.stores.world.run_for(age);
  // Another node, which has nothing cached in memory.
  ledger::program_ledger elsewhere(fixture.stores.writer("w2"));
  auto read = elsewhere.read_chain(third, fixture.stores.deadline("w2", 2 * second));
  auto chain = fixture.stores.run("w2", std::move(read));
  REQUIRE(chain.status == ledger::chain_status::found);
  std::string text;
  for (auto& turn : chain.turns) text += turn.input + turn.output;
  CHECK(text == "in1e1\nin2e1\nin3e1\n");
}

TEST_CASE("a stream that breaks off is cut for the client, and its turn can't be continued") {
  request_router_fixture fixture(19);
  fixture.engine("model", "models");
  fixture.begin();
  fixture.next_behaviours["model"] = {behaviour{.events = 3, .break_after = 2}};
  auto response = fixture.request("POST", "/turn/1", "in");
  CHECK_FALSE(response.complete);
  CHECK(fixture.request("POST", "/turn/1", "x", {{"X-Previous-Turn", fixture.last_attempt()}}).status == 404);
}

TEST_CASE("a turn is rejected once the budget is spent, and not before") {
  request_router_fixture fixture(20);
  fixture.engine("model", "models");
  fixture.begin();
  std::map<std::string, std::string> program{
      {"X-Program", "p"}, {"X-Token-Budget", "16"}, {"X-Token-Count", "100,12"}};
  for (int turn = 0; turn < 4; ++turn) fixture.next_behaviours["model"].push_back(behaviour{.events = 2});
  // Eight tokens each: two turns spend the budget of 16.
  CHECK(fixture.request("POST", "/turn/1", "in", program).status == 200);
  fixture.stores.world.run_for(second);
  CHECK(fixture.request("POST", "/turn/1", "in", program).status == 200);
  fixture.stores.world.run_for(second);
  CHECK(fixture.request("POST", "/turn/1", "in", program).status == 402);
  CHECK(fixture.received.size() == 2);
}

TEST_CASE("without a majority of the stores a turn that continues a chain gets 503 and is not run") {
  request_router_fixture fixture(21);
  fixture.engine("model", "models");
  fixture.begin();
  for (auto* name : {"s1", "s2"}) fixture.stores.world.kill(name, simulator::disk_loss::none);
  auto response = fixture.request("POST", "/turn/1", "in", {{"X-Previous-Turn", "unknown"}});
  CHECK(response.status == 503);
  CHECK_FALSE(response.headers["retry-after"].empty());
  CHECK(fixture.received.empty());
}
