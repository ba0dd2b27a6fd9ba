#include "storage/format.h"

#include <string.h>
#include <zlib.h>

namespace herontally::storage {

namespace {
// Two different magic numbers, so that a batch is never read as a slot or the other way round.
constexpr std::uint32_t batch_magic = 0x4c425448;
constexpr std::uint32_t slot_magic = 0x54534c48;
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

// The fields of a batch's header that its checksum covers, packed.
std::string checksummed_fields(const batch_header& header) {
  std::string covered;
  put(covered, header.generation);
  put(covered, header.sequence);
  put(covered, header.payload_bytes);
  return covered;
}
}  // namespace

std::uint32_t checksum(std::string_view bytes, std::uint32_t before) {
  return static_cast<std::uint32_t>(
      crc32(before, reinterpret_cast<const Bytef*>(bytes.data()), static_cast<uInt>(bytes.size())));
}

std::uint32_t combined_checksum(std::uint32_t first, std::uint32_t second, std::size_t second_bytes) {
  return static_cast<std::uint32_t>(crc32_combine(first, second, static_cast<z_off_t>(second_bytes)));
}

std::size_t change_header_bytes(std::string_view key) {
  return flag_bytes + size_bytes + key.size() + size_bytes;
}

std::string pack_change_header(std::string_view key, std::optional<std::size_t> value_bytes) {
  std::string out;
  out.push_back(value_bytes ? 1 : 0);
  put(out, static_cast<std::uint32_t>(key.size()));
  out += key;
  if (value_bytes) put(out, static_cast<std::uint32_t>(*value_bytes));
  return out;
}

change_size size_of_change(std::string_view begin) {
  std::size_t needed = flag_bytes + size_bytes;
  if (begin.size() < needed) return {needed, false};
  std::size_t key_bytes = get<std::uint32_t>(begin, flag_bytes);
  needed += key_bytes;
  if (begin[0] == 0) return {needed, true};
  needed += size_bytes;
  if (begin.size() < needed) return {needed, false};
  return {needed + get<std::uint32_t>(begin, needed - size_bytes), true};
}

std::optional<change_view> read_change(std::string_view bytes) {
  auto size = size_of_change(bytes);
  if (!size.exact || bytes.size() < size.bytes) return std::nullopt;
  change_view found;
  found.bytes = size.bytes;
  std::size_t key_bytes = get<std::uint32_t>(bytes, flag_bytes);
  found.key = bytes.substr(flag_bytes + size_bytes, key_bytes);
  if (bytes[0] == 0) return found;
  found.value_offset = change_header_bytes(found.key);
  found.value = bytes.substr(found.value_offset, size.bytes - found.value_offset);
  return found;
}

bool batch_header::matches_checksum(std::string_view payload) const {
  return storage::checksum(payload, storage::checksum(checksummed_fields(*this))) == checksum;
}

std::string pack_batch(std::uint64_t generation, std::uint64_t sequence, const std::vector<change>& changes) {
  std::size_t payload_bytes = 0;
  for (auto& entry : changes)
    payload_bytes += change_header_bytes(entry.key) + (entry.value ? entry.value->size() : 0);
  std::string payload;
  payload.reserve(batch_header_bytes + payload_bytes);
  for (auto& entry : changes) {
    auto value_bytes = entry.value ? std::optional(entry.value->size()) : std::nullopt;
    payload += pack_change_header(entry.key, value_bytes);
    if (entry.value) payload += *entry.value;
  }
  batch_header header{generation, sequence, static_cast<std::uint32_t>(payload.size()), 0};
  std::string covered = checksummed_fields(header);
  std::string out;
  put(out, batch_magic);
  out += covered;
  put(out, checksum(payload, checksum(covered)));
  payload.insert(0, out);
  return payload;
}

std::optional<batch_header> read_batch_header(std::string_view bytes) {
  if (bytes.size() < batch_header_bytes || get<std::uint32_t>(bytes, 0) != batch_magic) return std::nullopt;
  batch_header header;
  header.generation = get<std::uint64_t>(bytes, 4);
  header.sequence = get<std::uint64_t>(bytes, 12);
  header.payload_bytes = get<std::uint32_t>(bytes, 20);
  header.checksum = get<std::uint32_t>(bytes, 24);
  return header;
}

std::uint32_t slot_header::header_checksum() const {
  std::string covered;
  put(covered, generation);
  put(covered, payload_bytes);
  return storage::checksum(covered);
}

std::string pack_slot_header(const slot_header& header) {
  std::string out;
  put(out, slot_magic);
  put(out, header.generation);
  put(out, header.payload_bytes);
  put(out, header.checksum);
  return out;
}

std::optional<slot_header> read_slot_header(std::string_view bytes) {
  if (bytes.size() < slot_header_bytes || get<std::uint32_t>(bytes, 0) != slot_magic) return std::nullopt;
  slot_header header;
  header.generation = get<std::uint64_t>(bytes, 4);
  header.payload_bytes = get<std::uint64_t>(bytes, 12);
  header.checksum = get<std::uint32_t>(bytes, 20);
  return header;
}

}  // namespace herontally::storage
