#include "router/idle_limit.h"

#include <algorithm>

namespace herontally::router {

using runtime::millisecond;
using runtime::second;

constexpr microseconds repeatable_limit = 4 * second;
constexpr microseconds single_run_limit = 2 * second;
// A connection that was in use just before has not been forgotten: its loss says nothing about idle times.
constexpr microseconds shortest_idle = 100 * millisecond;
// A loss holds for the whole service this long: its engines tend to share their configuration.
constexpr microseconds loss_remembered = 60 * second;

microseconds idle_limit::longest(const std::string& service, bool repeatable, microseconds now) const {
  if (repeatable) return repeatable_limit;
  auto found = losses_.find(service);
  bool remembered = found != losses_.end() && now < found->second.until;
  return remembered ? std::min(single_run_limit, found->second.limit) : single_run_limit;
}

void idle_limit::lost(const std::string& service, microseconds idle, microseconds now) {
  if (idle < shortest_idle) return;
  auto& entry = losses_[service];
  bool remembered = now < entry.until;
  microseconds limit = idle / 2;
  entry.limit = remembered ? std::min(entry.limit, limit) : limit;
  entry.until = now + loss_remembered;
}

}  // namespace herontally::router
