// Channels between nodes over real sockets, with a peer that doesn't accept connections.
#include "loopback.h"

namespace rt = herontally::runtime;

TEST_CASE("a channel that can't connect fails before the call times out, and the next call opens a new one") {
  loopback::loop loop;
  auto channels = rt::make_channels(loop.base, loop.table.after, loop.table.cancel);
  rt::bind_channels(channels, loop.table);
  // A listener whose backlog is full drops SYN packets, so the peer looks like a machine without power.
  int listener = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in listener_address = loopback::loop::anywhere();
  REQUIRE(bind(listener, reinterpret_cast<sockaddr*>(&listener_address), sizeof listener_address) == 0);
  REQUIRE(listen(listener, 0) == 0);
  listener_address.sin_port = htons(static_cast<std::uint16_t>(loopback::loop::port_of(listener)));
  int queued = socket(AF_INET, SOCK_STREAM, 0);
  REQUIRE(connect(queued, reinterpret_cast<sockaddr*>(&listener_address), sizeof listener_address) == 0);
  std::optional<rt::call_outcome> outcome;
  auto address = "127.0.0.1:" + std::to_string(loopback::loop::port_of(listener));
  loop.table.call(address, "hello", rt::second, [&](rt::call_outcome result) {
    outcome = std::move(result);
    event_base_loopbreak(loop.base);
  });
  event_base_dispatch(loop.base);
  REQUIRE(outcome.has_value());
  auto* failed = std::get_if<rt::channel_error>(&*outcome);
  REQUIRE(failed != nullptr);
  CHECK(*failed == rt::channel_error::unreachable);
  // The backlog has room again: a call opens a new connection, and its frame arrives.
  int first = accept(listener, nullptr, nullptr);
  REQUIRE(first >= 0);
  loop.table.call(address, "hello", 300 * rt::millisecond,
                  [&](rt::call_outcome) { event_base_loopbreak(loop.base); });
  event_base_dispatch(loop.base);
  int second = accept(listener, nullptr, nullptr);
  char bytes[64];
  // The frame's header and "hello".
  CHECK(recv(second, bytes, sizeof bytes, MSG_DONTWAIT) == 13 + 5);
  for (int descriptor : {listener, queued, first, second}) evutil_closesocket(descriptor);
}
