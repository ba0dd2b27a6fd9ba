// Lazy coroutine tasks: a task starts when it is awaited or spawned and owns its coroutine frame. An
// exception is rethrown where the task is awaited; one that leaves a spawned task ends the process.
#pragma once
#include <coroutine>
#include <exception>
#include <optional>
#include <utility>

#include "runtime/frame_pool.h"

namespace herontally::runtime {

// The final awaiter: resumes the task that awaits the finished one.
struct resume_continuation {
  bool await_ready() noexcept { return false; }
  template <class Promise>
  std::coroutine_handle<> await_suspend(std::coroutine_handle<Promise> finished) noexcept {
    auto continuation = finished.promise().continuation;
    return continuation ? continuation : std::noop_coroutine();
  }
  void await_resume() noexcept {}
};

// Owns a coroutine frame; movable, not copyable.
template <class Promise>
class frame_owner {
 public:
  explicit frame_owner(std::coroutine_handle<Promise> handle) : handle_(handle) {}
  frame_owner(frame_owner&& other) noexcept : handle_(std::exchange(other.handle_, {})) {}
  frame_owner& operator=(frame_owner&& other) noexcept {
    if (this != &other) {
      if (handle_) handle_.destroy();
      handle_ = std::exchange(other.handle_, {});
    }
    return *this;
  }
  ~frame_owner() {
    if (handle_) handle_.destroy();
  }
  std::coroutine_handle<Promise> get() const { return handle_; }

 private:
  std::coroutine_handle<Promise> handle_;
};

template <class T = void>
class [[nodiscard]] task {
 public:
  struct promise_type : pooled_frame {
    std::coroutine_handle<> continuation;
    std::optional<T> value;
    std::exception_ptr exception;
    task get_return_object() { return task(std::coroutine_handle<promise_type>::from_promise(*this)); }
    std::suspend_always initial_suspend() noexcept { return {}; }
    resume_continuation final_suspend() noexcept { return {}; }
    void unhandled_exception() { exception = std::current_exception(); }
    void return_value(T result) { value.emplace(std::move(result)); }
  };
  bool await_ready() const noexcept { return false; }
  std::coroutine_handle<> await_suspend(std::coroutine_handle<> waiter) noexcept {
    frame_.get().promise().continuation = waiter;
    return frame_.get();
  }
  T await_resume() {
    auto& promise = frame_.get().promise();
    if (promise.exception) std::rethrow_exception(promise.exception);
    return std::move(*promise.value);
  }

 private:
  explicit task(std::coroutine_handle<promise_type> handle) : frame_(handle) {}
  frame_owner<promise_type> frame_;
};

template <>
class [[nodiscard]] task<void> {
 public:
  struct promise_type : pooled_frame {
    std::coroutine_handle<> continuation;
    std::exception_ptr exception;
    task get_return_object() { return task(std::coroutine_handle<promise_type>::from_promise(*this)); }
    std::suspend_always initial_suspend() noexcept { return {}; }
    resume_continuation final_suspend() noexcept { return {}; }
    void unhandled_exception() { exception = std::current_exception(); }
    void return_void() {}
  };
  bool await_ready() const noexcept { return false; }
  std::coroutine_handle<> await_suspend(std::coroutine_handle<> waiter) noexcept {
    frame_.get().promise().continuation = waiter;
    return frame_.get();
  }
  void await_resume() {
    if (frame_.get().promise().exception) std::rethrow_exception(frame_.get().promise().exception);
  }
  // Called only by the runtime, for a spawned task.
  void start() { frame_.get().resume(); }

 private:
  explicit task(std::coroutine_handle<promise_type> handle) : frame_(handle) {}
  frame_owner<promise_type> frame_;
};

}  // namespace herontally::runtime
