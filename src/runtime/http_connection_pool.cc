// HTTP/1.1 client: keeps connections open per address, or uses a new connection for each request.
#include "runtime/http_connection_pool.h"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>

namespace herontally::runtime {

http_client::~http_client() {
  for (auto& [id, connection] : connections) bufferevent_free(connection->stream);
}

void close_connection(client_connection* connection) {
  auto* client = connection->client;
  if (connection->connect_timer) client->cancel(connection->connect_timer);
  if (connection->pooled) {
    auto found = client->addresses.find(connection->address);
    auto& idle = found->second.idle;
    idle.erase(std::remove(idle.begin(), idle.end(), connection->id), idle.end());
    if (--found->second.open == 0) client->addresses.erase(found);
  }
  bufferevent_free(connection->stream);
  client->connections.erase(connection->id);
}

void put_idle(client_connection* connection) {
  connection->idle_since = connection->client->now();
  connection->client->addresses[connection->address].idle.push_back(connection->id);
}

// False when data or an end of stream has arrived that the loop hasn't read yet: the connection can't be
// reused.
static bool has_no_pending_input(const client_connection* connection) {
  char byte;
  return recv(bufferevent_getfd(connection->stream), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
         (errno == EAGAIN || errno == EWOULDBLOCK);
}

client_connection* take_idle(http_client* client, const std::string& address, microseconds longest_idle) {
  microseconds now = client->now();
  while (true) {
    auto found = client->addresses.find(address);
    if (found == client->addresses.end() || found->second.idle.empty()) return nullptr;
    auto* connection = client->connections[found->second.idle.back()].get();
    microseconds limit = longest_idle;
    if (connection->idle_limit >= 0) limit = std::min(limit, connection->idle_limit);
    if (now - connection->idle_since < limit && has_no_pending_input(connection)) {
      found->second.idle.pop_back();
      return connection;
    }
    close_connection(connection);
  }
}

client_connection* open_connection(http_client* client, const std::string& address, bool pooled) {
  sockaddr_storage socket_address{};
  int length = 0;
  if (!resolve_address(address, socket_address, length)) return nullptr;
  int descriptor = socket(socket_address.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) return nullptr;
  set_connection_options(descriptor);
  auto owned = std::make_unique<client_connection>();
  auto* connection = owned.get();
  connection->client = client;
  connection->id = client->next_id++;
  connection->address = address;
  connection->pooled = pooled;
  connection->stream = bufferevent_socket_new(client->base, descriptor, BEV_OPT_CLOSE_ON_FREE);
  // Connects before callbacks are set, so that an immediate failure calls no handler from within http_open.
  if (bufferevent_socket_connect(connection->stream, reinterpret_cast<sockaddr*>(&socket_address), length) !=
      0) {
    bufferevent_free(connection->stream);
    return nullptr;
  }
  enable_callbacks(connection);
  if (pooled) ++client->addresses[address].open;
  client->connections[connection->id] = std::move(owned);
  return connection;
}

namespace {

void start_connect_timer(client_connection* connection, microseconds timeout) {
  std::weak_ptr<http_client> weak = connection->client->weak_from_this();
  connection->connect_timer = connection->client->after(timeout, [weak, id = connection->id] {
    auto client = weak.lock();
    if (!client || !client->connections.contains(id)) return;
    auto* pending = client->connections[id].get();
    pending->connect_timer = 0;
    fail_request(pending, false);
  });
}

client_connection* acquire_connection(http_client* client, const std::string& address,
                                      const http_request& request) {
  if (request.pooled) {
    if (auto* idle = take_idle(client, address, request.longest_idle)) return idle;
    // take_idle has closed connections that were idle too long, so only busy ones are counted here.
    auto found = client->addresses.find(address);
    if (found != client->addresses.end() && found->second.open >= request.most_connections) return nullptr;
  }
  auto* connection = open_connection(client, address, request.pooled);
  if (connection) start_connect_timer(connection, request.connect_timeout);
  return connection;
}

void cancel_request(http_client* client, std::uint64_t id) {
  auto found = client->requests.find(id);
  if (found == client->requests.end()) return;
  auto connection = client->connections.find(found->second->connection);
  client->requests.erase(found);
  if (connection != client->connections.end()) close_connection(connection->second.get());
}

}  // namespace

std::shared_ptr<http_client> make_http_client(event_base* base, const backend& table) {
  auto client = std::make_shared<http_client>();
  client->base = base;
  client->after = table.after;
  client->cancel = table.cancel;
  client->now = table.now;
  return client;
}

void bind_http_client(const std::shared_ptr<http_client>& client, backend& table) {
  std::weak_ptr<http_client> weak = client;
  table.http_open = [weak](std::string address, http_request request,
                           std::function<void(http_event)> notify) -> std::uint64_t {
    auto client = weak.lock();
    if (!client) return 0;
    std::uint64_t id = client->next_id++;
    auto& entry = client->requests[id] = std::make_unique<running_request>();
    entry->notify = std::make_shared<std::function<void(http_event)>>(std::move(notify));
    entry->bytes = serialize_request(address, request);
    // The body is serialized already; only the fields needed to handle the response are kept.
    request.body = std::string();
    request.headers.clear();
    std::transform(request.echo_name.begin(), request.echo_name.end(), request.echo_name.begin(),
                   [](unsigned char letter) { return std::tolower(letter); });
    entry->request = std::move(request);
    auto* connection =
        entry->bytes.empty() ? nullptr : acquire_connection(client.get(), address, entry->request);
    if (connection) {
      if (connection->connected) entry->idle_before = client->now() - connection->idle_since;
      start_request(connection, id);
      return id;
    }
    client->after(0, [weak, id] {
      if (auto client = weak.lock()) deliver_event(client.get(), id, http_failure{false});
    });
    return id;
  };
  table.http_cancel = [weak](std::uint64_t id) {
    if (auto client = weak.lock()) cancel_request(client.get(), id);
  };
}

}  // namespace herontally::runtime
