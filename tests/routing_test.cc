// The routing table: its form, its matches and what stands against it.
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
  chat.cold_seconds = 3;
  chat.cold_rate = 22;
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
  talk.kept = true;
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
  for (auto& each : check(content)) list.push_back(each.pointer);
  return list;
}
using list = std::vector<std::string>;

TEST_CASE("a routing table survives its JSON form") {
  json document = small_table();
  table back = document;
  CHECK(json(back) == document);
  CHECK(back.version == 7);
  CHECK(back.routes[0].kind == category::streaming);
  REQUIRE(back.find_service("chat"));
  CHECK(back.find_service("chat")->model->min_cached_token_delta == 3000);
  CHECK(!back.find_service("tool")->model);
  CHECK(!back.find_service("none"));
  table empty = json::object();
  CHECK(empty.version == 0);
}

TEST_CASE("the longest prefix of the host wins, whatever its case and port") {
  auto content = small_table();
  auto name = [&](const std::string& host, const std::string& path) {
    auto* found = content.match(host, path);
    return found ? found->name : "";
  };
  CHECK(name("a.example", "/talk/x") == "talk");
  CHECK(name("A.EXAMPLE:8080", "/talk/look/x") == "look");
  CHECK(name("a.example", "/talk/look") == "talk");
  CHECK(name("a.example", "/talk") == "");
  CHECK(name("a.example", "/TALK/x") == "");
  CHECK(name("b.example", "/talk/x") == "");
  CHECK(name("", "/talk/x") == "");
  content.routes[0].host = "[::1]";
  CHECK(name("[::1]", "/talk/x") == "talk");
  CHECK(name("[::1]:80", "/talk/x") == "talk");
}

TEST_CASE("a sound table has nothing against it") { CHECK(check(small_table()).empty()); }

TEST_CASE("each fault of a table is named with its place") {
  auto content = small_table();
  SECTION("an unknown service") {
    content.routes[0].targets[1].service = "gone";
    CHECK(pointers(content) == list{"/routes/0/targets/1/service"});
  }
  SECTION("two routes in one place, whatever the host's case") {
    content.routes[1].prefix = "/talk/";
    CHECK(pointers(content) == list{"/routes/1/prefix"});
  }
  SECTION("shares that add up to 0") {
    content.routes[0].targets[0].share = content.routes[0].targets[1].share = 0;
    CHECK(pointers(content) == list{"/routes/0/targets"});
  }
  SECTION("a share below 0") {
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
  SECTION("one name twice") {
    content.routes[1].name = "talk";
    content.services[1].name = "chat";
    content.routes[0].targets = content.routes[1].targets = {{"chat", 1}};
    CHECK(pointers(content) == list{"/services/1/name", "/routes/1/name"});
  }
}
