// Reads a file from front to back through a buffer of bounded size. Internal to the storage package.
#pragma once
#include <string_view>

#include "runtime/runtime.h"

namespace herontally::storage {

class file_reader {
 public:
  file_reader(const runtime::disk_table& disk, std::string file) : disk_(disk), file_(std::move(file)) {}
  // Looks up the file's size; to be called first.
  std::optional<runtime::disk_error> open();
  std::uint64_t size() const { return size_; }
  // The bytes of this part of the file, valid until the next call. Empty when the file ends before the end of
  // the part, or when reading failed, which `failed` then tells.
  std::string_view at(std::uint64_t offset, std::size_t length);
  bool failed() const { return failed_; }

 private:
  const runtime::disk_table& disk_;
  std::string file_, buffer_;
  std::uint64_t begin_ = 0, size_ = 0;
  bool failed_ = false;
};

}  // namespace herontally::storage
