// The handle that node code runs on: clock, timers, tasks, channels, HTTP, disk and seeded randomness.
#pragma once
#include <deque>
#include <random>

#include "runtime/backend.h"
#include "runtime/task.h"

namespace herontally::runtime {

class handle {
 public:
  handle(backend table, std::uint64_t seed);
  microseconds now() const;
  microseconds wall() const;
  std::mt19937_64& random() const;
  std::uint64_t draw(std::uint64_t below) const;
  std::string random_name() const;
  void post(std::function<void()> work) const;
  std::uint64_t after(microseconds delay, std::function<void()> work) const;
  void cancel(std::uint64_t timer) const;
  void spawn(task<> work) const;
  task<> sleep(microseconds delay) const;
  task<call_outcome> call(std::string address, std::string bytes, microseconds timeout) const;
  bool serve(std::string address, message_handler handler) const;
  bool http_serve(std::string address, http_handler handler) const;
  void http_drain(std::string address) const;
  connection_counts http_connections(std::string address) const;
  const backend& table() const;
  task<std::optional<disk_error>> sync(std::string file) const;
  // Run by `stop`, so that what refers to itself in a ring is let go.
  void on_stop(std::function<void()> work) const;
  // Ends every task; called once, when the process or the simulated node stops.
  void stop() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

// A value that one task waits for and another sets; the first setting wins.
template <class T>
class slot {
 public:
  explicit slot(handle runtime) : runtime_(std::move(runtime)), state_(std::make_shared<shared>()) {}
  void set(T value) const {
    if (state_->value) return;
    state_->value.emplace(std::move(value));
    // Waking goes through the loop, so that a setter never runs a waiter's code inside its own.
    if (state_->waiter) wake(runtime_, state_);
  }
  bool is_set() const { return state_->value.has_value(); }
  auto wait() const { return awaiter{state_}; }

 private:
  struct shared {
    std::optional<T> value;
    std::coroutine_handle<> waiter;
  };
  static void wake(const handle& runtime, std::shared_ptr<shared> state) {
    runtime.post([state] {
      if (state->waiter) std::exchange(state->waiter, {}).resume();
    });
  }
  struct awaiter {
    std::shared_ptr<shared> state;
    explicit awaiter(std::shared_ptr<shared> from) : state(std::move(from)) {}
    awaiter(const awaiter&) = delete;
    ~awaiter() { state->waiter = {}; }
    bool await_ready() const { return state->value.has_value(); }
    void await_suspend(std::coroutine_handle<> waiter) { state->waiter = waiter; }
    T await_resume() { return *state->value; }
  };
  handle runtime_;
  std::shared_ptr<shared> state_;
};

// Waits until all are set; whether all were set to true.
inline task<bool> all_true(std::vector<slot<bool>> waits) {
  bool all = true;
  for (auto& wait : waits) {
    bool result = co_await wait.wait();
    all = all && result;
  }
  co_return all;
}

// A queue of values with one taker.
template <class T>
class mailbox {
 public:
  explicit mailbox(handle runtime) : runtime_(std::move(runtime)), state_(std::make_shared<shared>()) {}
  void push(T value) const {
    state_->values.push_back(std::move(value));
    if (state_->notifier) state_->notifier->set(true);
  }
  bool empty() const { return state_->values.empty(); }
  std::size_t size() const { return state_->values.size(); }
  // Nothing comes back when the time runs out first.
  task<std::optional<T>> pop(microseconds timeout) const {
    auto state = state_;
    if (state->values.empty()) {
      slot<bool> notifier(runtime_);
      state->notifier = notifier;
      std::uint64_t timer = 0;
      if (timeout >= 0) timer = runtime_.after(timeout, [notifier] { notifier.set(false); });
      co_await notifier.wait();
      state->notifier.reset();
      if (timer) runtime_.cancel(timer);
    }
    if (state->values.empty()) co_return std::nullopt;
    std::optional<T> value(std::move(state->values.front()));
    state->values.pop_front();
    co_return value;
  }

 private:
  struct shared {
    std::deque<T> values;
    std::optional<slot<bool>> notifier;
  };
  handle runtime_;
  std::shared_ptr<shared> state_;
};

// The client's side of one HTTP exchange; dropping it gives the exchange up.
class http_stream {
 public:
  http_stream(handle runtime, std::string address, http_request request);
  ~http_stream();
  http_stream(const http_stream&) = delete;
  task<std::optional<http_event>> next(microseconds timeout);
  // Whoever waits for the next event is given a failure.
  void interrupt();

 private:
  handle runtime_;
  mailbox<http_event> events_;
  std::shared_ptr<std::uint64_t> number_;
};

// Runs work on behalf of one caller, such as a request; what it throws is returned to whoever answers the
// caller. Nothing: it ended as it should.
task<std::optional<std::string>> failure_of(task<> work);

// Graceful shutdown of servers: their next answer asks each client to close its connection, and this returns
// once all have, or from the time `until` on once every request that was read has its answer, at the latest
// at `latest`.
task<> drain_connections(handle runtime, std::vector<std::string> addresses, microseconds until,
                         microseconds latest);

using http_outcome = std::variant<http_response, http_failure>;
task<http_outcome> http_fetch(handle runtime, std::string address, http_request request,
                              microseconds timeout);

}  // namespace herontally::runtime
