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
    add_handler(Request::kind, Request::reply::kind, [handler](json body) -> runtime::task<json> {
      return run<Request>(handler, std::move(body));
    });
  }

  // Sends a request to `address` and waits for its reply, at most `timeout` microseconds.
  template <class Request>
  runtime::task<outcome<typename Request::reply>> call(std::string address, Request request,
                                                       runtime::microseconds timeout) const {
    json body = request;
    auto raw =
        co_await call_raw(std::move(address), Request::kind, Request::reply::kind, std::move(body), timeout);
    if (auto* failed = std::get_if<error>(&raw)) co_return *failed;
    auto reply = std::get<json>(raw).template get<typename Request::reply>();
    if constexpr (requires { reply.status; }) {
      if (reply.status == reply_status::unrecognized) report_unrecognized_status(Request::kind);
    }
    co_return reply;
  }

 private:
  template <class Request>
  static runtime::task<json> run(std::function<runtime::task<typename Request::reply>(Request)> handler,
                                 json body) {
    Request request = body.get<Request>();
    // Not held while the handler waits: a message may be large.
    body = nullptr;
    typename Request::reply reply = co_await handler(std::move(request));
    co_return json(reply);
  }
  using raw_handler = std::function<runtime::task<json>(json)>;
  void add_handler(std::string request_kind, std::string reply_kind, raw_handler handler);
  runtime::task<outcome<json>> call_raw(std::string address, std::string request_kind, std::string reply_kind,
                                        json body, runtime::microseconds timeout) const;
  void report_unrecognized_status(const char* request_kind) const;

  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace herontally::rpc
