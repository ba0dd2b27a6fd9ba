// Memory of coroutine frames. Tasks begin and end with every message; their frames are taken from free lists
// by size instead of the heap. Each process runs its tasks on one thread.
#pragma once
#include <array>
#include <cstddef>
#include <new>

namespace herontally::runtime {

// The free blocks of one size.
struct free_frames {
  struct block {
    block* next;
  };
  block* first = nullptr;
  std::size_t length = 0;
};

class frame_pool {
 public:
  static void* allocate(std::size_t bytes) {
    auto number = class_of(bytes);
    if (number >= class_count) return ::operator new(bytes);
    auto& list = lists[number];
    if (!list.first) return ::operator new((number + 1) * class_bytes);
    auto* block = list.first;
    list.first = block->next;
    --list.length;
    return block;
  }
  static void release(void* frame, std::size_t bytes) {
    auto number = class_of(bytes);
    if (number >= class_count || lists[number].length >= max_free_blocks) return ::operator delete(frame);
    auto& list = lists[number];
    list.first = new (frame) free_frames::block{list.first};
    ++list.length;
  }

 private:
  static constexpr std::size_t class_bytes = 64, class_count = 64, max_free_blocks = 16;
  static constexpr std::size_t class_of(std::size_t bytes) { return (bytes - 1) / class_bytes; }

  static inline std::array<free_frames, class_count> lists{};
};

// A base of promises, whose coroutines' frames then come from the pool. Builds with a sanitizer use the heap,
// so that a frame which is used after its end is found.
struct pooled_frame {
#ifndef __SANITIZE_ADDRESS__
  static void* operator new(std::size_t bytes) { return frame_pool::allocate(bytes); }
  static void operator delete(void* frame, std::size_t bytes) { frame_pool::release(frame, bytes); }
#endif
};

}  // namespace herontally::runtime
