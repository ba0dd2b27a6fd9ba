// Channels of the inner protocol over real sockets: a peer that takes no connection.
#include "loopback.h"

namespace rt = herontally::runtime;

TEST_CASE("a channel that doesn't open ends before the call's own timeout, and the next call opens another") {
  loopback::loop site;
  auto channels = rt::make_channels(site.base, site.table.after, site.table.cancel);
  rt::bind_channels(channels, site.table);
  // With its queue full, a listener drops opening packets as a machine without power does.
  int listener = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in where = loopback::loop::anywhere();
  REQUIRE(bind(listener, reinterpret_cast<sockaddr*>(&where), sizeof where) == 0);
  REQUIRE(listen(listener, 0) == 0);
  where.sin_port = htons(static_cast<std::uint16_t>(loopback::loop::port_of(listener)));
  int waiting = socket(AF_INET, SOCK_STREAM, 0);
  REQUIRE(connect(waiting, reinterpret_cast<sockaddr*>(&where), sizeof where) == 0);
  std::optional<rt::call_outcome> outcome;
  auto address = "127.0.0.1:" + std::to_string(loopback::loop::port_of(listener));
  site.table.call(address, "hello", rt::second, [&](rt::call_outcome ended) {
    outcome = std::move(ended);
    event_base_loopbreak(site.base);
  });
  event_base_dispatch(site.base);
  REQUIRE(outcome.has_value());
  auto* failed = std::get_if<rt::channel_error>(&*outcome);
  REQUIRE(failed != nullptr);
  CHECK(*failed == rt::channel_error::unreachable);
  // Room in the queue: a call opens a new connection, and its frame arrives.
  int taken = accept(listener, nullptr, nullptr);
  REQUIRE(taken >= 0);
  site.table.call(address, "hello", 300 * rt::millisecond,
                  [&](rt::call_outcome) { event_base_loopbreak(site.base); });
  event_base_dispatch(site.base);
  int second = accept(listener, nullptr, nullptr);
  char bytes[64];
  CHECK(recv(second, bytes, sizeof bytes, MSG_DONTWAIT) == 13 + 5);
  for (int descriptor : {listener, waiting, taken, second}) evutil_closesocket(descriptor);
}
