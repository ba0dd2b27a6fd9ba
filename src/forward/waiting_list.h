// Requests that wait for an engine to come free: the most urgent first, and among these the first to come.
#pragma once
#include <map>

#include "runtime/runtime.h"

namespace herontally::forward {

class waiting_list {
 public:
  // `urgency`: 0 is the most urgent.
  void add(std::int64_t urgency, runtime::slot<bool> waiter) { waiters_.emplace(urgency, std::move(waiter)); }
  void remove_woken() {
    std::erase_if(waiters_, [](auto& entry) { return entry.second.is_set(); });
  }
  // All are woken in their order; who finds no engine waits again.
  void wake_all() {
    auto woken = std::exchange(waiters_, {});
    for (auto& [urgency, waiter] : woken) waiter.set(true);
  }

 private:
  std::multimap<std::int64_t, runtime::slot<bool>> waiters_;
};

}  // namespace herontally::forward
