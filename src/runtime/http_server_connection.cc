// Detects clients that disconnect while their request is processed, and closes connections without losing the
// response.
#include <event2/buffer.h>
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
  if (input_callback) evbuffer_remove_cb_entry(bufferevent_get_input(stream), input_callback);
  if (output_callback) evbuffer_remove_cb_entry(bufferevent_get_output(stream), output_callback);
  if (watch_event) event_free(watch_event);
  if (watched_descriptor >= 0) close(watched_descriptor);
}

lingering_close::~lingering_close() {
  if (read_event) event_free(read_event);
  close(descriptor);
}

namespace {

// The longest wait for the client's next bytes or its close.
constexpr timeval linger_timeout{2, 0};

void discard_input(evutil_socket_t descriptor, short what, void* raw) {
  auto* entry = static_cast<lingering_close*>(raw);
  char discarded[4096];
  ssize_t size = 1;
  while (!(what & EV_TIMEOUT) && (size = recv(descriptor, discarded, sizeof discarded, MSG_DONTWAIT)) > 0) {
  }
  bool more_may_come = !(what & EV_TIMEOUT) && size < 0 && (errno == EAGAIN || errno == EINTR);
  if (more_may_come)
    event_add(entry->read_event, &linger_timeout);
  else
    entry->owner->lingering.erase(entry);
}

// Closing a socket with unread bytes sends a reset, which may discard the response before the client has read
// it. A duplicate descriptor reads those bytes until the client, which has received our FIN, closes as well.
void start_lingering_close(http_server* owner, int descriptor) {
  int copy = fcntl(descriptor, F_DUPFD_CLOEXEC, 0);
  if (copy < 0) return;
  auto owned = std::make_unique<lingering_close>();
  auto* entry = owned.get();
  entry->owner = owner;
  entry->descriptor = copy;
  entry->usage = std::make_unique<connection_usage>(owner->overload, 1,
                                                    [entry] { entry->owner->lingering.erase(entry); });
  entry->read_event = event_new(owner->base, copy, EV_READ, discard_input, entry);
  event_add(entry->read_event, &linger_timeout);
  owner->lingering.emplace(entry, std::move(owned));
}

// Deferred to the loop, since evhttp may be in the middle of freeing the connection.
void schedule_disconnect_callback(http_server* owner, const std::shared_ptr<server_exchange>& exchange) {
  if (!exchange->request || std::exchange(exchange->client_disconnected, true) || !exchange->on_gone) return;
  owner->disconnected.push_back(exchange);
  event_active(owner->disconnect_event, EV_TIMEOUT, 0);
}

bool peer_closed(int descriptor) {
  pollfd state{descriptor, POLLRDHUP, 0};
  return poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR));
}

void on_socket_event(evutil_socket_t descriptor, short, void* raw) {
  auto* connection = static_cast<server_connection*>(raw);
  auto exchange = connection->exchange.lock();
  // Between requests evhttp reads the socket itself; the event also fires for the bytes of a next request.
  if (!exchange || !exchange->request || exchange->client_disconnected || !peer_closed(descriptor)) return;
  schedule_disconnect_callback(connection->owner, exchange);
}

void on_close(evhttp_connection* closed, void* raw) {
  auto* owner = static_cast<http_server*>(raw);
  auto found = owner->connections.find(closed);
  if (found == owner->connections.end()) return;
  auto owned = std::move(found->second);
  owner->connections.erase(found);
  if (owned->linger_on_close) {
    int descriptor = bufferevent_getfd(evhttp_connection_get_bufferevent(closed));
    if (descriptor >= 0) start_lingering_close(owner, descriptor);
  }
  if (auto exchange = owned->exchange.lock()) schedule_disconnect_callback(owner, exchange);
}

}  // namespace

server_connection* connection_of(http_server* owner, evhttp_connection* connection) {
  auto found = owner->connections.find(connection);
  return found == owner->connections.end() ? nullptr : found->second.get();
}

void adopt_connections(http_server* owner) {
  for (auto& entry : std::exchange(owner->accepted, {})) {
    void* connection = nullptr;
    // evhttp's callbacks get its connection as their argument.
    bufferevent_getcb(entry->stream, nullptr, nullptr, nullptr, &connection);
    entry->connection = static_cast<evhttp_connection*>(connection);
    evhttp_connection_set_closecb(entry->connection, on_close, owner);
    owner->connections[entry->connection] = std::move(entry);
  }
}

void close_server_connection(server_connection* connection) {
  // One that was just accepted.
  if (!connection->connection) adopt_connections(connection->owner);
  auto exchange = connection->exchange.lock();
  if (exchange && exchange->request) {
    schedule_disconnect_callback(connection->owner, exchange);
    // evhttp frees it with the connection.
    exchange->request = nullptr;
  }
  evhttp_connection_free(connection->connection);
}

void run_disconnect_callbacks(http_server* owner) {
  for (auto& exchange : std::exchange(owner->disconnected, {})) {
    auto callback = std::exchange(exchange->on_gone, nullptr);
    if (callback) callback();
  }
}

void watch_client(const std::shared_ptr<server_exchange>& exchange) {
  auto owner = exchange->owner.lock();
  if (!owner || !exchange->request) return;
  auto* channel = evhttp_request_get_connection(exchange->request);
  if (!channel) return;
  auto* connection = connection_of(owner.get(), channel);
  if (!connection) return;
  connection->exchange = exchange;
  if (connection->watch_event) {
    // The edge-triggered event may have fired before this request arrived.
    if (peer_closed(connection->watched_descriptor)) schedule_disconnect_callback(owner.get(), exchange);
    return;
  }
  int descriptor = bufferevent_getfd(evhttp_connection_get_bufferevent(channel));
  connection->watched_descriptor = fcntl(descriptor, F_DUPFD_CLOEXEC, 0);
  if (connection->watched_descriptor < 0) return;
  connection->usage->add_descriptors(1);
  connection->watch_event = event_new(owner->base, connection->watched_descriptor,
                                      EV_READ | EV_CLOSED | EV_ET | EV_PERSIST, on_socket_event, connection);
  event_add(connection->watch_event, nullptr);
}

}  // namespace herontally::runtime
