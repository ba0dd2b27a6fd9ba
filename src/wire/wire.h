// Asking another process of ours and answering it; typed over the runtime's channels.
#pragma once
#include "logging/logging.h"
#include "runtime/runtime.h"
#include "wire/codec.h"
#include "wire/messages.h"

namespace herontally::wire {

enum class error { unreachable, timed_out, refused, malformed };
template <class T>
using outcome = std::variant<T, error>;

using receipt_writer = std::function<void(std::optional<json>)>;

// One process's end of the inner protocol.
class port {
 public:
  port(runtime::handle runtime, std::string sender, logging::journal journal);
  bool listen(const std::string& address);
  // The version spoken; a test may set an older or newer one.
  void speak(int version);
  const std::string& sender() const;
  runtime::handle runtime() const;
  logging::journal journal() const;

  // The handler's receipt is a task's result; handlers run side by side.
  template <class Ask>
  void on(std::function<runtime::task<typename Ask::receipt>(Ask)> handler) {
    add(Ask::record, Ask::receipt::record,
        [handler](json body) -> runtime::task<json> { return run<Ask>(handler, std::move(body)); });
  }

  template <class Ask>
  runtime::task<outcome<typename Ask::receipt>> ask(std::string address, Ask question,
                                                    runtime::microseconds timeout) const {
    json body = question;
    auto raw =
        co_await ask_raw(std::move(address), Ask::record, Ask::receipt::record, std::move(body), timeout);
    if (auto* failed = std::get_if<error>(&raw)) co_return *failed;
    co_return std::get<json>(raw).template get<typename Ask::receipt>();
  }

 private:
  template <class Ask>
  static runtime::task<json> run(std::function<runtime::task<typename Ask::receipt>(Ask)> handler,
                                 json body) {
    Ask question = body.get<Ask>();
    typename Ask::receipt receipt = co_await handler(std::move(question));
    co_return json(receipt);
  }
  using raw_handler = std::function<runtime::task<json>(json)>;
  void add(std::string question, std::string receipt, raw_handler handler);
  runtime::task<outcome<json>> ask_raw(std::string address, std::string question, std::string receipt,
                                       json body, runtime::microseconds timeout) const;
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace herontally::wire
