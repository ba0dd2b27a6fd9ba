// Requests that wait for an engine with capacity, ordered by urgency and then by arrival. The queue assigns
// no engine: a notified request plans again and may have to wait again.
#pragma once
#include <map>

#include "runtime/runtime.h"

namespace herontally::router {

class request_queue {
 public:
  // Adds a waiter, which is set to true by `notify_all`. `urgency`: 0 is the most urgent.
  void add(std::int64_t urgency, runtime::slot<bool> waiter) { waiters_.emplace(urgency, std::move(waiter)); }
  // Removes the waiters that are already set, for instance by a timeout.
  void remove_notified() {
    std::erase_if(waiters_, [](auto& entry) { return entry.second.is_set(); });
  }
  // Notifies and removes all waiters in order; a request that still finds no engine adds itself again.
  void notify_all() {
    auto notified = std::exchange(waiters_, {});
    for (auto& [urgency, waiter] : notified) waiter.set(true);
  }

 private:
  std::multimap<std::int64_t, runtime::slot<bool>> waiters_;
};

}  // namespace herontally::router
