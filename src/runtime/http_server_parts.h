// The server's connections and the exchanges on them; internal to the runtime package.
#pragma once
#include <unordered_map>
#include <utility>

#include "runtime/event_loop_parts.h"

struct evhttp;
struct evhttp_bound_socket;
struct evhttp_connection;
struct evhttp_request;
struct event;

namespace herontally::runtime {

struct bound_server;

// Owns the request until its answer is complete; evhttp hands it over when the client's connection closes.
struct server_exchange {
  evhttp_request* request = nullptr;
  std::weak_ptr<http_server_part> part;
  std::shared_ptr<const bool> draining;  // of its server
  bool head_sent = false;
  bool gone = false;
  std::function<void()> on_gone;
  ~server_exchange();
  bool usable() const { return request && !part.expired(); }
};

// What is known about a connection beyond evhttp's own record.
struct server_connection {
  http_server_part* part = nullptr;
  const bound_server* server = nullptr;  // nullptr: no request has come in on it
  evhttp_connection* connection = nullptr;
  std::weak_ptr<server_exchange> exchange;  // the one that is being worked on
  // A second descriptor of the same socket, made when somebody asks for the client's end: evhttp doesn't read
  // while it waits for an answer, and its own descriptor can't be watched by edges.
  int watched = -1;
  struct event* watch = nullptr;
  bool linger = false;
  ~server_connection();
};

struct bound_server {
  evhttp* server = nullptr;
  evhttp_bound_socket* listener = nullptr;
  http_server_part* part = nullptr;
  http_handler handler;
  // Shared with the exchanges: whether their answers are the last ones on their connections.
  std::shared_ptr<bool> draining = std::make_shared<bool>(false);
};

struct http_server_part : std::enable_shared_from_this<http_server_part> {
  event_base* base = nullptr;
  std::unordered_map<std::string, std::unique_ptr<bound_server>> servers;
  std::vector<std::unique_ptr<bound_server>> stopped;  // their connections live on
  std::unordered_map<evhttp_connection*, std::unique_ptr<server_connection>> connections;
  ~http_server_part();
};

std::shared_ptr<http_writer> make_http_writer(const bound_server& server, evhttp_request* request);
// The exchange's on_gone is called once, when its client has gone.
void watch_client(const std::shared_ptr<server_exchange>& exchange);
server_connection* connection_of(http_server_part* part, evhttp_connection* connection);

}  // namespace herontally::runtime
