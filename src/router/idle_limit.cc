#include "router/idle_limit.h"

#include <algorithm>

namespace herontally::router {

using runtime::millisecond;
using runtime::second;

constexpr microseconds repeatable_limit = 4 * second;
constexpr microseconds non_repeatable_limit = 2 * second;
// The engine hasn't dropped a connection that was used just before: its loss says nothing about idle times.
constexpr microseconds min_counted_idle = 100 * millisecond;
// How long a loss limits all connections of the service: its engines tend to share their configuration.
constexpr microseconds loss_retention = 60 * second;

microseconds idle_limit::max_idle(const std::string& service, bool repeatable, microseconds now) const {
  if (repeatable) return repeatable_limit;
  auto found = losses_.find(service);
  bool remembered = found != losses_.end() && now < found->second.until;
  return remembered ? std::min(non_repeatable_limit, found->second.limit) : non_repeatable_limit;
}

void idle_limit::record_loss(const std::string& service, microseconds idle, microseconds now) {
  if (idle < min_counted_idle) return;
  auto& entry = losses_[service];
  bool remembered = now < entry.until;
  microseconds limit = idle / 2;
  entry.limit = remembered ? std::min(entry.limit, limit) : limit;
  entry.until = now + loss_retention;
}

}  // namespace herontally::router
