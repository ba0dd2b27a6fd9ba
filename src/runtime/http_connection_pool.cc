// HTTP/1.1 towards other servers: kept connections by address, or one of its own for each request.
#include "runtime/http_connection_pool.h"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>

namespace herontally::runtime {

http_client_part::~http_client_part() {
  for (auto& [number, connection] : connections) bufferevent_free(connection->stream);
}

void close_connection(client_connection* connection) {
  auto* part = connection->part;
  if (connection->connect_timer) part->cancel(connection->connect_timer);
  if (connection->pooled) {
    auto found = part->addresses.find(connection->address);
    auto& idle = found->second.idle;
    idle.erase(std::remove(idle.begin(), idle.end(), connection->number), idle.end());
    if (--found->second.open == 0) part->addresses.erase(found);
  }
  bufferevent_free(connection->stream);
  part->connections.erase(connection->number);
}

void put_idle(client_connection* connection) {
  connection->idle_since = connection->part->now();
  connection->part->addresses[connection->address].idle.push_back(connection->number);
}

// Bytes or an end that the loop hasn't come to yet: the connection isn't idle any more.
static bool silent(const client_connection* connection) {
  char byte;
  return recv(bufferevent_getfd(connection->stream), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
         (errno == EAGAIN || errno == EWOULDBLOCK);
}

client_connection* take_idle(http_client_part* part, const std::string& address, microseconds longest_idle) {
  microseconds now = part->now();
  while (true) {
    auto found = part->addresses.find(address);
    if (found == part->addresses.end() || found->second.idle.empty()) return nullptr;
    auto* connection = part->connections[found->second.idle.back()].get();
    microseconds limit = longest_idle;
    if (connection->idle_limit >= 0) limit = std::min(limit, connection->idle_limit);
    if (now - connection->idle_since < limit && silent(connection)) {
      found->second.idle.pop_back();
      return connection;
    }
    close_connection(connection);
  }
}

client_connection* open_connection(http_client_part* part, const std::string& address, bool pooled) {
  sockaddr_storage where{};
  int length = 0;
  if (!find_address(address, where, length)) return nullptr;
  int descriptor = socket(where.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) return nullptr;
  tune_connection(descriptor);
  auto owned = std::make_unique<client_connection>();
  auto* connection = owned.get();
  connection->part = part;
  connection->number = part->next++;
  connection->address = address;
  connection->pooled = pooled;
  connection->stream = bufferevent_socket_new(part->base, descriptor, BEV_OPT_CLOSE_ON_FREE);
  // Without callbacks yet, so that a failure at once tells nobody from within http_open.
  if (bufferevent_socket_connect(connection->stream, reinterpret_cast<sockaddr*>(&where), length) != 0) {
    bufferevent_free(connection->stream);
    return nullptr;
  }
  watch_connection(connection);
  if (pooled) ++part->addresses[address].open;
  part->connections[connection->number] = std::move(owned);
  return connection;
}

namespace {

void await_connection(client_connection* connection, microseconds timeout) {
  std::weak_ptr<http_client_part> weak = connection->part->weak_from_this();
  connection->connect_timer = connection->part->after(timeout, [weak, number = connection->number] {
    auto part = weak.lock();
    if (!part || !part->connections.contains(number)) return;
    auto* late = part->connections[number].get();
    late->connect_timer = 0;
    fail_request(late, false);
  });
}

client_connection* find_connection(http_client_part* part, const std::string& address,
                                   const http_request& request) {
  if (request.pooled) {
    if (auto* idle = take_idle(part, address, request.longest_idle)) return idle;
    // take_idle has closed what was idle too long, so only busy ones count here.
    auto found = part->addresses.find(address);
    if (found != part->addresses.end() && found->second.open >= request.most_connections) return nullptr;
  }
  auto* connection = open_connection(part, address, request.pooled);
  if (connection) await_connection(connection, request.connect_timeout);
  return connection;
}

void cancel_request(http_client_part* part, std::uint64_t number) {
  auto found = part->requests.find(number);
  if (found == part->requests.end()) return;
  auto connection = part->connections.find(found->second->connection);
  part->requests.erase(found);
  if (connection != part->connections.end()) close_connection(connection->second.get());
}

}  // namespace

std::shared_ptr<http_client_part> make_http_client(event_base* base, const backend& table) {
  auto part = std::make_shared<http_client_part>();
  part->base = base;
  part->after = table.after;
  part->cancel = table.cancel;
  part->now = table.now;
  return part;
}

void bind_http_client(const std::shared_ptr<http_client_part>& part, backend& table) {
  std::weak_ptr<http_client_part> weak = part;
  table.http_open = [weak](std::string address, http_request request,
                           std::function<void(http_event)> notify) -> std::uint64_t {
    auto here = weak.lock();
    if (!here) return 0;
    std::uint64_t number = here->next++;
    auto& entry = here->requests[number] = std::make_unique<running_request>();
    entry->notify = std::make_shared<std::function<void(http_event)>>(std::move(notify));
    entry->bytes = request_bytes(address, request);
    // The body has been written out; only what the answer is judged by is kept.
    request.body.clear();
    request.headers.clear();
    std::transform(request.echo_name.begin(), request.echo_name.end(), request.echo_name.begin(),
                   [](unsigned char letter) { return std::tolower(letter); });
    entry->request = std::move(request);
    auto* connection = entry->bytes.empty() ? nullptr : find_connection(here.get(), address, entry->request);
    if (connection) {
      if (connection->connected) entry->idle_before = here->now() - connection->idle_since;
      start_request(connection, number);
      return number;
    }
    here->after(0, [weak, number] {
      if (auto still = weak.lock()) emit(still.get(), number, http_failure{false});
    });
    return number;
  };
  table.http_cancel = [weak](std::uint64_t number) {
    if (auto here = weak.lock()) cancel_request(here.get(), number);
  };
}

}  // namespace herontally::runtime
