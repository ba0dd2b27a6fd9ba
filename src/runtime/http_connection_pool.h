// The client's connections and the requests that run on them; internal to the runtime package.
#pragma once
#include <http_parser.h>

#include <unordered_map>
#include <utility>

#include "runtime/event_loop_parts.h"

struct bufferevent;

namespace herontally::runtime {

struct running_request {
  http_request request;
  std::shared_ptr<std::function<void(http_event)>> notify;
  std::uint64_t connection = 0;
  std::string bytes;         // the request as it goes out, until it does
  std::size_t buffered = 0;  // of it, what the kernel didn't take at once
  bool sent = false;
  microseconds idle_before = -1;  // of its connection; negative: a new one
};

// The answer that is being read.
struct answer_in_progress {
  std::string field, value;
  http_head head;
  std::string body;
  bool value_seen = false;   // of the field, even an empty one
  bool head_is_due = false;  // its handler hasn't had the head yet
  bool passed_over = false;  // 1xx, or another request's
  bool delimited = false;    // by a length or by chunks
  bool closing = false;
  bool whole = false;
};

struct client_connection {
  http_client_part* part = nullptr;
  std::uint64_t number = 0, running = 0, connect_timer = 0;
  std::string address;
  bufferevent* stream = nullptr;
  bool pooled = false, connected = false, reusable = true;
  microseconds idle_since = 0, idle_limit = 0;
  http_parser parser;
  answer_in_progress answer;
};

struct address_connections {
  std::vector<std::uint64_t> idle;  // the most recently used one last
  std::size_t open = 0;
};

struct http_client_part : std::enable_shared_from_this<http_client_part> {
  event_base* base = nullptr;
  after_function after;
  cancel_function cancel;
  std::function<microseconds()> now;
  std::unordered_map<std::uint64_t, std::unique_ptr<client_connection>> connections;
  std::unordered_map<std::uint64_t, std::unique_ptr<running_request>> requests;
  std::unordered_map<std::string, address_connections> addresses;
  std::uint64_t next = 1;
  ~http_client_part();
};

// Pool: connections come and go.
client_connection* take_idle(http_client_part* part, const std::string& address, microseconds longest_idle);
client_connection* open_connection(http_client_part* part, const std::string& address, bool pooled);
void put_idle(client_connection* connection);
void close_connection(client_connection* connection);
// False when the request has been given up meanwhile.
bool emit(http_client_part* part, std::uint64_t request, http_event event);

// One connection: the request goes out, the answer comes in.
void start_request(client_connection* connection, std::uint64_t request);
void send_request(client_connection* connection);
void fail_request(client_connection* connection, bool garbled);
void watch_connection(client_connection* connection);
void expect_answer(client_connection* connection);
bool parse_answer(client_connection* connection);
void parse_end(client_connection* connection);

// Empty when the request can't be written without becoming another one.
std::string request_bytes(const std::string& address, const http_request& request);

}  // namespace herontally::runtime
