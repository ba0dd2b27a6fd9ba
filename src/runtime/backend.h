// What a runtime stands on: a table of functions, made once over libevent and once over virtual time.
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
// A request whose channel isn't made within this time is given up: it must not reach a back end long after it
// was decided on.
constexpr microseconds default_connect_timeout = second;

enum class channel_error { unreachable, timed_out, closed, oversized };
enum class disk_error { failed, full, missing };

using call_outcome = std::variant<std::string, channel_error>;
// The handler gets one message and a function that sends the answer back.
using message_handler = std::function<void(std::string, std::function<void(std::string)>)>;

struct inbound_request {
  std::string method, path, query, body, peer;
  std::string target;  // path and query as they came, not decoded
  std::map<std::string, std::string>
      headers;  // names in lower case; repeated ones joined by commas, cookies by semicolons
};
struct http_response {
  int status = 200;
  std::map<std::string, std::string> headers;
  std::string body;
};
// The server's side of one HTTP exchange.
struct http_writer {
  // Once a head is under way (`start`), no other answer can follow: it is cut off instead.
  std::function<void(http_response)> reply;
  std::function<void(int, std::map<std::string, std::string>)> start;
  std::function<void(std::string)> piece;
  std::function<void()> finish;
  std::function<bool()> closed;
  std::function<std::size_t()> backlog;
  std::function<void()> cut;
  // Sends "Connection: close", so that the client opens another one for its next request. To be called before
  // the head goes out.
  std::function<void()> last_on_connection;
  // Called once when the client's connection ends before the answer does.
  std::function<void(std::function<void()>)> on_gone;
};
using http_handler = std::function<void(inbound_request, std::shared_ptr<http_writer>)>;

struct http_head {
  int status = 0;
  std::map<std::string, std::string> headers;
};
struct http_piece {
  std::string bytes;
};
struct http_end {};
// `sent` is false only when it is certain that no byte of the request left this process.
struct http_failure {
  bool sent = true;
  bool garbled = false;  // bytes came that are no answer in the protocol
  // How long the connection had been idle before this request was written to it; negative: it was a new one.
  microseconds idle_before = -1;
};
using http_event = std::variant<http_head, http_piece, http_end, http_failure>;

struct http_request {
  std::string method = "GET", path, body;
  std::map<std::string, std::string> headers;  // a "host" among them replaces the address
  // Connections are kept for later requests to the same address. Without it each request has its own.
  bool pooled = false;
  // An idle connection older than this isn't taken: the other side may have forgotten it.
  microseconds longest_idle = 4 * second;
  std::size_t most_connections = 64;  // to this address, of this process; more wait for nothing: they fail
  // The header that the answer must carry with this value; a whole answer without it belongs to another
  // request, is read to its end and passed over. Empty: any answer is taken.
  std::string echo_name, echo_value;
  // For the connection to come up; later the request would reach a back end long after it was decided on.
  microseconds connect_timeout = default_connect_timeout;
};

// The connections of clients at a server's address on which a request has come in.
struct connection_counts {
  std::size_t open = 0;
  std::size_t unanswered = 0;  // of the open ones: those whose last request was read and isn't answered yet
};

struct disk_table {
  // Up to `length` bytes from `offset` on; fewer only where the file ends.
  std::function<std::variant<std::string, disk_error>(const std::string&, std::uint64_t offset,
                                                      std::size_t length)>
      read_at;
  std::function<std::variant<std::uint64_t, disk_error>(const std::string&)> size;
  std::function<std::optional<disk_error>(const std::string&, const std::string&)> append;
  std::function<std::optional<disk_error>(const std::string&, const std::string&)> replace;
  std::function<void(const std::string&, std::function<void(std::optional<disk_error>)>)> sync;
};

struct backend {
  std::function<microseconds()> now;   // steady, counts suspension
  std::function<microseconds()> wall;  // since 1970
  std::function<std::uint64_t(microseconds, std::function<void()>)> after;
  std::function<void(std::uint64_t)> cancel;
  std::function<void(std::string, std::string, microseconds, std::function<void(call_outcome)>)> call;
  std::function<bool(std::string, message_handler)> serve;
  std::function<bool(std::string, http_handler)> http_serve;
  // New connections are refused; those that are open live on.
  std::function<void(std::string)> http_stop_listening;
  // From now on each answer at this address whose head has not gone out is the last one on its connection,
  // and says so.
  std::function<void(std::string)> http_drain;
  std::function<connection_counts(std::string)> http_connections;
  std::function<std::uint64_t(std::string, http_request, std::function<void(http_event)>)> http_open;
  std::function<void(std::uint64_t)> http_cancel;
  disk_table disk;
};

}  // namespace herontally::runtime
