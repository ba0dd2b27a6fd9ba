// Tests the HTTP client and its connection pool with a raw server over the loopback interface.
#include "http_pool_fixture.h"

using namespace loopback;

TEST_CASE("a pooled request is sent as given and its connection is reused", "[pool]") {
  loop env;
  rt::http_request request = pooled_request("/a?b=%20c");
  request.method = "BREW";
  request.body = "beans";
  request.headers = {{"host", "kitchen.example"}, {"X-One", "1"}, {"content-length", "77"}};
  auto first = send_request(env, request);
  REQUIRE(env.run_until([&] {
    return !env.accepted.empty() && env.accepted[0].received.find("\r\n\r\nbeans") != std::string::npos;
  }));
  auto& sent_bytes = env.accepted[0].received;
  CHECK(sent_bytes.find("BREW /a?b=%20c HTTP/1.1\r\n") == 0);
  CHECK(sent_bytes.find("Host: kitchen.example\r\n") != std::string::npos);
  CHECK(sent_bytes.find("X-One: 1\r\n") != std::string::npos);
  CHECK(sent_bytes.find("Content-Length: 5\r\n") != std::string::npos);
  CHECK(sent_bytes.find("77") == std::string::npos);
  sent_bytes.clear();
  env.accepted[0].send(make_response("one", "X-Two:  a \r\nX-Empty:\r\nX-Two: b\r\n"));
  REQUIRE(env.run_until([&] { return first->finished(); }));
  CHECK(first->complete());
  CHECK(first->status == 200);
  CHECK(first->body == "one");
  CHECK(first->headers["x-two"] == "a, b");
  CHECK(first->headers.count("x-empty") == 1);
  auto second = send_request(env, pooled_request());
  REQUIRE(env.run_until([&] { return env.accepted[0].received.find("\r\n\r\n") != std::string::npos; }));
  CHECK(env.accepted[0].received.find("Content-Length") == std::string::npos);
  CHECK(env.accepted[0].received.find("Host: " + env.address) != std::string::npos);
  env.accepted[0].send(make_response(""));
  REQUIRE(env.run_until([&] { return second->finished(); }));
  CHECK(second->complete());
  CHECK(env.accepted.size() == 1);
}

TEST_CASE("chunks are decoded, 1xx responses skipped, a close honoured", "[pool]") {
  loop env;
  auto result = run_exchange(env, pooled_request(),
                             "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
                             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
                             "3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n");
  CHECK(result->complete());
  CHECK(result->body == "abcdefg");
  CHECK(result->headers.count("link") == 0);
  CHECK(run_exchange(env, pooled_request(), make_response("x"), 1)->complete());
  CHECK(env.accepted.size() == 2);
  REQUIRE(env.run_until([&] { return env.accepted[0].peer_closed; }));
}

TEST_CASE("a response to another request is discarded and its connection not reused", "[pool]") {
  loop env;
  auto request = pooled_request();
  request.echo_name = "X-Echo";
  request.echo_value = "mine";
  auto result = run_exchange(
      env, request, make_response("late", "x-echo: other\r\n") + make_response("ours", "X-ECHO: mine\r\n"));
  CHECK(result->complete());
  CHECK(result->body == "ours");
  REQUIRE(env.run_until([&] { return env.accepted[0].peer_closed; }));
  CHECK(run_exchange(env, request, make_response("second", "x-echo: mine\r\n"), 1)->body == "second");
  // A response to another request doesn't complete this one.
  auto third = send_request(env, request);
  REQUIRE(env.run_until([&] { return !env.accepted[1].received.empty(); }));
  env.accepted[1].send(make_response("late"));
  env.settle();
  CHECK(third->status == 0);
  CHECK(!third->finished());
  env.accepted[1].close();
  REQUIRE(env.run_until([&] { return third->finished(); }));
  CHECK(third->failure->sent);
}

TEST_CASE("surplus bytes after a response or on an idle connection are discarded", "[pool]") {
  loop env;
  auto result = run_exchange(env, pooled_request(), make_response("one") + make_response("surplus"));
  CHECK(result->complete());
  CHECK(result->body == "one");
  REQUIRE(env.run_until([&] { return env.accepted[0].peer_closed; }));
  CHECK(run_exchange(env, pooled_request(), make_response("two"), 1)->body == "two");
  // This time the surplus comes while the connection is idle.
  env.accepted[1].send(make_response("surplus"));
  REQUIRE(env.run_until([&] { return env.accepted[1].peer_closed; }));
  CHECK(run_exchange(env, pooled_request(), make_response("three"), 2)->body == "three");
  // The surplus is in the kernel's buffer, but the loop hasn't read it yet.
  env.accepted[2].send(make_response("surplus"));
  bufferevent_flush(env.accepted[2].stream, EV_WRITE, BEV_FLUSH);
  int descriptor = bufferevent_getfd(env.accepted[2].stream);
  REQUIRE(send(descriptor, "H", 1, 0) == 1);
  CHECK(run_exchange(env, pooled_request(), make_response("four"), 3)->body == "four");
}

TEST_CASE("a truncated body fails, and a body without a length completes only with an announced close",
          "[pool]") {
  loop env;
  auto truncated = [&](const std::string& bytes, std::size_t index) {
    auto result = send_request(env, pooled_request());
    REQUIRE(
        env.run_until([&] { return env.accepted.size() > index && !env.accepted[index].received.empty(); }));
    env.accepted[index].send(bytes);
    REQUIRE(env.run_until([&] { return result->body == "abc" || result->finished(); }));
    env.accepted[index].close();
    REQUIRE(env.run_until([&] { return result->finished(); }));
    CHECK(result->body == "abc");
    CHECK(result->events_after_end == 0);
    return result->failure;
  };
  auto by_length = truncated("HTTP/1.1 200 OK\r\nContent-Length: 9\r\nConnection: close\r\n\r\nabc", 0);
  REQUIRE(by_length);
  CHECK(by_length->sent);
  CHECK(!by_length->garbled);
  CHECK(truncated("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", 1));
  CHECK(truncated("HTTP/1.1 200 OK\r\n\r\nabc", 2));
  CHECK(!truncated("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc", 3));
}

TEST_CASE("bytes that are not a valid response are reported as garbled", "[pool]") {
  loop env;
  auto result = run_exchange(env, pooled_request(), "\x16\x03\x01 what is this\r\n\r\n");
  REQUIRE(result->failure);
  CHECK(result->failure->garbled);
  CHECK(result->failure->sent);
  auto chunk =
      run_exchange(env, pooled_request(), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 1);
  REQUIRE(chunk->failure);
  CHECK(chunk->failure->garbled);
}

TEST_CASE(
    "idle connections aren't reused after the server's close, the maximum idle time or its Keep-Alive "
    "timeout",
    "[pool]") {
  loop env;
  CHECK(run_exchange(env, pooled_request(), make_response("x"))->complete());
  env.accepted[0].close();
  // The connection isn't reused even if the loop hasn't read the close yet.
  CHECK(run_exchange(env, pooled_request(), make_response("x"), 1)->complete());
  env.clock += 5 * rt::second;
  CHECK(run_exchange(env, pooled_request(), make_response("x", "Keep-Alive: max=9, timeout=3\r\n"), 2)
            ->complete());
  env.clock += 2 * rt::second;
  CHECK(run_exchange(env, pooled_request(), make_response("x"), 3)->complete());
  env.clock += 3 * rt::second;
  CHECK(run_exchange(env, pooled_request(), make_response("x"), 3)->complete());
  CHECK(env.accepted.size() == 4);
}

TEST_CASE("connection limit, refused connections, cancelled and invalid requests", "[pool]") {
  loop env;
  auto request = pooled_request();
  request.most_connections = 2;
  auto first = send_request(env, request);
  auto second = send_request(env, request);
  auto third = send_request(env, request);
  REQUIRE(env.run_until([&] { return third->finished(); }));
  REQUIRE(third->failure);
  CHECK(!third->failure->sent);
  REQUIRE(env.run_until([&] { return env.accepted.size() == 2 && !env.accepted[1].received.empty(); }));
  env.table.http_cancel(first->id);
  REQUIRE(env.run_until([&] { return env.accepted[0].peer_closed || env.accepted[1].peer_closed; }));
  auto fourth = send_request(env, request);
  REQUIRE(env.run_until([&] { return env.accepted.size() == 3; }));
  CHECK(!fourth->finished());
  CHECK(!first->finished());
  auto refused = send_request(env, pooled_request(), loop::free_address());
  REQUIRE(env.run_until([&] { return refused->finished(); }));
  REQUIRE(refused->failure);
  CHECK(!refused->failure->sent);
  // A path that would inject a header isn't sent.
  auto injected = pooled_request("/a HTTP/1.1\r\nX: y");
  auto rejected = send_request(env, injected);
  REQUIRE(env.run_until([&] { return rejected->finished(); }));
  CHECK(!rejected->failure->sent);
}

TEST_CASE("an unpooled request sends Connection: close and accepts a body delimited by the close", "[pool]") {
  loop env;
  rt::http_request request;
  auto result = send_request(env, request);
  REQUIRE(env.run_until([&] { return !env.accepted.empty() && !env.accepted[0].received.empty(); }));
  CHECK(env.accepted[0].received.find("Connection: close\r\n") != std::string::npos);
  env.accepted[0].send("HTTP/1.0 200 OK\r\n\r\nbody");
  REQUIRE(env.run_until([&] { return result->body == "body"; }));
  env.accepted[0].close();
  REQUIRE(env.run_until([&] { return result->finished(); }));
  CHECK(result->complete());
}
