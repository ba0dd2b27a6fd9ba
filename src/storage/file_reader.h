// Reads a file sequentially through a buffer of bounded size. Internal to the storage module.
#pragma once
#include <string_view>

#include "runtime/runtime.h"

namespace herontally::storage {

// A buffered reader of one file; reads with falling offsets work, but each may refill the buffer.
class file_reader {
 public:
  file_reader(const runtime::disk_table& disk, std::string file) : disk_(disk), file_(std::move(file)) {}
  // Determines the file's size. Called before anything else; nothing else may be used if it returns an error.
  std::optional<runtime::disk_error> open();
  // In bytes, as of `open`.
  std::uint64_t size() const { return size_; }
  // The bytes of this part of the file; the view is valid until the next call. Empty if the file ends before
  // the part does, or if reading failed; `failed` tells these apart.
  std::string_view at(std::uint64_t offset, std::size_t length);
  // Whether any read has failed so far.
  bool failed() const { return failed_; }

 private:
  const runtime::disk_table& disk_;
  std::string file_, buffer_;
  std::uint64_t begin_ = 0, size_ = 0;
  bool failed_ = false;
};

}  // namespace herontally::storage
