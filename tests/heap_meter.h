// Counts the heap memory that this process allocates with `new`. Where the AddressSanitizer is on, memory
// from `malloc` is counted too. Not thread-safe.
#pragma once
#include <cstddef>

namespace herontally::tests {

struct heap_usage {
  std::size_t live = 0, peak = 0;  // in bytes
  std::size_t allocations = 0;     // made so far
};
// The usage so far; `peak` is the highest since the last `reset_heap_peak`.
heap_usage current_heap_usage();
// Restarts the peak from the current live size.
void reset_heap_peak();

}  // namespace herontally::tests
