// The HTTP server's connections and the exchanges on them; internal to the runtime.
#pragma once
#include <unordered_map>
#include <utility>

#include "runtime/event_loop_parts.h"
#include "runtime/overload_manager.h"

struct bufferevent;
struct evbuffer_cb_entry;
struct evhttp;
struct evhttp_bound_socket;
struct evhttp_connection;
struct evhttp_request;
struct event;

namespace herontally::runtime {

struct bound_server;

// Owns the request until its response is complete; when the client's connection closes, evhttp leaves the
// request to the exchange.
struct server_exchange {
  evhttp_request* request = nullptr;
  std::weak_ptr<http_server> owner;
  std::shared_ptr<const bool> draining;  // shared with its server
  bool head_sent = false;
  bool client_disconnected = false;
  // What the request, and what its handler keeps for it, occupies.
  std::unique_ptr<memory_reservation> reservation;
  std::function<void()> on_gone;
  // Sends a 500 response when the handler has dropped the writer without completing a response.
  ~server_exchange();
  bool usable() const { return request && !owner.expired(); }
};

// What a connection makes this process keep, at most, in bytes of memory.
struct buffer_usage {
  std::size_t received = 0;       // bytes of the unfinished request on the wire
  std::size_t received_cost = 0;  // the memory of its body
  std::size_t unread_output = 0;  // the memory of responses that the client hasn't read
  std::size_t total() const;
};

// State of a connection that evhttp doesn't keep.
struct server_connection {
  http_server* owner = nullptr;
  const bound_server* server = nullptr;  // nullptr until the first request
  evhttp_connection* connection = nullptr;
  bufferevent* stream = nullptr;
  std::unique_ptr<connection_usage> usage;
  buffer_usage buffers;
  evbuffer_cb_entry* input_callback = nullptr;
  evbuffer_cb_entry* output_callback = nullptr;
  std::weak_ptr<server_exchange> exchange;  // the one in progress
  // A duplicate of the socket's descriptor, made when a handler asks to be notified of a disconnect: evhttp
  // doesn't read while it waits for a response, and its own descriptor can't be registered edge-triggered.
  int watched_descriptor = -1;
  struct event* watch_event = nullptr;
  bool linger_on_close = false;
  ~server_connection();
};

// A closed connection whose client may not have read the response yet: its remaining input is read and
// discarded until the client closes, too.
struct lingering_close {
  http_server* owner = nullptr;
  int descriptor = -1;  // a duplicate of the connection's
  struct event* read_event = nullptr;
  std::unique_ptr<connection_usage> usage;
  ~lingering_close();
};

// A server at one address.
struct bound_server {
  evhttp* server = nullptr;
  evhttp_bound_socket* listener = nullptr;
  http_server* owner = nullptr;
  http_handler handler;
  // Shared with the exchanges: whether each response closes its connection.
  std::shared_ptr<bool> draining = std::make_shared<bool>(false);
};

// All HTTP servers of the process and their connections.
struct http_server : std::enable_shared_from_this<http_server> {
  event_base* base = nullptr;
  std::shared_ptr<overload_manager> overload;
  std::unordered_map<std::string, std::unique_ptr<bound_server>> servers;
  std::vector<std::unique_ptr<bound_server>> stopped_servers;  // closed listeners, open connections
  std::unordered_map<evhttp_connection*, std::unique_ptr<server_connection>> connections;
  // Accepted in this pass of the event loop; evhttp has yet to set them up.
  std::vector<std::unique_ptr<server_connection>> accepted;
  struct event* adopt_event = nullptr;
  std::unordered_map<lingering_close*, std::unique_ptr<lingering_close>> lingering;
  // Whose clients have disconnected, until their handlers are notified.
  std::vector<std::shared_ptr<server_exchange>> disconnected;
  struct event* disconnect_event = nullptr;
  ~http_server();
};

std::shared_ptr<http_writer> make_http_writer(const bound_server& server, evhttp_request* request,
                                              std::unique_ptr<memory_reservation> reservation);
// Watches the client's connection and calls the exchange's on_gone once when the client disconnects.
void watch_client(const std::shared_ptr<server_exchange>& exchange);
// The state of a connection; nullptr once it is closed.
server_connection* connection_of(http_server* owner, evhttp_connection* connection);

// Makes the stream of a connection that was just accepted, and its state. `raw`: the http_server. For
// evhttp_set_bevcb.
bufferevent* make_server_stream(event_base* base, void* raw);
// Takes over the accepted connections once evhttp has set them up.
void adopt_connections(http_server* owner);
// Notifies the handlers of the exchanges whose clients have disconnected.
void run_disconnect_callbacks(http_server* owner);
// Closes a connection, whatever it is doing. Not from within a callback of the connection.
void close_server_connection(server_connection* connection);
// A request was received whole: what it occupies is accounted for by its exchange from now on.
void begin_exchange(server_connection* connection, evhttp_request* request);

}  // namespace herontally::runtime
