// Notices clients that go away while their request is worked on, and closes without losing the answer.
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "runtime/http_server_parts.h"

namespace herontally::runtime {

server_connection::~server_connection() {
  if (watch) event_free(watch);
  if (watched >= 0) close(watched);
}

namespace {

struct lingering {
  int descriptor;
  struct event* alarm = nullptr;
};

// Until the client has closed too, or for this long.
constexpr timeval longest_linger{2, 0};

void drain(evutil_socket_t descriptor, short what, void* raw) {
  std::unique_ptr<lingering> owned(static_cast<lingering*>(raw));
  char waste[4096];
  ssize_t size = 1;
  while (!(what & EV_TIMEOUT) && (size = recv(descriptor, waste, sizeof waste, MSG_DONTWAIT)) > 0) {
  }
  if (!(what & EV_TIMEOUT) && size < 0 && (errno == EAGAIN || errno == EINTR)) {
    event_add(owned->alarm, &longest_linger);
    // The event's next call owns it.
    static_cast<void>(owned.release());
    return;
  }
  event_free(owned->alarm);
  close(descriptor);
}

// A socket closed with unread bytes sends a reset, which may overtake the answer. So a second descriptor
// takes those bytes until the client, who has been sent our end, closes as well.
void linger_on(event_base* base, int descriptor) {
  int copy = fcntl(descriptor, F_DUPFD_CLOEXEC, 0);
  if (copy < 0) return;
  auto owned = std::make_unique<lingering>(lingering{copy});
  owned->alarm = event_new(base, copy, EV_READ, drain, owned.get());
  event_add(owned->alarm, &longest_linger);
  // `drain` owns it from here on.
  static_cast<void>(owned.release());
}

void tell_gone(evutil_socket_t, short, void* raw) {
  std::unique_ptr<std::shared_ptr<server_exchange>> owned(
      static_cast<std::shared_ptr<server_exchange>*>(raw));
  auto work = std::exchange((*owned)->on_gone, nullptr);
  if (work) work();
}

// Called from the loop: evhttp may be in the midst of freeing the connection.
void post_gone(event_base* base, const std::shared_ptr<server_exchange>& exchange) {
  if (!exchange->request || std::exchange(exchange->gone, true) || !exchange->on_gone) return;
  timeval at_once{0, 0};
  auto owned = std::make_unique<std::shared_ptr<server_exchange>>(exchange);
  if (event_base_once(base, -1, EV_TIMEOUT, tell_gone, owned.get(), &at_once) != 0) return;
  // `tell_gone` owns it from here on.
  static_cast<void>(owned.release());
}

bool ended(int descriptor) {
  pollfd state{descriptor, POLLRDHUP, 0};
  return poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR));
}

void on_edge(evutil_socket_t descriptor, short, void* raw) {
  auto* connection = static_cast<server_connection*>(raw);
  auto exchange = connection->exchange.lock();
  // Between two requests evhttp itself reads, and a next request's bytes come here too.
  if (!exchange || !exchange->request || exchange->gone || !ended(descriptor)) return;
  post_gone(connection->part->base, exchange);
}

void on_close(evhttp_connection* closed, void* raw) {
  auto* part = static_cast<http_server_part*>(raw);
  auto found = part->connections.find(closed);
  if (found == part->connections.end()) return;
  auto owned = std::move(found->second);
  part->connections.erase(found);
  if (owned->linger) {
    int descriptor = bufferevent_getfd(evhttp_connection_get_bufferevent(closed));
    if (descriptor >= 0) linger_on(part->base, descriptor);
  }
  if (auto exchange = owned->exchange.lock()) post_gone(part->base, exchange);
}

}  // namespace

server_connection* connection_of(http_server_part* part, evhttp_connection* connection) {
  auto& place = part->connections[connection];
  if (!place) {
    place = std::make_unique<server_connection>();
    place->part = part;
    place->connection = connection;
    evhttp_connection_set_closecb(connection, on_close, part);
  }
  return place.get();
}

void watch_client(const std::shared_ptr<server_exchange>& exchange) {
  auto part = exchange->part.lock();
  if (!part || !exchange->request) return;
  auto* channel = evhttp_request_get_connection(exchange->request);
  if (!channel) return;
  auto* connection = connection_of(part.get(), channel);
  connection->exchange = exchange;
  if (connection->watch) {
    // The edge may have come before this request did.
    if (ended(connection->watched)) post_gone(part->base, exchange);
    return;
  }
  int descriptor = bufferevent_getfd(evhttp_connection_get_bufferevent(channel));
  connection->watched = fcntl(descriptor, F_DUPFD_CLOEXEC, 0);
  if (connection->watched < 0) return;
  connection->watch = event_new(part->base, connection->watched, EV_READ | EV_CLOSED | EV_ET | EV_PERSIST,
                                on_edge, connection);
  event_add(connection->watch, nullptr);
}

}  // namespace herontally::runtime
