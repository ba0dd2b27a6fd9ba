// The server against raw clients on the loopback.
#include "loopback.h"

namespace {

using namespace loopback;

struct served {
  loop here;
  std::string at = loop::free_address();
  std::vector<rt::inbound_request> requests;
  std::vector<std::shared_ptr<rt::http_writer>> writers;
  served() {
    REQUIRE(here.table.http_serve(
        at, [this](rt::inbound_request incoming, std::shared_ptr<rt::http_writer> writer) {
          requests.push_back(std::move(incoming));
          writers.push_back(std::move(writer));
        }));
  }
  raw_end& send(const std::string& bytes) {
    auto& end = here.connect_to(at);
    end.send(bytes);
    auto before = requests.size();
    REQUIRE(here.until([&] { return requests.size() > before; }));
    return end;
  }
};

bool has(const raw_end& end, const std::string& text) { return end.received.find(text) != std::string::npos; }

}  // namespace

TEST_CASE("a request carries its raw target and joined headers", "[http_server]") {
  served site;
  auto& end = site.send(
      "GET /a%2Fb/../c?x=%20&y HTTP/1.1\r\nHost: h\r\nX-A: 1\r\nx-a: 2\r\nCookie: p=1\r\nCookie: "
      "q=2\r\n\r\n");
  CHECK(site.requests[0].target == "/a%2Fb/../c?x=%20&y");
  CHECK(site.requests[0].headers["x-a"] == "1, 2");
  CHECK(site.requests[0].headers["cookie"] == "p=1; q=2");
  site.writers[0]->reply(rt::http_response{504, {}, ""});
  REQUIRE(site.here.until([&] { return has(end, "\r\n\r\n"); }));
  CHECK(has(end, "HTTP/1.1 504 Gateway Timeout\r\n"));
  CHECK(has(end, "Content-Length: 0\r\n"));
}

TEST_CASE("a told length goes out unchunked, otherwise pieces are chunks", "[http_server]") {
  served site;
  auto& counted = site.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  site.writers[0]->start(200, {{"Content-Length", "6"}});
  site.writers[0]->piece("abc");
  site.writers[0]->piece("def");
  site.writers[0]->finish();
  REQUIRE(site.here.until([&] { return has(counted, "\r\n\r\nabcdef"); }));
  CHECK(!has(counted, "chunked"));
  auto& chunked = site.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  site.writers[1]->start(200, {});
  site.writers[1]->piece("abc");
  site.writers[1]->finish();
  REQUIRE(site.here.until([&] { return has(chunked, "0\r\n\r\n"); }));
  CHECK(has(chunked, "3\r\nabc\r\n"));
}

TEST_CASE("the last answer on a connection arrives whole before the close, also past unread bytes",
          "[http_server]") {
  served site;
  // A second request is on its way already and will never be read.
  std::string more =
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" + std::string(100000, 'x');
  auto& end = site.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n" + more);
  std::string body(3000000, 'b');
  site.writers[0]->last_on_connection();
  site.writers[0]->reply(rt::http_response{200, {}, body});
  REQUIRE(site.here.until([&] { return end.ended; }));
  CHECK(!end.reset);
  CHECK(has(end, "Connection: close\r\n"));
  CHECK(end.received.size() > body.size());
  CHECK(end.received.compare(end.received.size() - body.size(), body.size(), body) == 0);
  CHECK(site.requests.size() == 1);
  end.close();
  site.here.settle();
}

TEST_CASE("a draining server tells each client with its next answer to close, and counts those that haven't",
          "[http_server]") {
  served site;
  auto& kept = site.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  site.writers[0]->reply(rt::http_response{200, {}, "x"});
  REQUIRE(site.here.until([&] { return has(kept, "\r\n\r\nx"); }));
  CHECK(!has(kept, "Connection: close"));
  auto& waiting = site.send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  auto& streaming = site.send("GET /3 HTTP/1.1\r\nHost: h\r\n\r\n");
  site.writers[2]->start(200, {});
  CHECK(site.here.table.http_connections(site.at).open == 3);
  CHECK(site.here.table.http_connections(site.at).unanswered == 2);
  site.here.table.http_drain(site.at);
  // Asked before the notice, answered after it.
  site.writers[1]->reply(rt::http_response{200, {}, "y"});
  REQUIRE(site.here.until([&] { return waiting.ended; }));
  CHECK(has(waiting, "Connection: close\r\n"));
  // Its head went out before the notice: it is told with its next answer.
  site.writers[2]->piece("z");
  site.writers[2]->finish();
  REQUIRE(site.here.until([&] { return has(streaming, "0\r\n\r\n"); }));
  CHECK(!streaming.ended);
  CHECK(site.here.table.http_connections(site.at).open == 2);
  CHECK(site.here.table.http_connections(site.at).unanswered == 0);
  // A request on a connection that was idle at the notice is answered.
  for (auto* end : {&kept, &streaming}) {
    auto before = site.requests.size();
    end->send("GET /4 HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(site.here.until([&] { return site.requests.size() > before; }));
    site.writers.back()->reply(rt::http_response{200, {}, "last"});
    REQUIRE(site.here.until([&] { return end->ended; }));
    CHECK(has(*end, "Connection: close\r\n"));
    CHECK(has(*end, "last"));
    CHECK(!end->reset);
  }
  CHECK(site.here.table.http_connections(site.at).open == 0);
  // The server reads on until the clients have closed, too.
  for (auto* end : {&kept, &waiting, &streaming}) end->close();
  site.here.settle();
}

TEST_CASE("a client that closes or resets while its request is worked on is noticed once", "[http_server]") {
  for (bool reset : {false, true}) {
    served site;
    auto& end = site.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    int gone = 0;
    site.writers[0]->on_gone([&] { ++gone; });
    site.here.settle();
    CHECK(gone == 0);
    CHECK(!site.writers[0]->closed());
    linger off{1, 0};
    if (reset) setsockopt(bufferevent_getfd(end.stream), SOL_SOCKET, SO_LINGER, &off, sizeof off);
    end.close();
    REQUIRE(site.here.until([&] { return gone > 0; }));
    CHECK(site.writers[0]->closed());
    site.writers[0]->reply(rt::http_response{});
    site.here.settle();
    CHECK(gone == 1);
  }
}

TEST_CASE("an answered request's client may go unnoticed, and a kept connection is watched again",
          "[http_server]") {
  served site;
  auto& end = site.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  int first = 0, second = 0;
  site.writers[0]->on_gone([&] { ++first; });
  site.writers[0]->reply(rt::http_response{200, {}, "x"});
  REQUIRE(site.here.until([&] { return has(end, "\r\n\r\nx"); }));
  end.send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(site.here.until([&] { return site.requests.size() == 2; }));
  site.writers[1]->on_gone([&] { ++second; });
  end.close();
  REQUIRE(site.here.until([&] { return second == 1; }));
  CHECK(first == 0);
}

TEST_CASE("a stopped server refuses new connections and serves the open ones", "[http_server]") {
  served site;
  auto& end = site.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  site.here.table.http_stop_listening(site.at);
  auto refused = ask(site.here, rt::http_request{}, site.at);
  REQUIRE(site.here.until([&] { return refused->over(); }));
  CHECK(!refused->failure->sent);
  site.writers[0]->reply(rt::http_response{200, {}, "still"});
  REQUIRE(site.here.until([&] { return has(end, "still"); }));
}
