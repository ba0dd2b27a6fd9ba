// A counter over a sliding time window. It advances in steps of an eighth of the window, so that amounts
// expire after between 7/8 of the window and the whole of it.
#pragma once
#include <algorithm>
#include <array>
#include <cstdint>

#include "runtime/runtime.h"

namespace herontally::quota {

// Not thread-safe. `now` must not be negative; a time before the newest one is counted in the newest step.
class sliding_count {
 public:
  explicit sliding_count(runtime::microseconds window)
      : step_(std::max<runtime::microseconds>(1, window / steps)) {}

  // Adds an amount at time `now`; negative amounts take earlier ones back.
  void add(runtime::microseconds now, std::int64_t amount) {
    advance(now);
    counts_[static_cast<std::size_t>(newest_ % steps)] += amount;
  }
  // The sum of the amounts within the window; never negative.
  std::int64_t sum(runtime::microseconds now) {
    advance(now);
    std::int64_t total = 0;
    for (auto each : counts_) total += each;
    return std::max<std::int64_t>(0, total);
  }

 private:
  static constexpr std::int64_t steps = 8;

  // Clears the steps that the clock has entered since the last call.
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
