#include "disk/recovery.h"

#include "disk/format.h"

namespace herontally::disk {

// The whole change at this place of the file, of which no more than `most` bytes are there.
static std::optional<change_view> change_at(file_window& file, std::uint64_t offset, std::uint64_t most) {
  change_size size = size_of_change({});
  while (!size.exact) {
    if (size.bytes > most) return std::nullopt;
    auto begin = file.at(offset, size.bytes);
    if (begin.empty()) return std::nullopt;
    size = size_of_change(begin);
  }
  if (size.bytes > most) return std::nullopt;
  return read_change(file.at(offset, size.bytes));
}

bool load_slot(file_window& file, index& records) {
  auto head = read_slot_head(file.at(0, slot_head_bytes));
  if (!head || file.size() - slot_head_bytes != head->payload_bytes) return false;
  std::uint32_t sum = head->seed();
  std::uint64_t offset = slot_head_bytes;
  while (offset < file.size()) {
    auto found = change_at(file, offset, file.size() - offset);
    if (!found || !found->value) return false;
    auto bytes = file.at(offset, found->bytes);
    sum = checksum(bytes, sum);
    records.put(found->key, *found->value, false, offset + found->value_offset);
    offset += found->bytes;
  }
  return sum == head->checksum;
}

// The head of the batch that begins here, if its payload is whole.
static std::optional<batch_head> batch_at(file_window& file, std::uint64_t offset) {
  auto head = read_batch_head(file.at(offset, batch_head_bytes));
  if (!head) return std::nullopt;
  auto payload = file.at(offset + batch_head_bytes, head->payload_bytes);
  if (payload.size() != head->payload_bytes || !head->covers(payload)) return std::nullopt;
  return head;
}

// False when the payload isn't made of whole changes.
static bool apply_batch(file_window& file, std::uint64_t offset, std::uint64_t end, index* records) {
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

log_reading read_log(file_window& file, std::uint64_t generation, index* records) {
  log_reading reading;
  std::uint64_t offset = 0, expected = 1;
  bool gap = false;
  while (offset < file.size()) {
    auto head = batch_at(file, offset);
    std::uint64_t begin = offset + batch_head_bytes;
    bool whole = head && apply_batch(file, begin, begin + head->payload_bytes, nullptr);
    if (!whole) {
      // Bytes that can't be read are a torn tail only if no whole batch of this generation follows.
      gap = true;
      ++offset;
      continue;
    }
    offset = begin + head->payload_bytes;
    reading.newest_generation = std::max(reading.newest_generation, head->generation);
    // What the file's earlier use left behind doesn't count.
    if (head->generation != generation) continue;
    if (gap || head->sequence != expected) reading.corrupt = true;
    ++expected;
    apply_batch(file, begin, offset, records);
  }
  return reading;
}

}  // namespace herontally::disk
