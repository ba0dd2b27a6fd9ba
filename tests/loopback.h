// Test environment: an event loop with the real HTTP client and server, and raw TCP connections for the other
// side of the protocol.
#pragma once
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <signal.h>
#include <sys/socket.h>

#include <catch2/catch.hpp>
#include <deque>
#include <utility>

#include "runtime/event_loop_parts.h"

namespace loopback {

namespace rt = herontally::runtime;

// A raw TCP connection: the bytes received so far, and whether the peer has closed or reset it.
struct raw_connection {
  bufferevent* stream = nullptr;
  std::string received;
  bool peer_closed = false, reset = false;
  void send(const std::string& bytes) const { bufferevent_write(stream, bytes.data(), bytes.size()); }
  // Closes the connection with a reset (RST) instead of a FIN.
  void send_reset() {
    linger reset_on_close{1, 0};
    setsockopt(bufferevent_getfd(stream), SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
    bufferevent_free(std::exchange(stream, nullptr));
  }
  void stop_reading() const { bufferevent_disable(stream, EV_READ); }
  // Sends the FIN at once, since libevent closes the descriptor only later, from the loop.
  void close() {
    shutdown(bufferevent_getfd(stream), SHUT_WR);
    bufferevent_free(std::exchange(stream, nullptr));
  }
};

inline void on_read(bufferevent* stream, void* raw) {
  char bytes[4096];
  std::size_t size;
  while ((size = bufferevent_read(stream, bytes, sizeof bytes)) > 0)
    static_cast<raw_connection*>(raw)->received.append(bytes, size);
}
inline void on_event(bufferevent*, short what, void* raw) {
  if (what & BEV_EVENT_CONNECTED) return;
  static_cast<raw_connection*>(raw)->peer_closed = true;
  if (what & BEV_EVENT_ERROR) static_cast<raw_connection*>(raw)->reset = true;
}

struct timer {
  struct event* timer_event = nullptr;
  std::function<void()> work;
};

// The event loop, the client and server under test, and a raw server that listens at `address`.
struct loop {
  event_base* base = event_base_new();
  rt::backend table;
  rt::microseconds clock = 1000 * rt::second;  // advanced by tests, so that idle times pass without waiting
  std::map<std::uint64_t, std::unique_ptr<timer>> timers;
  std::uint64_t next_id = 1;
  std::shared_ptr<rt::http_client> client;
  std::shared_ptr<rt::http_server> server;
  std::deque<raw_connection> accepted;  // connections to the raw server at `address`
  std::deque<raw_connection> opened;    // connections made by connect_to
  evconnlistener* listener = nullptr;
  std::string address;

  loop() {
    // As event_loop does.
    signal(SIGPIPE, SIG_IGN);
    table.now = [this] { return clock; };
    table.after = [this](rt::microseconds delay, std::function<void()> work) {
      auto entry = std::make_unique<timer>();
      entry->work = std::move(work);
      entry->timer_event = event_new(base, -1, 0, on_timer, entry.get());
      timeval wait{delay / rt::second, delay % rt::second};
      event_add(entry->timer_event, &wait);
      timers[next_id] = std::move(entry);
      return next_id++;
    };
    table.cancel = [this](std::uint64_t id) {
      auto found = timers.find(id);
      if (found == timers.end()) return;
      event_free(found->second->timer_event);
      timers.erase(found);
    };
    client = rt::make_http_client(base, table);
    rt::bind_http_client(client, table);
    server = rt::make_http_server(base);
    rt::bind_http_server(server, table);
    sockaddr_in socket_address = anywhere();
    listener = evconnlistener_new_bind(base, on_accept, this, LEV_OPT_CLOSE_ON_FREE, 16,
                                       reinterpret_cast<sockaddr*>(&socket_address), sizeof socket_address);
    address = "127.0.0.1:" + std::to_string(port_of(evconnlistener_get_fd(listener)));
  }
  ~loop() {
    client.reset();
    server.reset();
    if (listener) evconnlistener_free(listener);
    for (auto* connections : {&accepted, &opened})
      for (auto& connection : *connections)
        if (connection.stream) connection.close();
    for (auto& [id, entry] : timers) event_free(entry->timer_event);
    event_base_free(base);
  }
  static sockaddr_in anywhere() {
    sockaddr_in socket_address{};
    socket_address.sin_family = AF_INET;
    socket_address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return socket_address;
  }
  static int port_of(int descriptor) {
    sockaddr_in socket_address{};
    socklen_t length = sizeof socket_address;
    getsockname(descriptor, reinterpret_cast<sockaddr*>(&socket_address), &length);
    return ntohs(socket_address.sin_port);
  }
  // An address with a port on which nothing listens.
  static std::string free_address() {
    int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in socket_address = anywhere();
    bind(descriptor, reinterpret_cast<sockaddr*>(&socket_address), sizeof socket_address);
    int port = port_of(descriptor);
    evutil_closesocket(descriptor);
    return "127.0.0.1:" + std::to_string(port);
  }
  static void on_timer(evutil_socket_t, short, void* raw) { static_cast<timer*>(raw)->work(); }
  static void on_accept(evconnlistener*, evutil_socket_t descriptor, sockaddr*, int, void* raw) {
    auto* self = static_cast<loop*>(raw);
    self->attach(self->accepted.emplace_back(), descriptor);
  }
  void attach(raw_connection& connection, evutil_socket_t descriptor) {
    connection.stream = bufferevent_socket_new(base, descriptor, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(connection.stream, on_read, nullptr, on_event, &connection);
    bufferevent_enable(connection.stream, EV_READ | EV_WRITE);
  }
  raw_connection& connect_to(const std::string& to) {
    auto& connection = opened.emplace_back();
    attach(connection, -1);
    sockaddr_storage socket_address{};
    int length = 0;
    rt::resolve_address(to, socket_address, length);
    bufferevent_socket_connect(connection.stream, reinterpret_cast<sockaddr*>(&socket_address), length);
    return connection;
  }
  // Runs the loop until the condition holds; false after ten seconds, far more than any test needs.
  bool run_until(const std::function<bool()>& condition) {
    bool timed_out = false;
    auto limit = table.after(10 * rt::second, [&timed_out] { timed_out = true; });
    while (!timed_out && !condition()) event_base_loop(base, EVLOOP_ONCE);
    if (!timed_out) table.cancel(limit);
    return !timed_out;
  }
  // Lets all bytes in flight on the loopback interface arrive, by waiting for a few exchanges of bytes.
  void settle() {
    for (int round = 0; round < 3; ++round) {
      auto before = accepted.size();
      auto& probe = connect_to(address);
      REQUIRE(run_until([&] { return accepted.size() > before; }));
      auto& other = accepted.back();
      probe.send("probe");
      REQUIRE(run_until([&] { return !other.received.empty(); }));
      probe.close();
      other.close();
      accepted.pop_back();
    }
  }
};

// The events that a request's handler got.
struct recorded_response {
  int status = 0;
  std::map<std::string, std::string> headers;
  std::string body;
  int final_events = 0, events_after_end = 0;
  std::optional<rt::http_failure> failure;
  std::uint64_t id = 0;
  bool finished() const { return final_events > 0; }
  bool complete() const { return final_events == 1 && !failure && events_after_end == 0; }
};

inline std::shared_ptr<recorded_response> send_request(loop& env, rt::http_request request,
                                                       const std::string& address = "") {
  auto result = std::make_shared<recorded_response>();
  auto id = env.table.http_open(address.empty() ? env.address : address, std::move(request),
                                [result](rt::http_event event) {
                                  if (result->final_events) ++result->events_after_end;
                                  if (auto* head = std::get_if<rt::http_head>(&event)) {
                                    result->status = head->status;
                                    result->headers = head->headers;
                                  } else if (auto* piece = std::get_if<rt::http_piece>(&event)) {
                                    result->body += piece->bytes;
                                  } else {
                                    ++result->final_events;
                                    if (auto* failure = std::get_if<rt::http_failure>(&event))
                                      result->failure = *failure;
                                  }
                                });
  // http_open must not call the handler itself.
  CHECK(result->final_events + result->status == 0);
  result->id = id;
  return result;
}

}  // namespace loopback
