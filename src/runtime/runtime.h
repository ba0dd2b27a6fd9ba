// The runtime as node code uses it: clock, timers, tasks, channels, HTTP, disk and seeded randomness. It
// hides whether the node runs on the event loop or in the simulator.
#pragma once
#include <deque>
#include <random>

#include "runtime/backend.h"
#include "runtime/task.h"

namespace herontally::runtime {

// A shared reference to one node's runtime; copies refer to the same runtime. Times are in microseconds.
class handle {
 public:
  handle(backend table, std::uint64_t seed);
  // Monotonic time; it includes time that the machine was suspended.
  microseconds now() const;
  // Time since the Unix epoch.
  microseconds wall() const;
  std::mt19937_64& random() const;
  // A random number below `below`, or 0 when `below` is 0.
  std::uint64_t draw(std::uint64_t below) const;
  // 16 random hexadecimal digits.
  std::string random_name() const;
  // Runs the callback from the loop, after those posted before it.
  void post(std::function<void()> work) const;
  // Runs the callback after the delay; returns an ID for `cancel`.
  std::uint64_t after(microseconds delay, std::function<void()> work) const;
  void cancel(std::uint64_t timer) const;
  // Starts a task from the loop; an exception that leaves it ends the process. Ignored after `stop`.
  void spawn(task<> work) const;
  task<> sleep(microseconds delay) const;
  // Sends a message and waits for its reply, at most for `timeout`.
  task<call_outcome> call(std::string address, std::string bytes, microseconds timeout) const;
  // Accept messages or HTTP requests at an address; false when it can't be listened on.
  bool serve(std::string address, message_handler handler) const;
  bool http_serve(std::string address, http_handler handler) const;
  // Closes each client connection with its next response; see `drain_connections`.
  void http_drain(std::string address) const;
  connection_counts http_connections(std::string address) const;
  const backend& table() const;
  // Returns once the file's changes are durable.
  task<std::optional<disk_error>> sync(std::string file) const;
  // Registers a function that `stop` calls, to break reference cycles.
  void on_stop(std::function<void()> work) const;
  // Destroys all tasks; called once, when the process or the simulated node stops.
  void stop() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

// A value that one task sets and another waits for; only the first `set` has an effect.
template <class T>
class slot {
 public:
  explicit slot(handle runtime) : runtime_(std::move(runtime)), state_(std::make_shared<shared>()) {}
  void set(T value) const {
    if (state_->value) return;
    state_->value.emplace(std::move(value));
    // The waiter resumes from the loop, so that its code never runs inside the setter's call.
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

// Waits until all slots are set; returns whether all were set to true.
inline task<bool> all_true(std::vector<slot<bool>> slots) {
  bool all = true;
  for (auto& each : slots) {
    bool result = co_await each.wait();
    all = all && result;
  }
  co_return all;
}

// A queue of values with a single consumer.
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
  // Waits for a value; nullopt after the timeout. A negative timeout waits forever.
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

// The client's side of one HTTP exchange; its destruction cancels the exchange.
class http_stream {
 public:
  http_stream(handle runtime, std::string address, http_request request);
  ~http_stream();
  http_stream(const http_stream&) = delete;
  // The next event; nullopt after the timeout.
  task<std::optional<http_event>> next(microseconds timeout);
  // Queues a failure event, which wakes the task that waits for the next event.
  void interrupt();

 private:
  handle runtime_;
  mailbox<http_event> events_;
  std::shared_ptr<std::uint64_t> id_;
};

// Runs a task on behalf of one caller, such as a request, and returns the message of a std::exception that it
// threw, for the response to the caller; nullopt when it completed.
task<std::optional<std::string>> failure_of(task<> work);

// Drains servers gracefully: each client is asked to close its connection with its next response. Returns
// once all connections have closed; from the time `until` on, once every request that was read has its
// response; and at the time `latest` in any case.
task<> drain_connections(handle runtime, std::vector<std::string> addresses, microseconds until,
                         microseconds latest);

using http_outcome = std::variant<http_response, http_failure>;
// Sends a request and collects the complete response; a failure after the timeout, or if the response is
// larger than any document that is fetched.
task<http_outcome> http_fetch(handle runtime, std::string address, http_request request,
                              microseconds timeout);

}  // namespace herontally::runtime
