// Tests the HTTP server with raw clients over the loopback interface.
#include <filesystem>

#include "loopback.h"

namespace {

using namespace loopback;

struct server_fixture {
  loop env;
  std::string address = loop::free_address();
  std::vector<rt::inbound_request> requests;
  std::vector<std::shared_ptr<rt::http_writer>> writers;
  server_fixture() {
    REQUIRE(env.table.http_serve(
        address, [this](rt::inbound_request incoming, std::shared_ptr<rt::http_writer> writer) {
          requests.push_back(std::move(incoming));
          writers.push_back(std::move(writer));
        }));
  }
  raw_connection& send(const std::string& bytes) {
    auto& client = env.connect_to(address);
    client.send(bytes);
    auto before = requests.size();
    REQUIRE(env.run_until([&] { return requests.size() > before; }));
    return client;
  }
};

bool received(const raw_connection& client, const std::string& text) {
  return client.received.find(text) != std::string::npos;
}

}  // namespace

TEST_CASE("a request carries its raw target and joined headers", "[http_server]") {
  server_fixture fixture;
  auto& client = fixture.send(
      "GET /a%2Fb/../c?x=%20&y HTTP/1.1\r\nHost: h\r\nX-A: 1\r\nx-a: 2\r\nCookie: p=1\r\nCookie: "
      "q=2\r\n\r\n");
  CHECK(fixture.requests[0].target == "/a%2Fb/../c?x=%20&y");
  CHECK(fixture.requests[0].headers["x-a"] == "1, 2");
  CHECK(fixture.requests[0].headers["cookie"] == "p=1; q=2");
  fixture.writers[0]->reply(rt::http_response{504, {}, ""});
  REQUIRE(fixture.env.run_until([&] { return received(client, "\r\n\r\n"); }));
  CHECK(received(client, "HTTP/1.1 504 Gateway Timeout\r\n"));
  CHECK(received(client, "Content-Length: 0\r\n"));
}

TEST_CASE("a body with Content-Length is sent as is, any other body in chunks", "[http_server]") {
  server_fixture fixture;
  auto& counted = fixture.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  fixture.writers[0]->start(200, {{"Content-Length", "6"}});
  fixture.writers[0]->piece("abc");
  fixture.writers[0]->piece("def");
  fixture.writers[0]->finish();
  REQUIRE(fixture.env.run_until([&] { return received(counted, "\r\n\r\nabcdef"); }));
  CHECK(!received(counted, "chunked"));
  auto& chunked = fixture.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  fixture.writers[1]->start(200, {});
  fixture.writers[1]->piece("abc");
  fixture.writers[1]->finish();
  REQUIRE(fixture.env.run_until([&] { return received(chunked, "0\r\n\r\n"); }));
  CHECK(received(chunked, "3\r\nabc\r\n"));
}

TEST_CASE("the last response on a connection arrives whole before the close, even when input is left unread",
          "[http_server]") {
  server_fixture fixture;
  // A second request that the server never reads; a reset because of it would lose the response.
  std::string second_request =
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" + std::string(100000, 'x');
  auto& client = fixture.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n" + second_request);
  std::string body(3000000, 'b');
  fixture.writers[0]->last_on_connection();
  fixture.writers[0]->reply(rt::http_response{200, {}, body});
  REQUIRE(fixture.env.run_until([&] { return client.peer_closed; }));
  CHECK(!client.reset);
  CHECK(received(client, "Connection: close\r\n"));
  CHECK(client.received.size() > body.size());
  CHECK(client.received.compare(client.received.size() - body.size(), body.size(), body) == 0);
  CHECK(fixture.requests.size() == 1);
  client.close();
  fixture.env.settle();
}

TEST_CASE("FAULT: what a connection leaves behind at the end of the process is freed", "[http_server]") {
  auto descriptors = [] {
    return std::distance(std::filesystem::directory_iterator("/proc/self/fd"),
                         std::filesystem::directory_iterator());
  };
  auto before = descriptors();
  auto held = std::make_shared<int>(0);
  {
    // One client is still to read its response, another one has left while its request was in progress.
    server_fixture fixture;
    auto& reading = fixture.send("GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\n");
    fixture.writers[0]->last_on_connection();
    fixture.writers[0]->reply(rt::http_response{200, {}, "body"});
    REQUIRE(fixture.env.run_until([&] { return reading.peer_closed; }));
    fixture.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody").close();
    fixture.writers[1]->on_gone([held] {});
    fixture.writers.clear();
  }
  CHECK(descriptors() == before);
  CHECK(held.use_count() == 1);
}

TEST_CASE("a draining server sends Connection: close with its next response and counts the open connections",
          "[http_server]") {
  server_fixture fixture;
  auto& kept = fixture.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  fixture.writers[0]->reply(rt::http_response{200, {}, "x"});
  REQUIRE(fixture.env.run_until([&] { return received(kept, "\r\n\r\nx"); }));
  CHECK(!received(kept, "Connection: close"));
  auto& waiting = fixture.send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  auto& streaming = fixture.send("GET /3 HTTP/1.1\r\nHost: h\r\n\r\n");
  fixture.writers[2]->start(200, {});
  CHECK(fixture.env.table.http_connections(fixture.address).open == 3);
  CHECK(fixture.env.table.http_connections(fixture.address).unanswered == 2);
  fixture.env.table.http_drain(fixture.address);
  // Requested before the drain, answered after it.
  fixture.writers[1]->reply(rt::http_response{200, {}, "y"});
  REQUIRE(fixture.env.run_until([&] { return waiting.peer_closed; }));
  CHECK(received(waiting, "Connection: close\r\n"));
  // Its head was sent before the drain: its next response closes the connection.
  fixture.writers[2]->piece("z");
  fixture.writers[2]->finish();
  REQUIRE(fixture.env.run_until([&] { return received(streaming, "0\r\n\r\n"); }));
  CHECK(!streaming.peer_closed);
  CHECK(fixture.env.table.http_connections(fixture.address).open == 2);
  CHECK(fixture.env.table.http_connections(fixture.address).unanswered == 0);
  // A request on a connection that was idle when the drain began is answered.
  for (auto* client : {&kept, &streaming}) {
    auto before = fixture.requests.size();
    client->send("GET /4 HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(fixture.env.run_until([&] { return fixture.requests.size() > before; }));
    fixture.writers.back()->reply(rt::http_response{200, {}, "last"});
    REQUIRE(fixture.env.run_until([&] { return client->peer_closed; }));
    CHECK(received(*client, "Connection: close\r\n"));
    CHECK(received(*client, "last"));
    CHECK(!client->reset);
  }
  CHECK(fixture.env.table.http_connections(fixture.address).open == 0);
  // The server keeps reading until the clients have closed as well.
  for (auto* client : {&kept, &waiting, &streaming}) client->close();
  fixture.env.settle();
}

TEST_CASE("a client that closes or resets during its request is reported once", "[http_server]") {
  for (bool reset : {false, true}) {
    server_fixture fixture;
    auto& client = fixture.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    int disconnects = 0;
    fixture.writers[0]->on_gone([&] { ++disconnects; });
    fixture.env.settle();
    CHECK(disconnects == 0);
    CHECK(!fixture.writers[0]->closed());
    linger reset_on_close{1, 0};
    if (reset)
      setsockopt(bufferevent_getfd(client.stream), SOL_SOCKET, SO_LINGER, &reset_on_close,
                 sizeof reset_on_close);
    client.close();
    REQUIRE(fixture.env.run_until([&] { return disconnects > 0; }));
    CHECK(fixture.writers[0]->closed());
    fixture.writers[0]->reply(rt::http_response{});
    fixture.env.settle();
    CHECK(disconnects == 1);
  }
}

TEST_CASE("a disconnect is reported for the request in progress only, also on a reused connection",
          "[http_server]") {
  server_fixture fixture;
  auto& client = fixture.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  int first = 0, second = 0;
  fixture.writers[0]->on_gone([&] { ++first; });
  fixture.writers[0]->reply(rt::http_response{200, {}, "x"});
  REQUIRE(fixture.env.run_until([&] { return received(client, "\r\n\r\nx"); }));
  client.send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(fixture.env.run_until([&] { return fixture.requests.size() == 2; }));
  fixture.writers[1]->on_gone([&] { ++second; });
  client.close();
  REQUIRE(fixture.env.run_until([&] { return second == 1; }));
  CHECK(first == 0);
}

TEST_CASE("a stopped server refuses new connections and serves the open ones", "[http_server]") {
  server_fixture fixture;
  auto& client = fixture.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  fixture.env.table.http_stop_listening(fixture.address);
  auto refused = send_request(fixture.env, rt::http_request{}, fixture.address);
  REQUIRE(fixture.env.run_until([&] { return refused->finished(); }));
  CHECK(!refused->failure->sent);
  fixture.writers[0]->reply(rt::http_response{200, {}, "still"});
  REQUIRE(fixture.env.run_until([&] { return received(client, "still"); }));
}
