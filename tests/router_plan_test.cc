// Events as they pass, and the plan of an attempt.
#include <catch2/catch.hpp>
#include <random>

#include "router/attempt_plan.h"
#include "router/event_scanner.h"

using namespace herontally;
using runtime::millisecond;
using runtime::second;

TEST_CASE("events are counted and gathered however they are cut") {
  std::string stream =
      ": hello\n\nid: 1\ndata: one\n\nid: 2\ndata: two\ndata: more\n\nid:3\ndata:\n\nid: 4\r\ndata: "
      "x\r\n\r\n";
  std::mt19937_64 random(7);
  for (int turn = 0; turn < 200; ++turn) {
    router::event_scanner scanner(true);
    std::size_t from = 0;
    while (from < stream.size()) {
      std::size_t length = 1 + random() % 7;
      scanner.feed(stream.substr(from, length));
      from += length;
    }
    REQUIRE(scanner.events() == 4);
    REQUIRE(scanner.data() == "one\ntwo\nmore\n\nx\n");
    REQUIRE(scanner.last_id() == "4");
    REQUIRE(scanner.between_events());
  }
}

TEST_CASE("an event counts once it is whole") {
  router::event_scanner scanner(false);
  scanner.feed("id: 1\ndata: a\n\nid: 2\ndata: b\n");
  CHECK(scanner.events() == 1);
  CHECK_FALSE(scanner.between_events());
  scanner.feed("\n");
  CHECK(scanner.events() == 2);
  CHECK(scanner.data().empty());
}

namespace {

struct plan_fixture {
  routing::table table;
  std::set<std::string> evacuated;
  router::engine_pool engines;
  std::mt19937_64 random{3};
  runtime::microseconds now = 100 * second;
  nlohmann::json listed = nlohmann::json::array();
  router::node_group group{3, 0};

  plan_fixture() {
    // Of model engines, unless a case says otherwise.
    routing::service service;
    service.name = "s";
    service.connections = 60;
    service.cold_rate = 12;
    service.model.emplace();
    table.services = {service};
    routing::route route;
    route.name = "r";
    route.targets = {{"s", 1}};
    table.routes = {route};
  }
  void engine(const std::string& id, const std::string& zone, std::int64_t capacity = 64,
              std::int64_t cold = 0) {
    listed.push_back(
        platform_protocol::listed_engine{id, "s", "10.0.0.1:80", zone, "", capacity, cold, false});
    engines.set_list(listed.dump(), now);
  }
  std::variant<router::plan, router::unplanned> plan(platform_protocol::request_metadata metadata = {}) {
    router::subject asked{table.routes[0], table.services[0], metadata, {}, 1};
    router::planning_context context{table, evacuated, "a", 3, group, now, now};
    return router::make_plan(asked, engines, context, random);
  }
  std::string chosen(platform_protocol::request_metadata metadata = {}) {
    auto made = plan(std::move(metadata));
    auto* found = std::get_if<router::plan>(&made);
    return found ? found->engine_id : "";
  }
};

platform_protocol::request_metadata prompt() {
  platform_protocol::request_metadata metadata;
  metadata.model = "m";
  metadata.parts = {{"p", 2560}, {"q", 400}};
  return metadata;
}

}  // namespace

TEST_CASE("load decides before what is kept, and what is kept among engines alike in load") {
  plan_fixture here;
  here.engine("one", "a");
  here.engine("two", "b");
  here.engines.prefixes().note(1, router::part_keys(prompt(), here.table.routes[0]), here.now);
  CHECK(here.chosen(prompt()) == "two");
  // Work within what the prompt itself would cost is alike; beyond that it decides.
  here.engines.sent(1, 1000, here.now);
  CHECK(here.chosen(prompt()) == "two");
  here.engines.sent(1, 1000, here.now);
  CHECK(here.chosen(prompt()) == "one");
  // What was read and what lies back a while counts no more.
  here.engines.begun(1, 1000);
  here.engines.begun(1, 1000);
  here.engines.ended(1);
  here.now += 5 * second;
  CHECK(here.chosen(prompt()) == "two");
}

TEST_CASE("the same parts of another model, or behind other parts, are nothing worth") {
  plan_fixture here;
  here.engine("one", "b");
  here.engine("two", "b");
  here.engines.prefixes().note(1, router::part_keys(prompt(), here.table.routes[0]), here.now);
  auto other = prompt();
  other.model = "n";
  auto made = here.plan(other);
  CHECK(std::get<router::plan>(made).cached_tokens == 0);
  auto moved = prompt();
  std::swap(moved.parts[0], moved.parts[1]);
  made = here.plan(moved);
  CHECK(std::get<router::plan>(made).cached_tokens == 0);
}

TEST_CASE("engines that leave, stand in an evacuated zone or failed are not taken") {
  plan_fixture here;
  here.engine("one", "a");
  here.engine("two", "b");
  here.evacuated = {"a"};
  CHECK(here.chosen() == "two");
  here.engines.set_draining({"two"});
  CHECK(here.chosen().empty());
  here.evacuated.clear();
  CHECK(here.chosen() == "one");
  here.engines.failed(0, true, here.now);
  CHECK(here.chosen().empty());
  // After its time out of use one request tries it, and no second one before that has ended.
  here.now += 5 * second;
  CHECK(here.chosen() == "one");
  here.engines.sent(0, 0, here.now);
  CHECK(here.chosen().empty());
  here.engines.answered(0, {}, here.now);
  CHECK(here.chosen() == "one");
}

TEST_CASE("a cold engine gets this node's part of its rate in any second") {
  plan_fixture here;
  here.engine("one", "a", 64, 3000);
  int sent = 0;
  for (int turn = 0; turn < 100; ++turn) {
    here.now += 10 * millisecond;
    if (here.chosen().empty()) continue;
    here.engines.sent(0, 0, here.now);
    here.engines.ended(0);
    ++sent;
  }
  // 12 a second for three nodes.
  CHECK(sent == 4);
  // A node that the others don't count has no part.
  here.now += second;
  here.group.rank = -1;
  CHECK(here.chosen().empty());
  here.now += 4 * second;
  CHECK(here.chosen() == "one");
}

TEST_CASE("an engine at which all of this node's connections are in use gets nothing more") {
  plan_fixture here;
  here.engine("one", "a");
  // 60 connections for three nodes and two more: twelve each.
  for (int sent = 0; sent < 12; ++sent) {
    CHECK(here.chosen() == "one");
    here.engines.sent(0, 0, here.now);
  }
  CHECK(here.chosen().empty());
  here.engines.ended(0);
  CHECK(here.chosen() == "one");
}

TEST_CASE("a source is named when its lead is over the threshold, and only among engines free to lend") {
  plan_fixture here;
  here.table.services[0].model->min_cached_token_delta = 2048;
  here.engine("one", "a");
  here.engine("two", "b");
  here.engines.prefixes().note(1, router::part_keys(prompt(), here.table.routes[0]), here.now);
  for (int turn = 0; turn < 8; ++turn) here.engines.sent(1, 1000, here.now);
  auto made = here.plan(prompt());
  auto& plan = std::get<router::plan>(made);
  CHECK(plan.engine_id == "one");
  CHECK(plan.source == "two");
  CHECK(plan.source_tokens == 2960);
  here.evacuated = {"b"};
  made = here.plan(prompt());
  CHECK_FALSE(std::get<router::plan>(made).source);
  here.evacuated.clear();
  here.table.services[0].model->min_cached_token_delta = 2960;
  made = here.plan(prompt());
  CHECK_FALSE(std::get<router::plan>(made).source);
  here.table.services[0].model->min_cached_token_delta.reset();
  made = here.plan(prompt());
  CHECK_FALSE(std::get<router::plan>(made).source);
}

// Guards against review case 2 (FAULT): a turn that names so many tokens that no engine seems good enough.
TEST_CASE("a prompt of any size is placed, however often it is sent") {
  plan_fixture here;
  here.engine("one", "a");
  here.engine("two", "b");
  auto metadata = prompt();
  metadata.parts = {{"p", 2'000'000'000}};
  for (int turn = 0; turn < 8; ++turn) {
    auto made = here.plan(metadata);
    auto* found = std::get_if<router::plan>(&made);
    REQUIRE(found);
    here.engines.sent(found->engine, found->unread_tokens, here.now);
  }
}
