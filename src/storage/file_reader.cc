#include "storage/file_reader.h"

#include <algorithm>

namespace herontally::storage {

// The least number of bytes that is read at once. A longer part is read in a single call.
constexpr std::size_t chunk_bytes = 64 << 10;

std::optional<runtime::disk_error> file_reader::open() {
  auto found = disk_.size(file_);
  if (auto* error = std::get_if<runtime::disk_error>(&found)) return *error;
  size_ = std::get<std::uint64_t>(found);
  return std::nullopt;
}

std::string_view file_reader::at(std::uint64_t offset, std::size_t length) {
  if (offset > size_ || length > size_ - offset) return {};
  bool buffered = offset >= begin_ && offset + length <= begin_ + buffer_.size();
  if (!buffered) {
    buffer_ = std::string();
    auto bytes = disk_.read_at(file_, offset, std::max(length, chunk_bytes));
    if (auto* text = std::get_if<std::string>(&bytes)) buffer_ = std::move(*text);
    begin_ = offset;
    if (buffer_.size() < length) {
      failed_ = true;
      return {};
    }
  }
  return std::string_view(buffer_).substr(offset - begin_, length);
}

}  // namespace herontally::storage
