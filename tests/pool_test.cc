// The client's kept connections against a raw server on the loopback.
#include "http_pool_fixture.h"

using namespace loopback;

TEST_CASE("a pooled request goes out as given and its connection serves the next", "[pool]") {
  loop here;
  rt::http_request request = pooled("/a?b=%20c");
  request.method = "BREW";
  request.body = "beans";
  request.headers = {{"host", "kitchen.example"}, {"X-One", "1"}, {"content-length", "77"}};
  auto first = ask(here, request);
  REQUIRE(here.until([&] {
    return !here.accepted.empty() && here.accepted[0].received.find("\r\n\r\nbeans") != std::string::npos;
  }));
  auto& got = here.accepted[0].received;
  CHECK(got.find("BREW /a?b=%20c HTTP/1.1\r\n") == 0);
  CHECK(got.find("Host: kitchen.example\r\n") != std::string::npos);
  CHECK(got.find("X-One: 1\r\n") != std::string::npos);
  CHECK(got.find("Content-Length: 5\r\n") != std::string::npos);
  CHECK(got.find("77") == std::string::npos);
  got.clear();
  here.accepted[0].send(answer("one", "X-Two:  a \r\nX-Empty:\r\nX-Two: b\r\n"));
  REQUIRE(here.until([&] { return first->over(); }));
  CHECK(first->whole());
  CHECK(first->status == 200);
  CHECK(first->body == "one");
  CHECK(first->headers["x-two"] == "a, b");
  CHECK(first->headers.count("x-empty") == 1);
  auto second = ask(here, pooled());
  REQUIRE(here.until([&] { return here.accepted[0].received.find("\r\n\r\n") != std::string::npos; }));
  CHECK(here.accepted[0].received.find("Content-Length") == std::string::npos);
  CHECK(here.accepted[0].received.find("Host: " + here.address) != std::string::npos);
  here.accepted[0].send(answer(""));
  REQUIRE(here.until([&] { return second->over(); }));
  CHECK(second->whole());
  CHECK(here.accepted.size() == 1);
}

TEST_CASE("chunks are decoded, 1xx answers skipped, a close honoured", "[pool]") {
  loop here;
  auto result = exchange(here, pooled(),
                         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
                         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
                         "3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n");
  CHECK(result->whole());
  CHECK(result->body == "abcdefg");
  CHECK(result->headers.count("link") == 0);
  CHECK(exchange(here, pooled(), answer("x"), 1)->whole());
  CHECK(here.accepted.size() == 2);
  REQUIRE(here.until([&] { return here.accepted[0].ended; }));
}

TEST_CASE("another request's answer is passed over and its connection not kept", "[pool]") {
  loop here;
  auto request = pooled();
  request.echo_name = "X-Echo";
  request.echo_value = "mine";
  auto result =
      exchange(here, request, answer("late", "x-echo: other\r\n") + answer("ours", "X-ECHO: mine\r\n"));
  CHECK(result->whole());
  CHECK(result->body == "ours");
  REQUIRE(here.until([&] { return here.accepted[0].ended; }));
  CHECK(exchange(here, request, answer("second", "x-echo: mine\r\n"), 1)->body == "second");
  // An answer that never comes isn't made up from the other's.
  auto third = ask(here, request);
  REQUIRE(here.until([&] { return !here.accepted[1].received.empty(); }));
  here.accepted[1].send(answer("late"));
  here.settle();
  CHECK(third->status == 0);
  CHECK(!third->over());
  here.accepted[1].close();
  REQUIRE(here.until([&] { return third->over(); }));
  CHECK(third->failure->sent);
}

TEST_CASE("bytes behind a whole answer or while idle reach nobody", "[pool]") {
  loop here;
  auto result = exchange(here, pooled(), answer("one") + answer("surplus"));
  CHECK(result->whole());
  CHECK(result->body == "one");
  REQUIRE(here.until([&] { return here.accepted[0].ended; }));
  CHECK(exchange(here, pooled(), answer("two"), 1)->body == "two");
  // This time the surplus comes while the connection is idle.
  here.accepted[1].send(answer("surplus"));
  REQUIRE(here.until([&] { return here.accepted[1].ended; }));
  CHECK(exchange(here, pooled(), answer("three"), 2)->body == "three");
  // The kernel has the surplus already, our loop hasn't seen it.
  here.accepted[2].send(answer("surplus"));
  bufferevent_flush(here.accepted[2].stream, EV_WRITE, BEV_FLUSH);
  int descriptor = bufferevent_getfd(here.accepted[2].stream);
  REQUIRE(send(descriptor, "H", 1, 0) == 1);
  CHECK(exchange(here, pooled(), answer("four"), 3)->body == "four");
}

TEST_CASE("a body that ends early fails; one without length ends only with an announced close", "[pool]") {
  loop here;
  auto cut = [&](const std::string& bytes, std::size_t index) {
    auto result = ask(here, pooled());
    REQUIRE(
        here.until([&] { return here.accepted.size() > index && !here.accepted[index].received.empty(); }));
    here.accepted[index].send(bytes);
    REQUIRE(here.until([&] { return result->body == "abc" || result->over(); }));
    here.accepted[index].close();
    REQUIRE(here.until([&] { return result->over(); }));
    CHECK(result->body == "abc");
    CHECK(result->after_end == 0);
    return result->failure;
  };
  auto by_length = cut("HTTP/1.1 200 OK\r\nContent-Length: 9\r\nConnection: close\r\n\r\nabc", 0);
  REQUIRE(by_length);
  CHECK(by_length->sent);
  CHECK(!by_length->garbled);
  CHECK(cut("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", 1));
  CHECK(cut("HTTP/1.1 200 OK\r\n\r\nabc", 2));
  CHECK(!cut("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc", 3));
}

TEST_CASE("bytes that are no answer are told as garbled", "[pool]") {
  loop here;
  auto result = exchange(here, pooled(), "\x16\x03\x01 what is this\r\n\r\n");
  REQUIRE(result->failure);
  CHECK(result->failure->garbled);
  CHECK(result->failure->sent);
  auto chunk = exchange(here, pooled(), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 1);
  REQUIRE(chunk->failure);
  CHECK(chunk->failure->garbled);
}

TEST_CASE("idle connections end by the other side's close, by age and by its Keep-Alive", "[pool]") {
  loop here;
  CHECK(exchange(here, pooled(), answer("x"))->whole());
  here.accepted[0].close();
  // The close may not have been seen yet: the connection still isn't taken.
  CHECK(exchange(here, pooled(), answer("x"), 1)->whole());
  here.clock += 5 * rt::second;
  CHECK(exchange(here, pooled(), answer("x", "Keep-Alive: max=9, timeout=3\r\n"), 2)->whole());
  here.clock += 2 * rt::second;
  CHECK(exchange(here, pooled(), answer("x"), 3)->whole());
  here.clock += 3 * rt::second;
  CHECK(exchange(here, pooled(), answer("x"), 3)->whole());
  CHECK(here.accepted.size() == 4);
}

TEST_CASE("a cap on connections, refused ports and cancelled requests", "[pool]") {
  loop here;
  auto request = pooled();
  request.most_connections = 2;
  auto first = ask(here, request);
  auto second = ask(here, request);
  auto third = ask(here, request);
  REQUIRE(here.until([&] { return third->over(); }));
  REQUIRE(third->failure);
  CHECK(!third->failure->sent);
  REQUIRE(here.until([&] { return here.accepted.size() == 2 && !here.accepted[1].received.empty(); }));
  here.table.http_cancel(first->number);
  REQUIRE(here.until([&] { return here.accepted[0].ended || here.accepted[1].ended; }));
  auto fourth = ask(here, request);
  REQUIRE(here.until([&] { return here.accepted.size() == 3; }));
  CHECK(!fourth->over());
  CHECK(!first->over());
  auto refused = ask(here, pooled(), loop::free_address());
  REQUIRE(here.until([&] { return refused->over(); }));
  REQUIRE(refused->failure);
  CHECK(!refused->failure->sent);
  // A request that can't be written as one isn't sent.
  auto split = pooled("/a HTTP/1.1\r\nX: y");
  auto refused_words = ask(here, split);
  REQUIRE(here.until([&] { return refused_words->over(); }));
  CHECK(!refused_words->failure->sent);
}

TEST_CASE("a request of its own asks for a close and takes a body up to the end", "[pool]") {
  loop here;
  rt::http_request request;
  auto result = ask(here, request);
  REQUIRE(here.until([&] { return !here.accepted.empty() && !here.accepted[0].received.empty(); }));
  CHECK(here.accepted[0].received.find("Connection: close\r\n") != std::string::npos);
  here.accepted[0].send("HTTP/1.0 200 OK\r\n\r\nbody");
  REQUIRE(here.until([&] { return result->body == "body"; }));
  here.accepted[0].close();
  REQUIRE(here.until([&] { return result->over(); }));
  CHECK(result->whole());
}
