// Typed requests and replies between nodes, sent over the runtime's channels.
//
// An endpoint belongs to one process and is used only on its event loop; copies share one state. Each message
// carries the sender's protocol version. Messages from nodes one version older or newer are accepted, all
// others are refused and counted. Requests are not retried here.
#pragma once
#include "logging/logging.h"
#include "rpc/codec.h"
#include "rpc/control_messages.h"
#include "runtime/runtime.h"

namespace herontally::rpc {

// Why there is no reply.
enum class error {
  unreachable,  // no connection: certainly not received
  timed_out,    // the request may have been received and carried out
  refused,      // the receiver closed the channel: it can't decode or handle the request, or is shutting down
  malformed,    // the request is too large or can't be encoded, or the reply can't be decoded
};
// The reply to a call, or why there is none.
template <class Reply>
using outcome = std::variant<Reply, error>;

// The reply of an outcome; nullptr if there is none.
template <class Reply>
const Reply* reply_of(const outcome<Reply>& result) {
  return std::get_if<Reply>(&result);
}

// One node's side of the protocol: sends requests, and passes received ones to handlers.
class endpoint {
 public:
  // `sender` is this node's name and is part of every message.
  endpoint(runtime::handle runtime, std::string sender, logging::logger logger);

  // Accepts requests at this ip:port; false if listening fails. Requests without a handler, of an
  // incompatible version or that can't be decoded are refused.
  bool listen(const std::string& address);
  // Uses this protocol version instead of the newest; for tests and simulated upgrades.
  void set_version(int version);

  const std::string& sender() const;
  runtime::handle runtime() const;
  logging::logger logger() const;

  // Registers the handler of a request type and replaces an earlier one. Each request runs as its own task,
  // so several handlers of one type may run concurrently. Handlers are removed when the runtime stops.
  template <class Request>
  void serve(std::function<runtime::task<typename Request::reply>(Request)> handler) {
    auto raw = [handler](const std::string& body, message_versions versions) -> std::optional<reply_task> {
      auto request = decode<Request>(body, versions.request);
      if (!request) return std::nullopt;
      return run<Request>(handler, std::move(*request), versions.reply);
    };
    add_handler(Request::kind, Request::reply::kind, std::move(raw));
  }

  // Sends a request to `address` (ip:port) and waits at most `timeout` microseconds for its reply.
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
  // The protocol versions with which a request is decoded and its reply is encoded.
  struct message_versions {
    int request, reply;
  };
  struct received_body {
    std::string bytes;
    int version;  // to decode the bytes with
  };
  // Returns the encoded reply; nullopt if the reply can't be encoded.
  using reply_task = runtime::task<std::optional<std::string>>;
  // Decodes a request and returns the task that handles it; nullopt if the bytes don't hold such a request.
  using raw_handler =
      std::function<std::optional<reply_task>(const std::string& body, message_versions versions)>;

  template <class Request>
  static reply_task run(std::function<runtime::task<typename Request::reply>(Request)> handler,
                        Request request, int reply_version) {
    typename Request::reply reply = co_await handler(std::move(request));
    co_return encode(reply, reply_version);
  }
  // Takes the request by value, so that a large one is freed before the wait for its reply.
  template <class Request>
  std::optional<std::string> encode_and_free(Request request) const {
    return encode(request, version());
  }
  void add_handler(std::string request_kind, std::string reply_kind, raw_handler handler);
  runtime::task<outcome<received_body>> call_raw(std::string address, std::string request_kind,
                                                 std::string reply_kind, std::optional<std::string> body,
                                                 runtime::microseconds timeout) const;
  int version() const;
  void report_unrecognized_status(const char* request_kind) const;

  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace herontally::rpc
