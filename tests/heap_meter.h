// What this process holds on its heap, by all that is made with `new`.
#pragma once
#include <cstddef>

namespace herontally::tests {

struct heap_use {
  std::size_t live = 0, peak = 0;
  std::size_t allocations = 0;  // made so far
};
heap_use heap_now();
// The peak is counted from here on.
void reset_heap_peak();

}  // namespace herontally::tests
