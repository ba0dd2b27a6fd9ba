// Tests the parsing of the operator's configurations and amendments, and names in the paths of its calls.
#include "platform_fixture.h"

using namespace herontally;
using namespace herontally::tests;

TEST_CASE("a whole configuration is kept as sent and becomes a routing table") {
  auto text = whole().dump(2);
  auto result = read(text);
  CHECK(result.source == text);
  CHECK(result.table.version == 7);
  REQUIRE(result.table.routes.size() == 2);
  auto& talk = result.table.routes[0];
  CHECK(talk.kind == routing::category::streaming);
  CHECK(talk.deadline == 4000);
  CHECK(talk.latency_target == 200);
  CHECK(talk.max_attempts == 2);
  CHECK(talk.retention == 60000);
  CHECK(talk.interval_target == 300);
  CHECK((talk.stores_turns && talk.affine && !talk.resumable));
  CHECK(talk.targets[0].share == 90);
  CHECK(result.table.routes[1].targets[0].service == "tool");
  auto* chat = result.table.find_service("chat");
  REQUIRE((chat && chat->model));
  CHECK(chat->connections == 360);
  CHECK(chat->slow_start_rate == 22.5);
  CHECK(chat->model->memory_tokens == 207117);
  CHECK(chat->model->models == std::vector<std::string>{"m"});
  CHECK(result.table.limits.idle_timeout == 15000);
}

TEST_CASE("an invalid configuration is rejected with the pointer of the invalid field") {
  auto body = whole();
  auto& route = body["routing"][0];
  CHECK(against(body) == "");
  CHECK(against(body.dump().substr(0, 300)) == "whole");
  CHECK(against(std::string("[]")) == "whole");
  CHECK(against(std::string()) == "whole");
  SECTION("unknown service") {
    route["mix"][1]["backend"] = "gone";
    CHECK(against(body) == "/routing/0/mix/1/backend");
  }
  SECTION("unknown single service") {
    body["routing"][1]["backend"] = "gone";
    CHECK(against(body) == "/routing/1/mix/0/backend");
  }
  SECTION("same host and prefix") {
    body["routing"][1]["path_prefix"] = "/talk/";
    CHECK(against(body) == "/routing/1/path_prefix");
  }
  SECTION("weights of 0") {
    route["mix"][0]["share"] = route["mix"][1]["share"] = 0;
    CHECK(against(body) == "/routing/0/mix");
  }
  SECTION("no weights") {
    route["mix"] = json::array();
    CHECK(against(body) == "/routing/0/mix");
  }
  SECTION("no service") {
    route.erase("mix");
    CHECK(against(body) == "/routing/0/backend");
  }
  SECTION("deadline 0") {
    route["deadline_ms"] = 0;
    CHECK(against(body) == "/routing/0/deadline_ms");
  }
  SECTION("a missing deadline") {
    route.erase("deadline_ms");
    CHECK(against(body) == "/routing/0/deadline_ms");
  }
  SECTION("wrong types") {
    route["deadline_ms"] = "4000";
    CHECK(against(body) == "/routing/0/deadline_ms");
    body = whole();
    body["routing"][0]["retained"] = 1;
    CHECK(against(body) == "/routing/0/retained");
    body = whole();
    body["routing"][0]["authority"] = 5;
    CHECK(against(body) == "/routing/0/authority");
    body = whole();
    body["routing"] = json::object();
    CHECK(against(body) == "/routing");
    body = whole();
    body["routing"][0] = 5;
    CHECK(against(body) == "/routing/0");
    body = whole();
    body["backends"][0]["engine"]["capacity"] = "64";
    CHECK(against(body) == "/backends/0/engine/capacity");
    body = whole();
    body["caps"]["idle_ms"] = true;
    CHECK(against(body) == "/caps/idle_ms");
    body = whole();
    body["generation"] = "7";
    CHECK(against(body) == "/generation");
  }
  SECTION("missing lists") {
    body.erase("backends");
    CHECK(against(body) == "/backends");
    body = whole();
    body.erase("routing");
    CHECK(against(body) == "/routing");
    body = whole();
    body.erase("generation");
    CHECK(against(body) == "/generation");
  }
  SECTION("an unknown category") {
    route["category"] = "other";
    CHECK(against(body) == "/routing/0/category");
  }
  SECTION("a version that is not above the current one") {
    CHECK(against(whole(7).dump(), whole(7).dump()) == "/generation");
    CHECK(against(whole(6).dump(), whole(7).dump()) == "/generation");
    CHECK(against(whole(8).dump(), whole(7).dump()) == "");
  }
  SECTION("one label twice") {
    body["routing"][1]["label"] = "talk";
    CHECK(against(body) == "/routing/1/label");
  }
}

TEST_CASE("an amendment adds, replaces and removes items, and an invalid one is rejected") {
  auto current = whole(7).dump();
  auto replaced = whole()["routing"][0];
  replaced["mix"][0]["share"] = 50;
  auto added = whole()["routing"][1];
  added["label"] = "find";
  added["path_prefix"] = "/find/";
  added["backend"] = "index";
  json change{{"generation", 9},
              {"upsert",
               {{"routing", json::array({replaced, added})},
                {"backends", json::array({{{"label", "index"}, {"probe", "/health"}}})}}},
              {"remove", {{"routing", json::array({"look"})}}}};
  auto result = read(change.dump(), current, true);
  auto expected = whole(9);
  expected["routing"] = json::array({replaced, added});
  expected["backends"].push_back({{"label", "index"}, {"probe", "/health"}});
  CHECK(json::parse(result.source) == expected);
  CHECK(result.table.version == 9);
  CHECK(result.table.routes.size() == 2);
  CHECK(result.table.find_service("index"));

  auto first_violation = [&](json other) { return against(other.dump(), current, true); };
  auto other = change;
  other["generation"] = 7;
  CHECK(first_violation(other) == "/generation");
  other = change;
  other.erase("generation");
  CHECK(first_violation(other) == "/generation");
  other = change;
  other["remove"]["backends"] = json::array({"tool"});
  CHECK(first_violation(other) == "/routing/0/mix/1/backend");
  other = change;
  other["upsert"]["routing"][0].erase("label");
  CHECK(first_violation(other) == "/upsert/routing");
  other = change;
  other["upsert"]["routing"] = 5;
  CHECK(first_violation(other) == "/upsert/routing");
  other = change;
  other["remove"]["routing"] = "look";
  CHECK(first_violation(other) == "/remove/routing");
  other = change;
  other["upsert"] = json::array();
  CHECK(first_violation(other) == "/upsert");
}

// Guards against a crash: an amendment that had a value of another type than the member that it changes ended
// every core that read it.
TEST_CASE("an amendment with a value of another type than its member's is rejected") {
  auto current = whole(7).dump();
  auto route = whole()["routing"][0];
  auto first_violation = [&current](const char* member, const json& value) {
    return against(json{{"generation", 9}, {"upsert", {{member, value}}}}.dump(), current, true);
  };
  CHECK(first_violation("routing", route) == "/upsert/routing");
  CHECK(first_violation("backends", json::object({{"label", "chat"}})) == "/upsert/backends");
  CHECK(first_violation("principals", json::object({{"label", "t"}})) == "/upsert/principals");
  CHECK(first_violation("generation", json::object({{"a", 1}})) == "/upsert/generation");
  CHECK(first_violation("caps", json::array({route})) == "/upsert/caps");
  CHECK(first_violation("routing", json::array({json::array()})) == "/upsert/routing");
  CHECK(first_violation("news", 5) == "/upsert/news");
  auto violation_of_removal = [&current](const json& labels) {
    return against(json{{"generation", 9}, {"remove", {{"routing", labels}}}}.dump(), current, true);
  };
  CHECK(violation_of_removal(json::object({{"look", true}})) == "/remove/routing");
  CHECK(violation_of_removal(json::array({5})) == "/remove/routing");
  CHECK(violation_of_removal(json::array({"look"})) == "");
}

// Guards against a crash: a deeply nested document exhausts the stack when it is copied, compared or written.
TEST_CASE("a document that is nested too deeply is rejected, as a whole or as an amendment") {
  constexpr int depth = 200'000;
  auto nested = std::string(depth, '[') + std::string(depth, ']');
  auto with_nested = [&nested](json document, const std::string& member) {
    document[member] = "here";
    auto text = document.dump();
    return text.replace(text.find("\"here\""), 6, nested);
  };
  CHECK(against(with_nested(whole(7), "news")) == "whole");
  auto group = with_nested(json::object(), "a");
  CHECK(against("{\"generation\":9,\"upsert\":{\"caps\":" + group + "}}", whole(7).dump(), true) == "whole");
  // A document that was acknowledged before this limit existed can be replaced, but not amended.
  auto current = with_nested(whole(7), "news");
  CHECK(against(json{{"generation", 9}}.dump(), current, true) == "whole");
  CHECK(against(whole(9).dump(), current) == "");
}

TEST_CASE("a version is rejected if the next one could not be given as a base version") {
  CHECK(against(whole(7).dump(), std::nullopt) == "");
  auto body = whole(7);
  body["generation"] = 999'999'999'999'999'998;
  CHECK(against(body) == "");
  body["generation"] = 999'999'999'999'999'999;
  CHECK(against(body) == "/generation");
  body["generation"] = std::numeric_limits<std::uint64_t>::max();
  CHECK(against(body) == "/generation");
}

TEST_CASE("a name that isn't printable text is rejected as the name of a zone or node") {
  auto adapter = operator_adapter();
  for (auto* path : {"/-/evacuation/\x85/begin", "/-/retire/a\xff/begin", "/-/retire/a b/read"}) {
    auto command = adapter.read_command(call("POST", path));
    CHECK(std::holds_alternative<platform_protocol::unknown_command>(command));
  }
}
