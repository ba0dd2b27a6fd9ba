// Kept connections that are lost, reset or answered early.
#include "http_pool_fixture.h"

using namespace loopback;

TEST_CASE("a request that is lost on an idle connection tells how long it was idle, and goes out once",
          "[pool]") {
  loop here;
  CHECK(exchange(here, pooled(), answer("x"))->whole());
  here.accepted[0].received.clear();
  here.clock += rt::second;
  auto lost = ask(here, pooled());
  REQUIRE(here.until([&] { return !here.accepted[0].received.empty(); }));
  here.accepted[0].reset_now();
  REQUIRE(here.until([&] { return lost->over(); }));
  REQUIRE(lost->failure);
  CHECK(lost->failure->sent);
  CHECK(lost->failure->idle_before == rt::second);
  here.settle();
  CHECK(here.accepted.size() == 1);
  // On a new connection nothing was idle.
  auto fresh = ask(here, pooled());
  REQUIRE(here.until([&] { return here.accepted.size() == 2 && !here.accepted[1].received.empty(); }));
  here.accepted[1].reset_now();
  REQUIRE(here.until([&] { return fresh->over(); }));
  REQUIRE(fresh->failure);
  CHECK(fresh->failure->idle_before < 0);
}

TEST_CASE("an answer without length that is reset is not complete", "[pool]") {
  loop here;
  auto result = ask(here, pooled());
  REQUIRE(here.until([&] { return !here.accepted.empty() && !here.accepted[0].received.empty(); }));
  here.accepted[0].send("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc");
  REQUIRE(here.until([&] { return result->body == "abc"; }));
  here.accepted[0].reset_now();
  REQUIRE(here.until([&] { return result->over(); }));
  CHECK(result->failure);
}

TEST_CASE("a connection that was answered before it took the whole body serves no later request", "[pool]") {
  loop here;
  auto request = pooled();
  request.method = "POST";
  request.body = std::string(64 << 20, 'b');
  auto early = ask(here, request);
  REQUIRE(here.until([&] { return !here.accepted.empty() && !here.accepted[0].received.empty(); }));
  here.accepted[0].stop_reading();
  here.accepted[0].send(answer("no"));
  REQUIRE(here.until([&] { return early->over(); }));
  auto later = exchange(here, pooled(), answer("yes"), 1);
  CHECK(later->body == "yes");
  CHECK(here.accepted.size() == 2);
}
