// Requests through the router: what goes on unchanged, what is tried again, and what a client is told.
#include "request_router_fixture.h"

using namespace herontally;
using namespace herontally::tests;

TEST_CASE("a request and its answer go through unchanged") {
  request_router_fixture here(11);
  here.engine("one", "apps");
  here.begin();
  auto got = here.request("POST", "/write/x%20y?q=1&r=%2F", "a body",
                          {{"X-Other", "kept"}, {"Connection", "X-Hop"}, {"X-Hop", "dropped"}});
  CHECK(got.status == 200);
  CHECK(got.body == "body of one");
  CHECK(got.headers["x-server-seal"] == "seal");
  REQUIRE(here.seen.size() == 1);
  CHECK(here.seen[0].method == "POST");
  CHECK(here.seen[0].target == "/write/x%20y?q=1&r=%2F");
  CHECK(here.seen[0].body == "a body");
  CHECK(here.seen[0].headers["x-other"] == "kept");
  CHECK_FALSE(here.seen[0].headers.count("x-hop"));
  CHECK(here.seen[0].headers["host"] == "h.example");
  CHECK(here.seen[0].headers["x-target-instance"] == "one");
  CHECK(std::stoi(here.seen[0].headers["x-time-left-ms"]) <= 3000);
}

TEST_CASE("where no route matches the answer is 404, and before anything is in force when to come back") {
  request_router_fixture here(12);
  auto early = here.request("GET", "/fetch/1", "");
  CHECK(early.status == 503);
  CHECK_FALSE(early.headers["retry-after"].empty());
  here.engine("one", "apps");
  here.begin();
  CHECK(here.request("GET", "/nowhere/1", "").status == 404);
  CHECK(here.request("GET", "/fetch", "").status == 404);
  CHECK(here.seen.empty());
}

TEST_CASE("what may run once is sent once, and a lost answer promises nothing") {
  request_router_fixture here(13);
  here.engine("one", "apps");
  here.engine("two", "apps");
  here.begin();
  here.next["one"] = here.next["two"] = {behaviour{.lost = true}};
  auto got = here.request("POST", "/write/1", "x");
  CHECK(got.status == 502);
  CHECK(here.seen.size() == 1);
}

TEST_CASE("a request that may be repeated goes to another engine, as often as its route allows") {
  request_router_fixture here(14);
  for (auto* id : {"one", "two", "three", "four"}) here.engine(id, "apps");
  here.begin();
  for (auto* id : {"one", "two", "three", "four"}) here.next[id] = {behaviour{.lost = true}};
  CHECK(here.request("GET", "/fetch/1", "").status == 502);
  CHECK(here.seen.size() == 3);
  std::set<std::string> engines;
  for (auto& each : here.seen) engines.insert(each.engine);
  CHECK(engines.size() == 3);
}

TEST_CASE("an engine's promise becomes ours; any other refusal of it does not") {
  request_router_fixture here(15);
  here.engine("one", "apps");
  here.begin();
  here.next["one"] = {behaviour{.status = 503, .not_run = true}};
  auto got = here.request("POST", "/write/1", "x");
  CHECK(got.status == 503);
  CHECK_FALSE(got.headers["retry-after"].empty());
  here.next["one"] = {behaviour{.status = 503}};
  CHECK(here.request("POST", "/write/1", "x").status == 502);
  here.next["one"] = {behaviour{.status = 500}};
  CHECK(here.request("POST", "/write/1", "x").status == 500);
}

TEST_CASE("a success without the engine's stamp is none") {
  request_router_fixture here(16);
  here.engine("one", "apps");
  here.begin();
  here.next["one"] = {behaviour{.sealed = false}};
  CHECK(here.request("POST", "/write/1", "x").status == 502);
}

TEST_CASE("another engine at the address is noticed, and the request goes to the one that is there") {
  request_router_fixture here(17);
  here.engine("one", "apps");
  here.engine("two", "apps");
  here.begin();
  behaviour other{.status = 421};
  other.headers["X-Instance"] = "somebody";
  here.next["one"] = here.next["two"] = {other};
  auto got = here.request("POST", "/write/1", "x");
  // Both places have changed hands: nothing ran, and the client is told so.
  CHECK(got.status == 503);
  CHECK(here.seen.size() == 2);
}

TEST_CASE("a kept turn gets the chain before it, and nothing but that") {
  request_router_fixture here(18);
  here.engine("model", "models");
  here.begin();
  here.next["model"] = {behaviour{.events = 2}, behaviour{.events = 1}, behaviour{.events = 1}};
  std::string first_input = std::string("in\xff\x01", 4) + "1";
  auto first = here.request("POST", "/turn/1", first_input);
  CHECK(first.status == 200);
  CHECK(first.whole);
  CHECK(first.body == "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n");
  std::string turn = here.last_attempt();
  CHECK(here.request("POST", "/turn/1", "in2", {{"X-Previous-Turn", turn}}).status == 200);
  std::string second_turn = here.last_attempt();
  CHECK(here.seen.back().body == first_input + "e1\ne2\nin2");
  // A branch goes on from the first turn again.
  here.request("POST", "/turn/1", "in3", {{"X-Previous-Turn", turn}});
  CHECK(here.seen.back().body == first_input + "e1\ne2\nin3");
  here.next["model"] = {behaviour{.events = 1}};
  here.request("POST", "/turn/1", "in4", {{"X-Previous-Turn", second_turn}});
  CHECK(here.seen.back().body == first_input + "e1\ne2\nin2e1\nin4");
  auto count = here.seen.size();
  CHECK(here.request("POST", "/turn/1", "x", {{"X-Previous-Turn", "nobody"}}).status == 404);
  CHECK(here.seen.size() == count);
}

TEST_CASE("a turn is kept with the chain before it, however old that is") {
  request_router_fixture here(26);
  for (auto* name : {"s1", "s2", "s3"})
    here.stores.world.runtime_of(name).spawn(storage_node::expire_programs_forever(
        *here.stores.voters[name], here.stores.world.runtime_of(name), here.stores.loggers.at(name)));
  here.engine("model", "models");
  here.begin();
  here.next["model"] = {behaviour{.events = 1}, behaviour{.events = 1}, behaviour{.events = 1}};
  REQUIRE(here.request("POST", "/turn/1", "in1").status == 200);
  auto first = here.last_attempt();
  // Each of the next turns goes on from one that is 50 s old; they are kept for 60 s.
  constexpr auto age = 50 * second;
  here.stores.world.run_for(age);
  REQUIRE(here.request("POST", "/turn/1", "in2", {{"X-Previous-Turn", first}}).status == 200);
  auto second_turn = here.last_attempt();
  here.stores.world.run_for(age);
  REQUIRE(here.request("POST", "/turn/1", "in3", {{"X-Previous-Turn", second_turn}}).status == 200);
  CHECK(here.seen.back().body == "in1e1\nin2e1\nin3");
  auto third = here.last_attempt();
  here.stores.world.run_for(age);
  // Another node, which has nothing in its memory.
  ledger::program_ledger elsewhere(here.stores.writer("w2"));
  auto read = elsewhere.read_chain(third, here.stores.deadline("w2", 2 * second));
  auto chain = here.stores.run("w2", std::move(read));
  REQUIRE(chain.status == ledger::chain_status::found);
  std::string whole;
  for (auto& turn : chain.turns) whole += turn.input + turn.output;
  CHECK(whole == "in1e1\nin2e1\nin3e1\n");
}

TEST_CASE("a stream that breaks off looks so, and is no turn to go on from") {
  request_router_fixture here(19);
  here.engine("model", "models");
  here.begin();
  here.next["model"] = {behaviour{.events = 3, .break_after = 2}};
  auto got = here.request("POST", "/turn/1", "in");
  CHECK_FALSE(got.whole);
  CHECK(here.request("POST", "/turn/1", "x", {{"X-Previous-Turn", here.last_attempt()}}).status == 404);
}

TEST_CASE("a turn is refused once the budget is spent, and not before") {
  request_router_fixture here(20);
  here.engine("model", "models");
  here.begin();
  std::map<std::string, std::string> program{
      {"X-Program", "p"}, {"X-Token-Budget", "16"}, {"X-Token-Count", "100,12"}};
  for (int turn = 0; turn < 4; ++turn) here.next["model"].push_back(behaviour{.events = 2});
  // Eight tokens each: two turns spend the budget of 16.
  CHECK(here.request("POST", "/turn/1", "in", program).status == 200);
  here.stores.world.run_for(second);
  CHECK(here.request("POST", "/turn/1", "in", program).status == 200);
  here.stores.world.run_for(second);
  CHECK(here.request("POST", "/turn/1", "in", program).status == 402);
  CHECK(here.seen.size() == 2);
}

TEST_CASE("without a majority of the stores a kept turn is neither run nor denied") {
  request_router_fixture here(21);
  here.engine("model", "models");
  here.begin();
  for (auto* name : {"s1", "s2"}) here.stores.world.kill(name, simulator::disk_loss::none);
  auto got = here.request("POST", "/turn/1", "in", {{"X-Previous-Turn", "unknown"}});
  CHECK(got.status == 503);
  CHECK_FALSE(got.headers["retry-after"].empty());
  CHECK(here.seen.empty());
}
