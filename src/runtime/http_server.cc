// HTTP/1.1 server over evhttp, for clients and operators and, in the stand-ins, for the proxies.
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <string.h>
#include <sys/socket.h>

#include <algorithm>

#include "runtime/http_server_parts.h"

namespace herontally::runtime {

http_server::~http_server() {
  adopt_connections(this);
  // Disables close callbacks, so that no on_gone handler is called during destruction.
  for (auto& [connection, entry] : connections) evhttp_connection_set_closecb(connection, nullptr, nullptr);
  connections.clear();
  // evhttp has left the requests of closed connections to their exchanges.
  for (auto& exchange : disconnected)
    if (exchange->request && !evhttp_request_get_connection(exchange->request))
      evhttp_request_free(std::exchange(exchange->request, nullptr));
  event_free(adopt_event);
  event_free(disconnect_event);
  for (auto& entry : stopped_servers) evhttp_free(entry->server);
  for (auto& [address, entry] : servers) {
    overload->remove_listener(evhttp_bound_socket_get_listener(entry->listener));
    evhttp_free(entry->server);
  }
}

namespace {

std::string lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char letter) { return std::tolower(letter); });
  return text;
}

const char* method_of(evhttp_request* request) {
  switch (evhttp_request_get_command(request)) {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_PATCH:
      return "PATCH";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    default:
      return "HEAD";
  }
}

// What a request in progress occupies: its head, here and as evhttp keeps it, and copies of its body, one of
// them on its way to an engine.
std::size_t cost_of(evhttp_request* request) {
  // Its tasks, and a short answer.
  constexpr std::size_t base_cost = 20u << 10, header_overhead = 256;
  constexpr std::size_t head_copies = 3, body_copies = 2;
  std::size_t cost = base_cost + body_copies * evbuffer_get_length(evhttp_request_get_input_buffer(request)) +
                     head_copies * strlen(evhttp_request_get_uri(request));
  auto* headers = evhttp_request_get_input_headers(request);
  for (auto* entry = headers->tqh_first; entry; entry = entry->next.tqe_next)
    cost += head_copies * (strlen(entry->key) + strlen(entry->value)) + header_overhead;
  return cost;
}

// Nothing of the request has run, and another node may have memory for it.
http_response memory_refusal() {
  constexpr int unavailable = 503;
  return {unavailable,
          {{"Content-Type", "application/json"}, {"Retry-After", "1"}},
          "{\"error\":\"too many requests are in progress\"}\n"};
}

void copy_headers(evhttp_request* request, std::map<std::string, std::string>& out) {
  auto* headers = evhttp_request_get_input_headers(request);
  for (auto* entry = headers->tqh_first; entry; entry = entry->next.tqe_next) {
    auto [position, inserted] = out.try_emplace(lower(entry->key), entry->value);
    if (!inserted)
      position->second += (position->first == "cookie" ? "; " : ", ") + std::string(entry->value);
  }
}

void on_request(evhttp_request* request, void* raw) {
  auto* server = static_cast<bound_server*>(raw);
  auto* connection = connection_of(server->owner, evhttp_request_get_connection(request));
  connection->server = server;
  begin_exchange(connection, request);
  auto reservation = std::make_unique<memory_reservation>(server->owner->overload);
  bool fits = reservation->admit_client_request(cost_of(request));
  auto writer = make_http_writer(*server, request, std::move(reservation));
  if (!fits) return writer->reply(memory_refusal());
  inbound_request incoming;
  incoming.method = method_of(request);
  incoming.target = evhttp_request_get_uri(request);
  auto* uri = evhttp_request_get_evhttp_uri(request);
  const char* path = uri ? evhttp_uri_get_path(uri) : nullptr;
  const char* query = uri ? evhttp_uri_get_query(uri) : nullptr;
  incoming.path = path && *path ? path : "/";
  incoming.query = query ? query : "";
  copy_headers(request, incoming.headers);
  evbuffer* body = evhttp_request_get_input_buffer(request);
  incoming.body.resize(evbuffer_get_length(body));
  evbuffer_remove(body, incoming.body.data(), incoming.body.size());
  char* peer = nullptr;
  ev_uint16_t port = 0;
  evhttp_connection_get_peer(evhttp_request_get_connection(request), &peer, &port);
  if (peer) incoming.peer = std::string(peer) + ":" + std::to_string(port);
  // Copied, since the handler may stop this server.
  auto handler = server->handler;
  handler(std::move(incoming), std::move(writer));
}

std::unique_ptr<bound_server> bind_server(http_server* owner, const std::string& address,
                                          http_handler handler) {
  sockaddr_storage socket_address{};
  int length = 0;
  if (!resolve_address(address, socket_address, length)) return nullptr;
  auto* listener = evconnlistener_new_bind(owner->base, nullptr, nullptr,
                                           LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
                                           512, reinterpret_cast<sockaddr*>(&socket_address), length);
  if (!listener) return nullptr;
  set_no_delay(evconnlistener_get_fd(listener));
  auto bound = std::make_unique<bound_server>();
  bound->owner = owner;
  bound->handler = std::move(handler);
  bound->server = evhttp_new(owner->base);
  evhttp_set_max_body_size(bound->server, max_http_body_bytes);
  evhttp_set_max_headers_size(bound->server, 32768);
  evhttp_set_allowed_methods(bound->server, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
                                                EVHTTP_REQ_PATCH | EVHTTP_REQ_DELETE | EVHTTP_REQ_HEAD);
  evhttp_set_bevcb(bound->server, make_server_stream, owner);
  evhttp_set_gencb(bound->server, on_request, bound.get());
  bound->listener = evhttp_bind_listener(bound->server, listener);
  owner->overload->add_listener(listener);
  return bound;
}

}  // namespace

std::shared_ptr<http_server> make_http_server(event_base* base, std::shared_ptr<overload_manager> overload) {
  auto owner = std::make_shared<http_server>();
  owner->base = base;
  owner->overload =
      overload ? std::move(overload) : std::make_shared<overload_manager>(base, resource_limits{});
  auto adopt = [](evutil_socket_t, short, void* raw) { adopt_connections(static_cast<http_server*>(raw)); };
  owner->adopt_event = event_new(base, -1, 0, adopt, owner.get());
  auto disconnect = [](evutil_socket_t, short, void* raw) {
    run_disconnect_callbacks(static_cast<http_server*>(raw));
  };
  owner->disconnect_event = event_new(base, -1, 0, disconnect, owner.get());
  return owner;
}

void bind_http_server(const std::shared_ptr<http_server>& owner, backend& table) {
  std::weak_ptr<http_server> weak = owner;
  table.http_serve = [weak](std::string address, http_handler handler) {
    auto owner = weak.lock();
    if (!owner || owner->servers.contains(address)) return false;
    auto bound = bind_server(owner.get(), address, std::move(handler));
    if (!bound) return false;
    owner->servers[address] = std::move(bound);
    return true;
  };
  table.http_stop_listening = [weak](std::string address) {
    auto owner = weak.lock();
    if (!owner || !owner->servers.contains(address)) return;
    auto bound = std::move(owner->servers[address]);
    owner->servers.erase(address);
    owner->overload->remove_listener(evhttp_bound_socket_get_listener(bound->listener));
    evhttp_del_accept_socket(bound->server, bound->listener);
    owner->stopped_servers.push_back(std::move(bound));
  };
  table.http_drain = [weak](std::string address) {
    auto owner = weak.lock();
    if (owner && owner->servers.contains(address)) *owner->servers[address]->draining = true;
  };
  table.http_connections = [weak](std::string address) -> connection_counts {
    auto owner = weak.lock();
    if (!owner || !owner->servers.contains(address)) return {};
    auto* server = owner->servers[address].get();
    connection_counts counts;
    for (auto& [channel, connection] : owner->connections) {
      if (connection->server != server) continue;
      auto exchange = connection->exchange.lock();
      ++counts.open;
      counts.unanswered += exchange && exchange->request && !exchange->client_disconnected ? 1 : 0;
    }
    return counts;
  };
}

}  // namespace herontally::runtime
