#include "control_node/stall_detector.h"

namespace herontally::control_node {

constexpr microseconds heartbeat_period = 100 * millisecond;
// Callers give up after a second without an answer.
constexpr microseconds max_stall = 800 * millisecond;
// By this time after a stall's end the requests that came in during it have been handed to their handlers.
constexpr microseconds recovery_time = max_stall / 4;

abandonment_check stall_detector::abandonment_of(http_api::writer out) {
  return [weak = weak_from_this(), out] {
    auto self = weak.lock();
    return !self || out->closed() || self->stalled();
  };
}

bool stall_detector::stalled() const {
  auto now = context_->runtime.now();
  return now - last_heartbeat_ > max_stall || now < stall_ended_ + recovery_time;
}

task<> stall_detector::run() {
  auto self = shared_from_this();
  auto shared = self->context_;
  self->last_heartbeat_ = shared->runtime.now();
  while (true) {
    co_await shared->runtime.sleep(heartbeat_period);
    auto now = shared->runtime.now();
    auto gap = now - self->last_heartbeat_;
    if (gap > max_stall) {
      self->stall_ended_ = now;
      shared->logger.warn("this process was stalled", {{"milliseconds", gap / millisecond}});
    }
    self->last_heartbeat_ = now;
  }
}

}  // namespace herontally::control_node
