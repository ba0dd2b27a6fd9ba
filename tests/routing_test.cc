// The routing table: its JSON form, the matching of requests to routes, and validation.
#include <catch2/catch.hpp>

#include "routing/table.h"

using namespace herontally::routing;

static table small_table() {
  table content;
  content.version = 7;
  service chat, tool;
  chat.name = "chat";
  chat.probe = "/health";
  chat.connections = 360;
  chat.slow_start_seconds = 3;
  chat.slow_start_rate = 22;
  chat.model = model_engine{64, 200000, 4, 3000, {"m"}};
  tool.name = "tool";
  content.services = {chat, tool};
  route talk, look;
  talk.name = "talk";
  talk.host = "a.example";
  talk.prefix = "/talk/";
  talk.kind = category::streaming;
  talk.deadline = 4000;
  talk.targets = {{"chat", 90}, {"tool", 10}};
  talk.stores_turns = true;
  look.name = "look";
  look.host = "A.example";
  look.prefix = "/talk/look/";
  look.kind = category::idempotent;
  look.deadline = 1000;
  look.targets = {{"tool", 1}};
  content.routes = {talk, look};
  return content;
}

static std::vector<std::string> pointers(const table& content) {
  std::vector<std::string> list;
  for (auto& violation : check(content)) list.push_back(violation.pointer);
  return list;
}
using list = std::vector<std::string>;

TEST_CASE("a routing table is the same after a round trip through JSON") {
  json document = small_table();
  table parsed = document;
  CHECK(json(parsed) == document);
  CHECK(parsed.version == 7);
  CHECK(parsed.routes[0].kind == category::streaming);
  REQUIRE(parsed.find_service("chat"));
  CHECK(parsed.find_service("chat")->model->min_cached_token_delta == 3000);
  CHECK(!parsed.find_service("tool")->model);
  CHECK(!parsed.find_service("none"));
  table empty = json::object();
  CHECK(empty.version == 0);
}

TEST_CASE("the longest matching prefix of the host wins, regardless of the host's case and port") {
  auto content = small_table();
  auto matched_route = [&](const std::string& host, const std::string& path) {
    auto* found = content.match(host, path);
    return found ? found->name : "";
  };
  CHECK(matched_route("a.example", "/talk/x") == "talk");
  CHECK(matched_route("A.EXAMPLE:8080", "/talk/look/x") == "look");
  CHECK(matched_route("a.example", "/talk/look") == "talk");
  CHECK(matched_route("a.example", "/talk") == "");
  CHECK(matched_route("a.example", "/TALK/x") == "");
  CHECK(matched_route("b.example", "/talk/x") == "");
  CHECK(matched_route("", "/talk/x") == "");
  content.routes[0].host = "[::1]";
  CHECK(matched_route("[::1]", "/talk/x") == "talk");
  CHECK(matched_route("[::1]:80", "/talk/x") == "talk");
}

TEST_CASE("a valid table has no violations") { CHECK(check(small_table()).empty()); }

TEST_CASE("each violation in a table is reported with its JSON pointer") {
  auto content = small_table();
  SECTION("an unknown service") {
    content.routes[0].targets[1].service = "gone";
    CHECK(pointers(content) == list{"/routes/0/targets/1/service"});
  }
  SECTION("two routes with the same host, regardless of its case, and the same prefix") {
    content.routes[1].prefix = "/talk/";
    CHECK(pointers(content) == list{"/routes/1/prefix"});
  }
  SECTION("shares that add up to 0") {
    content.routes[0].targets[0].share = content.routes[0].targets[1].share = 0;
    CHECK(pointers(content) == list{"/routes/0/targets"});
  }
  SECTION("a negative share") {
    content.routes[0].targets[0].share = -1;
    CHECK(pointers(content) == list{"/routes/0/targets/0/share"});
  }
  SECTION("no target") {
    content.routes[1].targets.clear();
    CHECK(pointers(content) == list{"/routes/1/targets"});
  }
  SECTION("no deadline") {
    content.routes[1].deadline = 0;
    CHECK(pointers(content) == list{"/routes/1/deadline"});
  }
  SECTION("duplicate names") {
    content.routes[1].name = "talk";
    content.services[1].name = "chat";
    content.routes[0].targets = content.routes[1].targets = {{"chat", 1}};
    CHECK(pointers(content) == list{"/services/1/name", "/routes/1/name"});
  }
}
