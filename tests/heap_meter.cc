#include "heap_meter.h"

#include <malloc.h>
#include <stdlib.h>

#include <algorithm>
#include <new>

#ifdef __SANITIZE_ADDRESS__
// As <sanitizer/allocator_interface.h> has them, which g++'s package doesn't bring.
extern "C" {
int __sanitizer_get_ownership(const volatile void* made);
std::size_t __sanitizer_get_allocated_size(const volatile void* made);
int __sanitizer_install_malloc_and_free_hooks(void (*on_made)(const volatile void*, std::size_t),
                                              void (*on_freed)(const volatile void*));
}
#endif

namespace herontally::tests {

namespace {
heap_use counted;

void count_made(std::size_t bytes) {
  ++counted.allocations;
  counted.live += bytes;
  counted.peak = std::max(counted.peak, counted.live);
}
void count_freed(std::size_t bytes) { counted.live -= std::min(bytes, counted.live); }
}  // namespace

heap_use heap_now() { return counted; }
void reset_heap_peak() { counted.peak = counted.live; }

#ifdef __SANITIZE_ADDRESS__

// The sanitizer's own allocator stays in place, so that it goes on checking what is freed, and how.
namespace {
void on_made(const volatile void*, std::size_t bytes) { count_made(bytes); }
void on_freed(const volatile void* made) {
  if (made && __sanitizer_get_ownership(made)) count_freed(__sanitizer_get_allocated_size(made));
}
const int hooks = __sanitizer_install_malloc_and_free_hooks(on_made, on_freed);
}  // namespace

}  // namespace herontally::tests

#else

static void* take(std::size_t bytes) {
  void* made = malloc(std::max<std::size_t>(bytes, 1));
  if (!made) throw std::bad_alloc();
  count_made(malloc_usable_size(made));
  return made;
}

static void give_back(void* made) {
  if (made) count_freed(malloc_usable_size(made));
  free(made);
}

}  // namespace herontally::tests

void* operator new(std::size_t bytes) { return herontally::tests::take(bytes); }
void* operator new[](std::size_t bytes) { return herontally::tests::take(bytes); }
void operator delete(void* made) noexcept { herontally::tests::give_back(made); }
void operator delete[](void* made) noexcept { herontally::tests::give_back(made); }
void operator delete(void* made, std::size_t) noexcept { herontally::tests::give_back(made); }
void operator delete[](void* made, std::size_t) noexcept { herontally::tests::give_back(made); }

#endif
