#include "storage/recovery.h"

#include "storage/format.h"

namespace herontally::storage {

// The change at this offset of the file; std::nullopt if it isn't complete within the next `available` bytes.
static std::optional<change_view> change_at(file_reader& file, std::uint64_t offset,
                                            std::uint64_t available) {
  change_size size = size_of_change({});
  while (!size.exact) {
    if (size.bytes > available) return std::nullopt;
    auto begin = file.at(offset, size.bytes);
    if (begin.empty()) return std::nullopt;
    size = size_of_change(begin);
  }
  if (size.bytes > available) return std::nullopt;
  return read_change(file.at(offset, size.bytes));
}

bool load_slot(file_reader& file, record_index& records) {
  auto header = read_slot_header(file.at(0, slot_header_bytes));
  if (!header || file.size() - slot_header_bytes != header->payload_bytes) return false;
  std::uint32_t running_checksum = header->header_checksum();
  std::uint64_t offset = slot_header_bytes;
  while (offset < file.size()) {
    auto found = change_at(file, offset, file.size() - offset);
    if (!found || !found->value) return false;
    auto bytes = file.at(offset, found->bytes);
    running_checksum = checksum(bytes, running_checksum);
    records.put(found->key, *found->value, false, offset + found->value_offset);
    offset += found->bytes;
  }
  return running_checksum == header->checksum;
}

// The header of the batch at this offset; std::nullopt if there is none or its payload is incomplete or fails
// the checksum.
static std::optional<batch_header> batch_at(file_reader& file, std::uint64_t offset) {
  auto header = read_batch_header(file.at(offset, batch_header_bytes));
  if (!header) return std::nullopt;
  auto payload = file.at(offset + batch_header_bytes, header->payload_bytes);
  if (payload.size() != header->payload_bytes || !header->matches_checksum(payload)) return std::nullopt;
  return header;
}

// Applies the changes of a batch's payload, from `offset` to `end`, to the index; nullptr only checks them.
// False if the payload doesn't consist of complete changes.
static bool apply_batch(file_reader& file, std::uint64_t offset, std::uint64_t end, record_index* records) {
  while (offset < end) {
    auto found = change_at(file, offset, end - offset);
    if (!found) return false;
    if (records && found->value)
      records->put(found->key, *found->value, true, offset + found->value_offset);
    else if (records)
      records->remove(std::string(found->key));
    offset += found->bytes;
  }
  return true;
}

log_contents read_log(file_reader& file, std::uint64_t generation, record_index* records) {
  log_contents contents;
  std::uint64_t offset = 0, expected = 1;
  bool gap = false;
  while (offset < file.size()) {
    auto header = batch_at(file, offset);
    std::uint64_t begin = offset + batch_header_bytes;
    bool complete = header && apply_batch(file, begin, begin + header->payload_bytes, nullptr);
    if (!complete) {
      // Unreadable bytes are a torn tail only if no complete batch of this generation follows. The search for
      // one continues at the next byte.
      gap = true;
      ++offset;
      continue;
    }
    offset = begin + header->payload_bytes;
    contents.newest_generation = std::max(contents.newest_generation, header->generation);
    // Batches of other generations remain from the file's earlier use.
    if (header->generation != generation) continue;
    if (gap || header->sequence != expected) contents.corrupt = true;
    ++expected;
    apply_batch(file, begin, offset, records);
  }
  return contents;
}

}  // namespace herontally::storage
