// The interface between the runtime and its environment: a table of functions for clocks, timers, messages,
// HTTP and disk. The event loop implements it over libevent, the simulator over virtual time.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace herontally::runtime {

using microseconds = std::int64_t;
constexpr microseconds millisecond = 1000;
constexpr microseconds second = 1000 * millisecond;
// A request whose connection isn't established within this time fails: it must not reach a backend long after
// it was routed there.
constexpr microseconds default_connect_timeout = second;

// Why a call got no reply; `oversized`: the message exceeds the maximum frame size and was not sent.
enum class channel_error { unreachable, timed_out, closed, oversized };
// `full`: no space or quota left; `missing`: the file does not exist; `in_use`: another process has locked
// the data directory.
enum class disk_error { failed, full, missing, in_use };

// The reply to a message, or why there is none.
using call_outcome = std::variant<std::string, channel_error>;
// Gets one message and a function that sends the reply. An empty reply closes the channel: the message could
// not be parsed.
using message_handler = std::function<void(std::string, std::function<void(std::string)>)>;

// A complete request that the server has received.
struct inbound_request {
  std::string method, path, query, body, peer;
  std::string target;  // path and query as received, not decoded
  std::map<std::string, std::string>
      headers;  // names in lower case; repeated headers joined by commas, cookies by semicolons
};
struct http_response {
  int status = 200;
  std::map<std::string, std::string> headers;
  std::string body;
};
// Sends the response of one HTTP exchange of the server.
struct http_writer {
  // Sends a complete response. After `start` it aborts the connection instead, since the head is already
  // sent.
  std::function<void(http_response)> reply;
  // Sends the status and headers of a response whose body follows in pieces.
  std::function<void(int, std::map<std::string, std::string>)> start;
  // Sends a part of the body: a chunk, unless the headers set Content-Length.
  std::function<void(std::string)> piece;
  // Ends a body sent in pieces.
  std::function<void()> finish;
  // Whether the client has disconnected or the response has ended.
  std::function<bool()> closed;
  // Bytes written but not yet accepted by the kernel.
  std::function<std::size_t()> backlog;
  // Accounts for further memory that the handler keeps until it drops the writer; false: there is none left.
  // Empty in the simulator.
  std::function<bool(std::size_t)> reserve;
  // Closes the connection without completing the response.
  std::function<void()> cut;
  // Adds "Connection: close", so that the client opens a new connection for its next request. Must be called
  // before the head is sent.
  std::function<void()> last_on_connection;
  // Sets a function that is called once if the client disconnects before the response is complete.
  std::function<void(std::function<void()>)> on_gone;
};
using http_handler = std::function<void(inbound_request, std::shared_ptr<http_writer>)>;

// The events of a client's exchange: a head, pieces of the body, then an end or, at any time, a failure.
struct http_head {
  int status = 0;
  std::map<std::string, std::string> headers;
};
struct http_piece {
  std::string bytes;
};
struct http_end {};
// The last event of an exchange without a complete response.
struct http_failure {
  // False only when certainly no byte of the request was sent.
  bool sent = true;
  bool garbled = false;  // the received bytes are not a valid HTTP response
  // How long the connection was idle before this request was written to it; negative: a new connection.
  microseconds idle_before = -1;
};
using http_event = std::variant<http_head, http_piece, http_end, http_failure>;

// A request of the HTTP client.
struct http_request {
  std::string method = "GET", path, body;
  std::map<std::string, std::string> headers;  // a "host" header replaces the address
  // Reuses connections to the same address; otherwise the request has a connection of its own.
  bool pooled = false;
  // Pooled connections idle for at least this long aren't reused: the server may have closed them.
  microseconds longest_idle = 4 * second;
  // Limit of pooled connections per address and process; a request that would exceed it fails at once.
  std::size_t most_connections = 64;
  // The response must carry this header with this value; a complete response without it belongs to another
  // request and is discarded. Empty: any response is accepted.
  std::string echo_name, echo_value;
  // Time to establish the connection; a later request would reach a backend long after it was routed there.
  microseconds connect_timeout = default_connect_timeout;
};

// Counts a server's client connections on which at least one request has arrived.
struct connection_counts {
  std::size_t open = 0;
  // Of the open connections, those whose last request was read and has no complete response yet.
  std::size_t unanswered = 0;
};

// Files by name in one data directory. Changes are durable only after `sync`.
struct disk_table {
  // Creates the data directory if needed and locks it for this process. Called before any other function.
  // After an error it may be called again.
  std::function<std::optional<disk_error>()> acquire;
  // Reads up to `length` bytes from `offset`; fewer only at the end of the file.
  std::function<std::variant<std::string, disk_error>(const std::string&, std::uint64_t offset,
                                                      std::size_t length)>
      read_at;
  std::function<std::variant<std::uint64_t, disk_error>(const std::string&)> size;
  // Appends bytes to the named file, creating it if needed.
  std::function<std::optional<disk_error>(const std::string&, const std::string&)> append;
  // Overwrites the whole content of the named file, creating it if needed; not atomic.
  std::function<std::optional<disk_error>(const std::string&, const std::string&)> replace;
  // Makes all earlier changes of the named file durable, then calls the callback from the loop.
  std::function<void(const std::string&, std::function<void(std::optional<disk_error>)>)> sync;
};

// The function table. Addresses are texts of the form host:port.
struct backend {
  std::function<microseconds()> now;   // monotonic, includes time suspended
  std::function<microseconds()> wall;  // since the Unix epoch
  // Runs the callback from the loop after the delay; returns an ID for `cancel`.
  std::function<std::uint64_t(microseconds, std::function<void()>)> after;
  std::function<void(std::uint64_t)> cancel;
  // Sends a message (address, payload, timeout) and calls the callback with the reply or the error.
  std::function<void(std::string, std::string, microseconds, std::function<void(call_outcome)>)> call;
  // Accept messages or HTTP requests at an address; false when it can't be listened on.
  std::function<bool(std::string, message_handler)> serve;
  std::function<bool(std::string, http_handler)> http_serve;
  // Stops accepting connections; open connections are still served.
  std::function<void(std::string)> http_stop_listening;
  // From now on each response whose head hasn't been sent carries "Connection: close".
  std::function<void(std::string)> http_drain;
  std::function<connection_counts(std::string)> http_connections;
  // Sends a request and calls the handler with its events, never from within this call; returns an ID for
  // `http_cancel`.
  std::function<std::uint64_t(std::string, http_request, std::function<void(http_event)>)> http_open;
  // Abandons an exchange and closes its connection; no further event is delivered.
  std::function<void(std::uint64_t)> http_cancel;
  disk_table disk;
  // Connections of peers that were closed because together they made the process keep too much. Empty in the
  // simulator.
  std::function<std::uint64_t()> connections_shed;
};

}  // namespace herontally::runtime
