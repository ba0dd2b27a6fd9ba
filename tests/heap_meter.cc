#include "heap_meter.h"

#include <malloc.h>
#include <stdlib.h>

#include <algorithm>
#include <new>

#ifdef __SANITIZE_ADDRESS__
// Declared here because g++'s package doesn't contain <sanitizer/allocator_interface.h>.
extern "C" {
int __sanitizer_get_ownership(const volatile void* pointer);
std::size_t __sanitizer_get_allocated_size(const volatile void* pointer);
int __sanitizer_install_malloc_and_free_hooks(void (*on_allocate)(const volatile void*, std::size_t),
                                              void (*on_deallocate)(const volatile void*));
}
#endif

namespace herontally::tests {

namespace {
heap_usage usage;

void count_allocation(std::size_t bytes) {
  ++usage.allocations;
  usage.live += bytes;
  usage.peak = std::max(usage.peak, usage.live);
}
void count_deallocation(std::size_t bytes) { usage.live -= std::min(bytes, usage.live); }
}  // namespace

heap_usage current_heap_usage() { return usage; }
void reset_heap_peak() { usage.peak = usage.live; }

#ifdef __SANITIZE_ADDRESS__

// Hooks are used in place of replaced operators, so that the sanitizer's allocator still checks what is freed
// and how.
namespace {
void on_allocate(const volatile void*, std::size_t bytes) { count_allocation(bytes); }
void on_deallocate(const volatile void* pointer) {
  if (pointer && __sanitizer_get_ownership(pointer))
    count_deallocation(__sanitizer_get_allocated_size(pointer));
}
const int hooks = __sanitizer_install_malloc_and_free_hooks(on_allocate, on_deallocate);
}  // namespace

}  // namespace herontally::tests

#else

static void* allocate(std::size_t bytes) {
  void* pointer = malloc(std::max<std::size_t>(bytes, 1));
  if (!pointer) throw std::bad_alloc();
  count_allocation(malloc_usable_size(pointer));
  return pointer;
}

static void deallocate(void* pointer) {
  if (pointer) count_deallocation(malloc_usable_size(pointer));
  free(pointer);
}

}  // namespace herontally::tests

void* operator new(std::size_t bytes) { return herontally::tests::allocate(bytes); }
void* operator new[](std::size_t bytes) { return herontally::tests::allocate(bytes); }
void operator delete(void* pointer) noexcept { herontally::tests::deallocate(pointer); }
void operator delete[](void* pointer) noexcept { herontally::tests::deallocate(pointer); }
void operator delete(void* pointer, std::size_t) noexcept { herontally::tests::deallocate(pointer); }
void operator delete[](void* pointer, std::size_t) noexcept { herontally::tests::deallocate(pointer); }

#endif
