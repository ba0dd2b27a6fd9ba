// Tests pooled connections that are reset, or answered before the request was written completely.
#include "http_pool_fixture.h"

using namespace loopback;

TEST_CASE("a request lost on an idle connection reports the idle time and is not retried", "[pool]") {
  loop env;
  CHECK(run_exchange(env, pooled_request(), make_response("x"))->complete());
  env.accepted[0].received.clear();
  env.clock += rt::second;
  auto lost = send_request(env, pooled_request());
  REQUIRE(env.run_until([&] { return !env.accepted[0].received.empty(); }));
  env.accepted[0].send_reset();
  REQUIRE(env.run_until([&] { return lost->finished(); }));
  REQUIRE(lost->failure);
  CHECK(lost->failure->sent);
  CHECK(lost->failure->idle_before == rt::second);
  env.settle();
  CHECK(env.accepted.size() == 1);
  // A new connection has no idle time.
  auto fresh = send_request(env, pooled_request());
  REQUIRE(env.run_until([&] { return env.accepted.size() == 2 && !env.accepted[1].received.empty(); }));
  env.accepted[1].send_reset();
  REQUIRE(env.run_until([&] { return fresh->finished(); }));
  REQUIRE(fresh->failure);
  CHECK(fresh->failure->idle_before < 0);
}

TEST_CASE("a response without a length is incomplete after a reset", "[pool]") {
  loop env;
  auto result = send_request(env, pooled_request());
  REQUIRE(env.run_until([&] { return !env.accepted.empty() && !env.accepted[0].received.empty(); }));
  env.accepted[0].send("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc");
  REQUIRE(env.run_until([&] { return result->body == "abc"; }));
  env.accepted[0].send_reset();
  REQUIRE(env.run_until([&] { return result->finished(); }));
  CHECK(result->failure);
}

TEST_CASE("a connection answered before the whole request was written is not reused", "[pool]") {
  loop env;
  auto request = pooled_request();
  request.method = "POST";
  request.body = std::string(64 << 20, 'b');
  auto early = send_request(env, request);
  REQUIRE(env.run_until([&] { return !env.accepted.empty() && !env.accepted[0].received.empty(); }));
  env.accepted[0].stop_reading();
  env.accepted[0].send(make_response("no"));
  REQUIRE(env.run_until([&] { return early->finished(); }));
  auto later = run_exchange(env, pooled_request(), make_response("yes"), 1);
  CHECK(later->body == "yes");
  CHECK(env.accepted.size() == 2);
}
