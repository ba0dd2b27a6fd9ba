#include "disk/format.h"

#include <string.h>
#include <zlib.h>

namespace herontally::disk {

namespace {
constexpr std::uint32_t batch_mark = 0x4c425448;  // differs from the slot's, so neither is read as the other
constexpr std::uint32_t slot_mark = 0x54534c48;
constexpr std::size_t batch_head = 4 + 8 + 8 + 4 + 4;
constexpr std::size_t slot_head = 4 + 8 + 8 + 4;

template <class T>
void put(std::string& out, T number) {
  out.append(reinterpret_cast<const char*>(&number), sizeof number);
}
template <class T>
T get(const std::string& bytes, std::size_t position) {
  T number;
  memcpy(&number, bytes.data() + position, sizeof number);
  return number;
}
std::uint32_t checksum(const std::string& text) {
  return static_cast<std::uint32_t>(
      crc32(0, reinterpret_cast<const Bytef*>(text.data()), static_cast<uInt>(text.size())));
}

void put_change(std::string& out, const std::string& key, const std::optional<std::string>& value) {
  out.push_back(value ? 1 : 0);
  put(out, static_cast<std::uint32_t>(key.size()));
  out += key;
  if (!value) return;
  put(out, static_cast<std::uint32_t>(value->size()));
  out += *value;
}

std::optional<std::string> take_text(const std::string& bytes, std::size_t& position) {
  if (bytes.size() - position < 4) return std::nullopt;
  auto size = get<std::uint32_t>(bytes, position);
  position += 4;
  if (bytes.size() - position < size) return std::nullopt;
  std::string text = bytes.substr(position, size);
  position += size;
  return text;
}

std::optional<std::vector<change>> take_changes(const std::string& bytes) {
  std::vector<change> changes;
  std::size_t position = 0;
  while (position < bytes.size()) {
    bool present = bytes[position++] != 0;
    auto key = take_text(bytes, position);
    if (!key) return std::nullopt;
    change entry{*key, std::nullopt};
    if (present) {
      entry.value = take_text(bytes, position);
      if (!entry.value) return std::nullopt;
    }
    changes.push_back(std::move(entry));
  }
  return changes;
}

// A whole batch at this position, and where it ends.
std::optional<std::pair<batch, std::size_t>> batch_at(const std::string& bytes, std::size_t position) {
  if (bytes.size() - position < batch_head || get<std::uint32_t>(bytes, position) != batch_mark)
    return std::nullopt;
  batch found;
  found.generation = get<std::uint64_t>(bytes, position + 4);
  found.sequence = get<std::uint64_t>(bytes, position + 12);
  auto length = get<std::uint32_t>(bytes, position + 20);
  auto expected = get<std::uint32_t>(bytes, position + 24);
  if (bytes.size() - position - batch_head < length) return std::nullopt;
  std::string covered = bytes.substr(position + 4, 20) + bytes.substr(position + batch_head, length);
  if (checksum(covered) != expected) return std::nullopt;
  auto changes = take_changes(bytes.substr(position + batch_head, length));
  if (!changes) return std::nullopt;
  found.changes = std::move(*changes);
  return std::make_pair(std::move(found), position + batch_head + length);
}
}  // namespace

std::string pack_batch(const batch& content) {
  std::string payload;
  for (auto& entry : content.changes) put_change(payload, entry.key, entry.value);
  std::string covered;
  put(covered, content.generation);
  put(covered, content.sequence);
  put(covered, static_cast<std::uint32_t>(payload.size()));
  std::string out;
  put(out, batch_mark);
  out += covered;
  put(out, checksum(covered + payload));
  out += payload;
  return out;
}

std::string pack_slot(std::uint64_t generation, const std::map<std::string, std::string>& records) {
  std::string payload;
  for (auto& [key, value] : records) put_change(payload, key, value);
  std::string covered;
  put(covered, generation);
  put(covered, static_cast<std::uint64_t>(payload.size()));
  std::string out;
  put(out, slot_mark);
  out += covered;
  put(out, checksum(covered + payload));
  out += payload;
  return out;
}

std::optional<std::pair<std::uint64_t, std::map<std::string, std::string>>> unpack_slot(
    const std::string& bytes) {
  if (bytes.size() < slot_head || get<std::uint32_t>(bytes, 0) != slot_mark) return std::nullopt;
  auto generation = get<std::uint64_t>(bytes, 4);
  auto length = get<std::uint64_t>(bytes, 12);
  if (bytes.size() - slot_head != length) return std::nullopt;
  if (checksum(bytes.substr(4, 16) + bytes.substr(slot_head)) != get<std::uint32_t>(bytes, 20))
    return std::nullopt;
  auto changes = take_changes(bytes.substr(slot_head));
  if (!changes) return std::nullopt;
  std::map<std::string, std::string> records;
  for (auto& entry : *changes) records[entry.key] = *entry.value;
  return std::make_pair(generation, std::move(records));
}

log_reading read_log(const std::string& bytes, std::uint64_t generation) {
  log_reading reading;
  std::size_t position = 0;
  std::uint64_t expected = 1;
  bool gap = false;
  while (position < bytes.size()) {
    auto found = batch_at(bytes, position);
    if (!found) {
      // Bytes that can't be read are a torn tail only if no whole batch of this generation follows.
      gap = true;
      ++position;
      continue;
    }
    position = found->second;
    auto& content = found->first;
    if (content.generation > reading.newest_generation) reading.newest_generation = content.generation;
    // What the file's earlier use left behind doesn't count.
    if (content.generation != generation) continue;
    if (gap || content.sequence != expected) reading.corrupt = true;
    ++expected;
    reading.batches.push_back(std::move(content));
  }
  reading.torn = gap;
  return reading;
}

}  // namespace herontally::disk
