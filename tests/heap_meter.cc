#include "heap_meter.h"

#include <malloc.h>
#include <stdlib.h>

#include <algorithm>
#include <new>

namespace herontally::tests {

namespace {
heap_use counted;
}

heap_use heap_now() { return counted; }
void reset_heap_peak() { counted.peak = counted.live; }

static void* take(std::size_t bytes) {
  void* made = malloc(std::max<std::size_t>(bytes, 1));
  if (!made) throw std::bad_alloc();
  counted.live += malloc_usable_size(made);
  counted.peak = std::max(counted.peak, counted.live);
  return made;
}

static void give_back(void* made) {
  if (made) counted.live -= malloc_usable_size(made);
  free(made);
}

}  // namespace herontally::tests

void* operator new(std::size_t bytes) { return herontally::tests::take(bytes); }
void* operator new[](std::size_t bytes) { return herontally::tests::take(bytes); }
void operator delete(void* made) noexcept { herontally::tests::give_back(made); }
void operator delete[](void* made) noexcept { herontally::tests::give_back(made); }
void operator delete(void* made, std::size_t) noexcept { herontally::tests::give_back(made); }
void operator delete[](void* made, std::size_t) noexcept { herontally::tests::give_back(made); }
