// The HTTP client's connections and the requests that run on them; internal to the runtime.
#pragma once
#include <http_parser.h>

#include <unordered_map>
#include <utility>

#include "runtime/event_loop_parts.h"

struct bufferevent;

namespace herontally::runtime {

// A request from http_open until its last event.
struct running_request {
  http_request request;
  std::shared_ptr<std::function<void(http_event)>> notify;
  std::uint64_t connection = 0;  // its ID; 0: none
  std::string bytes;             // the serialized request; empty once written
  std::size_t buffered = 0;      // bytes of the request that the socket didn't accept at once
  bool sent = false;
  microseconds idle_before = -1;  // idle time of its connection; negative: a new one
};

// The response that is being parsed.
struct response_in_progress {
  std::string field, value;
  http_head head;
  std::string body;
  bool value_seen = false;    // a value, even an empty one, follows the current field name
  bool head_pending = false;  // parsed, but not yet delivered to the handler
  bool skipped = false;       // an informational (1xx) response or that of another request
  bool delimited = false;     // by Content-Length or chunked encoding
  bool connection_close = false;
  bool complete = false;
};

// One connection to a server. `request_id` is 0 while it is idle, `idle_limit` is negative when the server
// states none.
struct client_connection {
  http_client* client = nullptr;
  std::uint64_t id = 0, request_id = 0, connect_timer = 0;
  std::string address;
  bufferevent* stream = nullptr;
  bool pooled = false, connected = false, reusable = true;
  microseconds idle_since = 0, idle_limit = 0;
  http_parser parser;
  response_in_progress response;
};

// The pooled connections to one address.
struct address_connections {
  std::vector<std::uint64_t> idle;  // most recently used last
  std::size_t open = 0;
};

struct http_client : std::enable_shared_from_this<http_client> {
  event_base* base = nullptr;
  after_function after;
  cancel_function cancel;
  std::function<microseconds()> now;
  std::unordered_map<std::uint64_t, std::unique_ptr<client_connection>> connections;
  std::unordered_map<std::uint64_t, std::unique_ptr<running_request>> requests;
  std::unordered_map<std::string, address_connections> addresses;
  std::uint64_t next_id = 1;
  ~http_client();
};

// The pool. take_idle and open_connection return nullptr when there is no usable connection.
client_connection* take_idle(http_client* client, const std::string& address, microseconds longest_idle);
client_connection* open_connection(http_client* client, const std::string& address, bool pooled);
void put_idle(client_connection* connection);
void close_connection(client_connection* connection);
// Calls the request's handler; false when the request has been cancelled.
bool deliver_event(http_client* client, std::uint64_t request, http_event event);

// One connection: sending the request and parsing the response.
void start_request(client_connection* connection, std::uint64_t request);
void send_request(client_connection* connection);
void fail_request(client_connection* connection, bool garbled);
void enable_callbacks(client_connection* connection);
void reset_response_parser(client_connection* connection);
// False when the received bytes are not a valid response.
bool parse_response(client_connection* connection);
void parse_end_of_stream(client_connection* connection);

// Empty when a method, path or header contains characters that would change the request's structure.
std::string serialize_request(const std::string& address, const http_request& request);

}  // namespace herontally::runtime
