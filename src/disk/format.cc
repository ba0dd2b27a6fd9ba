#include "disk/format.h"

#include <string.h>
#include <zlib.h>

namespace herontally::disk {

namespace {
constexpr std::uint32_t batch_mark = 0x4c425448;  // differs from the slot's, so neither is read as the other
constexpr std::uint32_t slot_mark = 0x54534c48;
constexpr std::size_t flag_bytes = 1, size_bytes = 4;

template <class T>
void put(std::string& out, T number) {
  out.append(reinterpret_cast<const char*>(&number), sizeof number);
}
template <class T>
T get(std::string_view bytes, std::size_t position) {
  T number;
  memcpy(&number, bytes.data() + position, sizeof number);
  return number;
}

// The part of a batch's head that its checksum covers.
std::string covered_part(const batch_head& head) {
  std::string covered;
  put(covered, head.generation);
  put(covered, head.sequence);
  put(covered, head.payload_bytes);
  return covered;
}
}  // namespace

std::uint32_t checksum(std::string_view bytes, std::uint32_t before) {
  return static_cast<std::uint32_t>(
      crc32(before, reinterpret_cast<const Bytef*>(bytes.data()), static_cast<uInt>(bytes.size())));
}

std::uint32_t joined_checksum(std::uint32_t first, std::uint32_t second, std::size_t second_bytes) {
  return static_cast<std::uint32_t>(crc32_combine(first, second, static_cast<z_off_t>(second_bytes)));
}

std::size_t change_head_bytes(std::string_view key) {
  return flag_bytes + size_bytes + key.size() + size_bytes;
}

std::string pack_change_head(std::string_view key, std::optional<std::size_t> value_bytes) {
  std::string out;
  out.push_back(value_bytes ? 1 : 0);
  put(out, static_cast<std::uint32_t>(key.size()));
  out += key;
  if (value_bytes) put(out, static_cast<std::uint32_t>(*value_bytes));
  return out;
}

change_size size_of_change(std::string_view begin) {
  std::size_t least = flag_bytes + size_bytes;
  if (begin.size() < least) return {least, false};
  std::size_t key_bytes = get<std::uint32_t>(begin, flag_bytes);
  least += key_bytes;
  if (begin[0] == 0) return {least, true};
  least += size_bytes;
  if (begin.size() < least) return {least, false};
  return {least + get<std::uint32_t>(begin, least - size_bytes), true};
}

std::optional<change_view> read_change(std::string_view bytes) {
  auto size = size_of_change(bytes);
  if (!size.exact || bytes.size() < size.bytes) return std::nullopt;
  change_view found;
  found.bytes = size.bytes;
  std::size_t key_bytes = get<std::uint32_t>(bytes, flag_bytes);
  found.key = bytes.substr(flag_bytes + size_bytes, key_bytes);
  if (bytes[0] == 0) return found;
  found.value_offset = change_head_bytes(found.key);
  found.value = bytes.substr(found.value_offset, size.bytes - found.value_offset);
  return found;
}

bool batch_head::covers(std::string_view payload) const {
  return disk::checksum(payload, disk::checksum(covered_part(*this))) == checksum;
}

std::string pack_batch(std::uint64_t generation, std::uint64_t sequence, const std::vector<change>& changes) {
  std::size_t payload_bytes = 0;
  for (auto& entry : changes)
    payload_bytes += change_head_bytes(entry.key) + (entry.value ? entry.value->size() : 0);
  std::string payload;
  payload.reserve(batch_head_bytes + payload_bytes);
  for (auto& entry : changes) {
    auto value_bytes = entry.value ? std::optional(entry.value->size()) : std::nullopt;
    payload += pack_change_head(entry.key, value_bytes);
    if (entry.value) payload += *entry.value;
  }
  batch_head head{generation, sequence, static_cast<std::uint32_t>(payload.size()), 0};
  std::string covered = covered_part(head);
  std::string out;
  put(out, batch_mark);
  out += covered;
  put(out, checksum(payload, checksum(covered)));
  payload.insert(0, out);
  return payload;
}

std::optional<batch_head> read_batch_head(std::string_view bytes) {
  if (bytes.size() < batch_head_bytes || get<std::uint32_t>(bytes, 0) != batch_mark) return std::nullopt;
  batch_head head;
  head.generation = get<std::uint64_t>(bytes, 4);
  head.sequence = get<std::uint64_t>(bytes, 12);
  head.payload_bytes = get<std::uint32_t>(bytes, 20);
  head.checksum = get<std::uint32_t>(bytes, 24);
  return head;
}

std::uint32_t slot_head::seed() const {
  std::string covered;
  put(covered, generation);
  put(covered, payload_bytes);
  return disk::checksum(covered);
}

std::string pack_slot_head(const slot_head& head) {
  std::string out;
  put(out, slot_mark);
  put(out, head.generation);
  put(out, head.payload_bytes);
  put(out, head.checksum);
  return out;
}

std::optional<slot_head> read_slot_head(std::string_view bytes) {
  if (bytes.size() < slot_head_bytes || get<std::uint32_t>(bytes, 0) != slot_mark) return std::nullopt;
  slot_head head;
  head.generation = get<std::uint64_t>(bytes, 4);
  head.payload_bytes = get<std::uint64_t>(bytes, 12);
  head.checksum = get<std::uint32_t>(bytes, 20);
  return head;
}

}  // namespace herontally::disk
