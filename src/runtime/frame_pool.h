// Allocates coroutine frames. Tasks start and end with every message, so their frames come from free lists by
// size class instead of the heap. Not thread-safe: each process runs its tasks on one thread.
#pragma once
#include <array>
#include <cstddef>
#include <new>

namespace herontally::runtime {

// The free blocks of one size class.
struct free_list {
  struct block {
    block* next;
  };
  block* first = nullptr;
  std::size_t count = 0;
};

class frame_pool {
 public:
  static void* allocate(std::size_t bytes) {
    auto size_class = size_class_of(bytes);
    if (size_class >= class_count) return ::operator new(bytes);
    auto& list = free_lists[size_class];
    if (!list.first) return ::operator new((size_class + 1) * class_bytes);
    auto* block = list.first;
    list.first = block->next;
    --list.count;
    return block;
  }
  static void release(void* frame, std::size_t bytes) {
    auto size_class = size_class_of(bytes);
    if (size_class >= class_count || free_lists[size_class].count >= max_free_blocks)
      return ::operator delete(frame);
    auto& list = free_lists[size_class];
    list.first = new (frame) free_list::block{list.first};
    ++list.count;
  }

 private:
  static constexpr std::size_t class_bytes = 64, class_count = 64, max_free_blocks = 16;
  static constexpr std::size_t size_class_of(std::size_t bytes) { return (bytes - 1) / class_bytes; }

  static inline std::array<free_list, class_count> free_lists{};
};

// Base class of promise types whose coroutine frames come from the pool. Builds with AddressSanitizer use the
// heap, so that a use after free of a frame is detected.
struct pooled_frame {
#ifndef __SANITIZE_ADDRESS__
  static void* operator new(std::size_t bytes) { return frame_pool::allocate(bytes); }
  static void operator delete(void* frame, std::size_t bytes) { frame_pool::release(frame, bytes); }
#endif
};

}  // namespace herontally::runtime
