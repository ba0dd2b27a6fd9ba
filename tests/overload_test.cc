// Tests what is kept for peers and which connections are closed when it becomes too much, over the loopback
// interface.
#include "http_api/document_limit.h"
#include "loopback.h"
#include "runtime/overload_manager.h"

namespace {

using namespace loopback;

constexpr std::size_t kibibyte = 1024;

// A server with low limits. It answers "/hold" only when the test does.
struct limited_server {
  loop env;
  std::shared_ptr<rt::overload_manager> overload;
  std::shared_ptr<rt::http_server> server;
  rt::backend table;
  std::string address = loop::free_address();
  std::vector<std::shared_ptr<rt::http_writer>> held;

  explicit limited_server(const rt::resource_limits& limits)
      : overload(std::make_shared<rt::overload_manager>(env.base, limits)),
        server(rt::make_http_server(env.base, overload)) {
    rt::bind_http_server(server, table);
    REQUIRE(table.http_serve(address,
                             [this](rt::inbound_request request, std::shared_ptr<rt::http_writer> writer) {
                               if (request.path == "/hold") return held.push_back(std::move(writer));
                               writer->reply({200, {}, "served"});
                             }));
  }
  ~limited_server() {
    held.clear();
    server.reset();
    overload->stop();
  }
  raw_connection& send(const std::string& bytes) {
    auto& client = env.connect_to(address);
    client.send(bytes);
    return client;
  }
  void request_is_served() {
    auto& client = send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(env.run_until([&] { return client.received.find("served") != std::string::npos; }));
  }
};

std::string unfinished_body(std::size_t sent) {
  return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4000000\r\n\r\n" + std::string(sent, 'x');
}

rt::resource_limits limits_of_memory(std::size_t kibibytes) {
  rt::resource_limits limits;
  limits.peer_bytes = kibibytes * kibibyte;
  limits.client_request_bytes = limits.peer_bytes / 4 * 3;
  return limits;
}

}  // namespace

TEST_CASE("of unfinished requests that are too large together, the largest is closed", "[overload]") {
  limited_server fixture(limits_of_memory(4096));
  auto& small = fixture.send(unfinished_body(100 * kibibyte));
  auto& large = fixture.send(unfinished_body(1500 * kibibyte));
  fixture.env.settle();
  CHECK(fixture.overload->closed_connections() == 0);
  auto& next = fixture.send(unfinished_body(1400 * kibibyte));
  REQUIRE(fixture.env.run_until([&] { return fixture.overload->closed_connections() > 0; }));
  REQUIRE(fixture.env.run_until([&] { return large.peer_closed || next.peer_closed; }));
  CHECK(!small.peer_closed);
  fixture.request_is_served();
}

TEST_CASE("idle connections give way to new ones, a request in progress doesn't", "[overload]") {
  rt::resource_limits limits;
  limits.accepted_descriptors = 16;
  limited_server fixture(limits);
  auto& busy = fixture.send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(fixture.env.run_until([&] { return fixture.held.size() == 1; }));
  std::vector<raw_connection*> idle;
  for (int number = 0; number < 40; ++number) idle.push_back(&fixture.env.connect_to(fixture.address));
  auto closed = [&] {
    return std::count_if(idle.begin(), idle.end(), [](auto* each) { return each->peer_closed; });
  };
  REQUIRE(fixture.env.run_until([&] { return closed() >= 25; }));
  fixture.request_is_served();
  CHECK(idle.front()->peer_closed);
  CHECK(!busy.peer_closed);
  fixture.held[0]->reply({200, {}, "at last"});
  REQUIRE(fixture.env.run_until([&] { return busy.received.find("at last") != std::string::npos; }));
}

TEST_CASE("a whole request for which there is no memory is refused with a promise", "[overload]") {
  limited_server fixture(limits_of_memory(8192));
  auto body = std::string(2000 * kibibyte, 'x');
  auto request =
      "POST /hold HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  fixture.send(request);
  REQUIRE(fixture.env.run_until([&] { return fixture.held.size() == 1; }));
  auto& refused = fixture.send(request);
  REQUIRE(fixture.env.run_until([&] { return refused.received.find("\r\n\r\n{") != std::string::npos; }));
  CHECK(refused.received.find("HTTP/1.1 503 Service Unavailable\r\n") == 0);
  CHECK(refused.received.find("Retry-After: ") != std::string::npos);
  CHECK(fixture.held.size() == 1);
  // The memory is free again once the request has ended.
  fixture.held[0]->reply({200, {}, ""});
  fixture.held.clear();
  fixture.send(request);
  REQUIRE(fixture.env.run_until([&] { return fixture.held.size() == 1; }));
}

TEST_CASE("what a handler keeps for a request is bounded by the memory of all", "[overload]") {
  limited_server fixture(limits_of_memory(1024));
  fixture.send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(fixture.env.run_until([&] { return fixture.held.size() == 1; }));
  CHECK(fixture.held[0]->reserve(900 * kibibyte));
  CHECK(!fixture.held[0]->reserve(200 * kibibyte));
  fixture.held[0]->reply({200, {}, ""});
  fixture.held.clear();
  fixture.request_is_served();
}

TEST_CASE("a client that reads no responses can't make the server read on", "[overload]") {
  limited_server fixture({});
  auto& client = fixture.env.connect_to(fixture.address);
  std::string requests;
  for (int number = 0; number < 50000; ++number) requests += "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  int small_buffer = 4096;
  setsockopt(bufferevent_getfd(client.stream), SOL_SOCKET, SO_RCVBUF, &small_buffer, sizeof small_buffer);
  client.stop_reading();
  for (int round = 0; round < 20; ++round) client.send(requests);
  fixture.env.settle();
  for (int round = 0; round < 200; ++round) event_base_loop(fixture.env.base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
  // Most of what was sent waits at the client.
  CHECK(evbuffer_get_length(bufferevent_get_output(client.stream)) > requests.size());
  CHECK(fixture.overload->closed_connections() == 0);
  fixture.request_is_served();
}

TEST_CASE("requests of a node that reads no replies wait until it does", "[overload]") {
  loop env;
  auto channels = rt::make_channels(env.base, env.table.after, env.table.cancel);
  rt::bind_channels(channels, env.table);
  auto address = loop::free_address();
  int handled = 0;
  const std::string reply(1024 * kibibyte, 'r');
  REQUIRE(env.table.serve(address, [&](std::string, std::function<void(std::string)> send) {
    ++handled;
    send(reply);
  }));
  constexpr int requests = 100;
  constexpr std::size_t header_bytes = 13;
  std::string frame = std::string("\0\0\0\1", 4) + std::string(header_bytes - 4, '\0') + "q";
  auto& peer = env.connect_to(address);
  peer.stop_reading();
  for (int number = 0; number < requests; ++number) peer.send(frame);
  env.settle();
  for (int round = 0; round < 200; ++round) event_base_loop(env.base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
  CHECK(handled > 0);
  CHECK(handled < requests);
  bufferevent_enable(peer.stream, EV_READ);
  REQUIRE(env.run_until([&] { return peer.received.size() == requests * (header_bytes + reply.size()); }));
  CHECK(handled == requests);
}

TEST_CASE("the parsed size of a document grows with its values", "[overload]") {
  using herontally::http_api::parsed_size;
  CHECK(parsed_size("") == 0);
  CHECK(parsed_size(std::string(1000, ' ')) == 1000);
  CHECK(parsed_size("[{},{}]") > 4 * 90);
}
