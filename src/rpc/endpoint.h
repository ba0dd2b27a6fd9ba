// Typed request and reply between nodes, over the runtime's channels.
//
// An endpoint belongs to one process and lives on its event loop; copies share one state. A message carries
// the sender's protocol version: a node of the version before or after is understood, any other is refused
// and counted.
#pragma once
#include "logging/logging.h"
#include "rpc/codec.h"
#include "rpc/control_messages.h"
#include "runtime/runtime.h"

namespace herontally::rpc {

// Why there is no reply.
enum class error {
  unreachable,  // no connection: certainly not received
  timed_out,    // it may have been received and carried out
  refused,      // the receiver closed the channel: it doesn't know the kind or the version, or is going down
  malformed,    // a request or reply that doesn't fit the schema
};
template <class Reply>
using outcome = std::variant<Reply, error>;

// The reply of an outcome; nullptr if there is none.
template <class Reply>
const Reply* reply_of(const outcome<Reply>& result) {
  return std::get_if<Reply>(&result);
}

class endpoint {
 public:
  // `sender` is this node's name, which every message carries.
  endpoint(runtime::handle runtime, std::string sender, logging::logger logger);

  // Takes requests at this ip:port; false if the address can't be listened on. Kinds without a handler are
  // refused.
  bool listen(const std::string& address);
  // Speaks another protocol version than the newest; for tests and simulated upgrades.
  void set_version(int version);

  const std::string& sender() const;
  runtime::handle runtime() const;
  logging::logger logger() const;

  // Registers the handler of a kind of request, in place of an earlier one. Each request runs as a task of
  // its own, so that handlers of the same kind run side by side. Handlers are dropped when the runtime stops.
  template <class Request>
  void serve(std::function<runtime::task<typename Request::reply>(Request)> handler) {
    auto open = [handler](const std::string& body, message_versions versions) -> std::optional<reply_task> {
      auto request = decode<Request>(body, versions.request);
      if (!request) return std::nullopt;
      return run<Request>(handler, std::move(*request), versions.reply);
    };
    add_handler(Request::kind, Request::reply::kind, std::move(open));
  }

  // Sends a request to `address` and waits for its reply, at most `timeout` microseconds.
  template <class Request>
  runtime::task<outcome<typename Request::reply>> call(std::string address, Request request,
                                                       runtime::microseconds timeout) const {
    auto body = encode_and_free(std::move(request));
    auto raw =
        co_await call_raw(std::move(address), Request::kind, Request::reply::kind, std::move(body), timeout);
    if (auto* failed = std::get_if<error>(&raw)) co_return *failed;
    auto& received = std::get<received_body>(raw);
    auto reply = decode<typename Request::reply>(received.bytes, received.version);
    if (!reply) co_return error::malformed;
    if constexpr (requires { reply->status; }) {
      if (reply->status == reply_status::unrecognized) report_unrecognized_status(Request::kind);
    }
    co_return std::move(*reply);
  }

 private:
  // The protocol versions that a request is read with and its reply written with.
  struct message_versions {
    int request, reply;
  };
  struct received_body {
    std::string bytes;
    int version;  // to read them with
  };
  // Ends with the reply's bytes; with nothing if the reply can't be sent.
  using reply_task = runtime::task<std::optional<std::string>>;
  // Reads a request and makes the task that handles it; nothing if the bytes are no such request.
  using raw_handler =
      std::function<std::optional<reply_task>(const std::string& body, message_versions versions)>;

  template <class Request>
  static reply_task run(std::function<runtime::task<typename Request::reply>(Request)> handler,
                        Request request, int reply_version) {
    typename Request::reply reply = co_await handler(std::move(request));
    co_return encode(reply, reply_version);
  }
  // A message may be large, and is not held while its reply is waited for.
  template <class Request>
  std::optional<std::string> encode_and_free(Request request) const {
    return encode(request, version());
  }
  void add_handler(std::string request_kind, std::string reply_kind, raw_handler open);
  runtime::task<outcome<received_body>> call_raw(std::string address, std::string request_kind,
                                                 std::string reply_kind, std::optional<std::string> body,
                                                 runtime::microseconds timeout) const;
  int version() const;
  void report_unrecognized_status(const char* request_kind) const;

  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace herontally::rpc
