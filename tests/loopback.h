// One loop with the real HTTP client and server on it, and raw ends of connections for a test to speak
// through.
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

// A raw end: what came in so far, and whether the other side has ended.
struct raw_end {
  bufferevent* stream = nullptr;
  std::string received;
  bool ended = false, reset = false;
  void send(const std::string& bytes) const { bufferevent_write(stream, bytes.data(), bytes.size()); }
  // Ends the connection with a reset instead of a close.
  void reset_now() {
    linger at_once{1, 0};
    setsockopt(bufferevent_getfd(stream), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    bufferevent_free(std::exchange(stream, nullptr));
  }
  void stop_reading() const { bufferevent_disable(stream, EV_READ); }
  // libevent closes the descriptor later, from the loop; the other side is told at once.
  void close() {
    shutdown(bufferevent_getfd(stream), SHUT_WR);
    bufferevent_free(std::exchange(stream, nullptr));
  }
};

inline void on_bytes(bufferevent* stream, void* raw) {
  char bytes[4096];
  std::size_t size;
  while ((size = bufferevent_read(stream, bytes, sizeof bytes)) > 0)
    static_cast<raw_end*>(raw)->received.append(bytes, size);
}
inline void on_end(bufferevent*, short what, void* raw) {
  if (what & BEV_EVENT_CONNECTED) return;
  static_cast<raw_end*>(raw)->ended = true;
  if (what & BEV_EVENT_ERROR) static_cast<raw_end*>(raw)->reset = true;
}

struct timer {
  struct event* alarm = nullptr;
  std::function<void()> work;
};

struct loop {
  event_base* base = event_base_new();
  rt::backend table;
  rt::microseconds clock = 1000 * rt::second;  // the test's own: idle times pass without waiting
  std::map<std::uint64_t, std::unique_ptr<timer>> timers;
  std::uint64_t next = 1;
  std::shared_ptr<rt::http_client_part> client;
  std::shared_ptr<rt::http_server_part> server;
  std::deque<raw_end> accepted;  // connections that the raw server has taken
  std::deque<raw_end> opened;
  evconnlistener* listener = nullptr;
  std::string address;

  loop() {
    // As the real runtime does.
    signal(SIGPIPE, SIG_IGN);
    table.now = [this] { return clock; };
    table.after = [this](rt::microseconds delay, std::function<void()> work) {
      auto made = std::make_unique<timer>();
      made->work = std::move(work);
      made->alarm = event_new(base, -1, 0, fire, made.get());
      timeval wait{delay / rt::second, delay % rt::second};
      event_add(made->alarm, &wait);
      timers[next] = std::move(made);
      return next++;
    };
    table.cancel = [this](std::uint64_t number) {
      auto found = timers.find(number);
      if (found == timers.end()) return;
      event_free(found->second->alarm);
      timers.erase(found);
    };
    client = rt::make_http_client(base, table);
    rt::bind_http_client(client, table);
    server = rt::make_http_server(base);
    rt::bind_http_server(server, table);
    sockaddr_in where = anywhere();
    listener = evconnlistener_new_bind(base, take, this, LEV_OPT_CLOSE_ON_FREE, 16,
                                       reinterpret_cast<sockaddr*>(&where), sizeof where);
    address = "127.0.0.1:" + std::to_string(port_of(evconnlistener_get_fd(listener)));
  }
  ~loop() {
    client.reset();
    server.reset();
    if (listener) evconnlistener_free(listener);
    for (auto* ends : {&accepted, &opened})
      for (auto& end : *ends)
        if (end.stream) end.close();
    for (auto& [number, entry] : timers) event_free(entry->alarm);
    event_base_free(base);
  }
  static sockaddr_in anywhere() {
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return where;
  }
  static int port_of(int descriptor) {
    sockaddr_in where{};
    socklen_t length = sizeof where;
    getsockname(descriptor, reinterpret_cast<sockaddr*>(&where), &length);
    return ntohs(where.sin_port);
  }
  // A port that nobody listens on.
  static std::string free_address() {
    int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in where = anywhere();
    bind(descriptor, reinterpret_cast<sockaddr*>(&where), sizeof where);
    int endpoint = port_of(descriptor);
    evutil_closesocket(descriptor);
    return "127.0.0.1:" + std::to_string(endpoint);
  }
  static void fire(evutil_socket_t, short, void* raw) { static_cast<timer*>(raw)->work(); }
  static void take(evconnlistener*, evutil_socket_t descriptor, sockaddr*, int, void* raw) {
    auto* self = static_cast<loop*>(raw);
    self->watch(self->accepted.emplace_back(), descriptor);
  }
  void watch(raw_end& end, evutil_socket_t descriptor) {
    end.stream = bufferevent_socket_new(base, descriptor, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(end.stream, on_bytes, nullptr, on_end, &end);
    bufferevent_enable(end.stream, EV_READ | EV_WRITE);
  }
  raw_end& connect_to(const std::string& to) {
    auto& end = opened.emplace_back();
    watch(end, -1);
    sockaddr_storage where{};
    int length = 0;
    rt::find_address(to, where, length);
    bufferevent_socket_connect(end.stream, reinterpret_cast<sockaddr*>(&where), length);
    return end;
  }
  // Turns the loop until this holds; false when it doesn't within a bound that no test should come near.
  bool until(const std::function<bool()>& holds) {
    bool late = false;
    auto bound = table.after(10 * rt::second, [&late] { late = true; });
    while (!late && !holds()) event_base_loop(base, EVLOOP_ONCE);
    if (!late) table.cancel(bound);
    return !late;
  }
  // Whatever is under way on the loopback has come through once a few exchanges of bytes have.
  void settle() {
    for (int round = 0; round < 3; ++round) {
      auto before = accepted.size();
      auto& probe = connect_to(address);
      REQUIRE(until([&] { return accepted.size() > before; }));
      auto& other = accepted.back();
      probe.send("probe");
      REQUIRE(until([&] { return !other.received.empty(); }));
      probe.close();
      other.close();
      accepted.pop_back();
    }
  }
};

// What a request was told.
struct told {
  int status = 0;
  std::map<std::string, std::string> headers;
  std::string body;
  int ends = 0, after_end = 0;
  std::optional<rt::http_failure> failure;
  std::uint64_t number = 0;
  bool over() const { return ends > 0; }
  bool whole() const { return ends == 1 && !failure && after_end == 0; }
};

inline std::shared_ptr<told> ask(loop& here, rt::http_request request, const std::string& address = "") {
  auto result = std::make_shared<told>();
  auto number = here.table.http_open(address.empty() ? here.address : address, std::move(request),
                                     [result](rt::http_event event) {
                                       if (result->ends) ++result->after_end;
                                       if (auto* head = std::get_if<rt::http_head>(&event)) {
                                         result->status = head->status;
                                         result->headers = head->headers;
                                       } else if (auto* piece = std::get_if<rt::http_piece>(&event)) {
                                         result->body += piece->bytes;
                                       } else {
                                         ++result->ends;
                                         if (auto* failure = std::get_if<rt::http_failure>(&event))
                                           result->failure = *failure;
                                       }
                                     });
  // Nobody is told from within http_open.
  CHECK(result->ends + result->status == 0);
  result->number = number;
  return result;
}

}  // namespace loopback
