// Requests that wait for an engine to have capacity: the most urgent first, and among these the first to
// come.
#pragma once
#include <map>

#include "runtime/runtime.h"

namespace herontally::router {

class request_queue {
 public:
  // `urgency`: 0 is the most urgent.
  void add(std::int64_t urgency, runtime::slot<bool> waiter) { waiters_.emplace(urgency, std::move(waiter)); }
  void remove_notified() {
    std::erase_if(waiters_, [](auto& entry) { return entry.second.is_set(); });
  }
  // All are notified in their order; who finds no engine waits again.
  void notify_all() {
    auto notified = std::exchange(waiters_, {});
    for (auto& [urgency, waiter] : notified) waiter.set(true);
  }

 private:
  std::multimap<std::int64_t, runtime::slot<bool>> waiters_;
};

}  // namespace herontally::router
