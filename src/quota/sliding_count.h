// How much was counted within a sliding window of time, in steps of an eighth of it.
#pragma once
#include <algorithm>
#include <array>
#include <cstdint>

#include "runtime/runtime.h"

namespace herontally::quota {

class sliding_count {
 public:
  explicit sliding_count(runtime::microseconds window)
      : step_(std::max<runtime::microseconds>(1, window / steps)) {}

  void add(runtime::microseconds now, std::int64_t amount) {
    advance(now);
    counts_[static_cast<std::size_t>(newest_ % steps)] += amount;
  }
  std::int64_t sum(runtime::microseconds now) {
    advance(now);
    std::int64_t total = 0;
    for (auto each : counts_) total += each;
    return std::max<std::int64_t>(0, total);
  }

 private:
  static constexpr std::int64_t steps = 8;

  // Steps that the clock has passed by begin empty.
  void advance(runtime::microseconds now) {
    auto current = now / step_;
    auto passed = std::min(steps, current - newest_);
    for (std::int64_t step = 0; step < passed; ++step)
      counts_[static_cast<std::size_t>((current - step) % steps)] = 0;
    newest_ = std::max(newest_, current);
  }

  runtime::microseconds step_;
  std::int64_t newest_ = 0;
  std::array<std::int64_t, steps> counts_{};
};

}  // namespace herontally::quota
