// Listening on real sockets while the address is not free, and the lock of the data directory.
#include "runtime/listening.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>

#include "runtime/event_loop.h"
#include "storage_node/node.h"

using namespace herontally;
using runtime::millisecond;

namespace {

sockaddr_in loopback_address(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

int port_of(int descriptor) {
  sockaddr_in address{};
  socklen_t length = sizeof address;
  getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &length);
  return ntohs(address.sin_port);
}

// A socket of another program that listens at a port of its own.
struct other_listener {
  int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  int port = 0;
  other_listener() {
    auto address = loopback_address(0);
    REQUIRE(bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
    REQUIRE(listen(descriptor, 8) == 0);
    port = port_of(descriptor);
  }
  ~other_listener() { release(); }
  void release() {
    if (descriptor >= 0) close(std::exchange(descriptor, -1));
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(port); }
};

struct temporary_directory {
  std::string path;
  temporary_directory() {
    char name[] = "/tmp/herontally-test-XXXXXX";
    path = mkdtemp(name);
  }
  ~temporary_directory() { std::filesystem::remove_all(path); }
};

void run_until(runtime::event_loop& loop, const std::function<bool()>& condition) {
  auto runtime = loop.runtime();
  bool timed_out = false;
  auto limit = runtime.after(10 * runtime::second, [&] { timed_out = true; });
  std::function<void()> check = [&] {
    if (timed_out || condition()) return loop.stop();
    runtime.after(5 * millisecond, check);
  };
  runtime.after(millisecond, check);
  loop.run();
  runtime.cancel(limit);
  REQUIRE_FALSE(timed_out);
}

}  // namespace

TEST_CASE("FAULT: a store whose addresses other programs hold waits for them and then starts") {
  other_listener inner, http;
  temporary_directory directory;
  runtime::event_loop loop(directory.path + "/missing/parents/store");
  settings::settings config;
  config.name = "s1";
  config.inner = inner.address();
  config.http = http.address();
  config.seeds = {"127.0.0.1:1"};
  config.data = directory.path + "/missing/parents/store";
  std::vector<std::string> events;
  logging::logger logger("s1", [&](auto&, const logging::json& line) { events.push_back(line["event"]); });
  storage_node::node node(loop.runtime(), config, logger);
  bool failed = false;
  auto start = [](storage_node::node* started, bool* out) -> runtime::task<> {
    auto error = co_await started->start();
    *out = error.has_value();
  };
  loop.runtime().spawn(start(&node, &failed));
  loop.runtime().after(250 * millisecond, [&] { inner.release(); });
  loop.runtime().after(500 * millisecond, [&] { http.release(); });
  auto succeeded = [&] {
    return std::count(events.begin(), events.end(), "listening succeeded after retries");
  };
  run_until(loop, [&] { return succeeded() == 2; });
  REQUIRE_FALSE(failed);
  REQUIRE(std::count(events.begin(), events.end(), "started") == 1);
  REQUIRE(std::count(events.begin(), events.end(), "listening failed; retrying") == 2);
  loop.runtime().stop();
}

TEST_CASE("FAULT: a node listens at a port that is the local port of an outgoing connection") {
  other_listener server;
  runtime::event_loop loop("/tmp");
  auto runtime = loop.runtime();
  bool outgoing_http = GENERATE(false, true);
  bool listening_http = GENERATE(false, true);
  if (outgoing_http)
    runtime.table().http_open(server.address(), {}, [](auto) {});
  else
    runtime.table().call(server.address(), "message", runtime::second, [](auto) {});
  runtime.after(50 * millisecond, [&] { loop.stop(); });
  loop.run();
  int accepted = accept(server.descriptor, nullptr, nullptr);
  REQUIRE(accepted >= 0);
  sockaddr_in peer{};
  socklen_t length = sizeof peer;
  getpeername(accepted, reinterpret_cast<sockaddr*>(&peer), &length);
  auto address = "127.0.0.1:" + std::to_string(ntohs(peer.sin_port));
  bool listening = listening_http ? runtime.http_serve(address, [](auto, auto) {})
                                  : runtime.serve(address, [](auto, auto) {});
  REQUIRE(listening);
  close(accepted);
  runtime.stop();
}

TEST_CASE("FAULT: a data directory is created with its parents, and two processes don't use it at once") {
  temporary_directory directory;
  auto path = directory.path + "/several/levels/deep";
  auto first = std::make_unique<runtime::event_loop>(path);
  REQUIRE_FALSE(first->runtime().table().disk.acquire());
  REQUIRE_FALSE(first->runtime().table().disk.append("file", "bytes"));
  runtime::event_loop second(path);
  REQUIRE(second.runtime().table().disk.acquire() == runtime::disk_error::in_use);
  REQUIRE(second.runtime().table().disk.acquire() == runtime::disk_error::in_use);
  first.reset();
  REQUIRE_FALSE(second.runtime().table().disk.acquire());
}

TEST_CASE("FAULT: a data directory below a file is an error until the file is gone") {
  temporary_directory directory;
  auto obstacle = directory.path + "/data";
  fclose(fopen(obstacle.c_str(), "w"));
  runtime::event_loop loop(obstacle + "/core");
  REQUIRE(loop.runtime().table().disk.acquire() == runtime::disk_error::failed);
  std::filesystem::remove(obstacle);
  REQUIRE_FALSE(loop.runtime().table().disk.acquire());
}
