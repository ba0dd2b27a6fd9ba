#include "storage/record_index.h"

#include "storage/format.h"

namespace herontally::storage {

void record_index::clear() {
  entries_.clear();
  count_ = 0;
  live_bytes_ = 0;
  checksums_.assign(range_count, 0);
}

void record_index::add_to_totals(const std::string& key, const index_entry& entry) {
  ++count_;
  live_bytes_ += static_cast<std::int64_t>(key.size() + entry.value_bytes);
  checksums_[entry.range] ^= entry.fingerprint;
}

void record_index::subtract_from_totals(const std::string& key, const index_entry& entry) {
  if (entry.damaged) return;
  --count_;
  live_bytes_ -= static_cast<std::int64_t>(key.size() + entry.value_bytes);
  checksums_[entry.range] ^= entry.fingerprint;
}

void record_index::put(std::string_view key, std::string_view value, bool in_log, std::uint64_t offset) {
  auto [position, inserted] = entries_.try_emplace(std::string(key));
  if (!inserted) subtract_from_totals(position->first, position->second);
  index_entry entry;
  entry.offset = offset;
  entry.in_log = in_log;
  entry.value_bytes = static_cast<std::uint32_t>(value.size());
  entry.checksum = checksum(value);
  entry.range = static_cast<std::uint8_t>(range_of(position->first));
  if (options_->fingerprint) entry.fingerprint = options_->fingerprint(position->first, value);
  if (options_->attribute) entry.attribute = options_->attribute(position->first, value);
  entry.in_memory = !options_->in_memory || options_->in_memory(position->first, value.size());
  if (entry.in_memory) entry.value = value;
  position->second = std::move(entry);
  add_to_totals(position->first, position->second);
}

void record_index::remove(const std::string& key) {
  auto found = entries_.find(key);
  if (found == entries_.end()) return;
  subtract_from_totals(found->first, found->second);
  entries_.erase(found);
}

void record_index::mark_damaged(const std::string& key) {
  auto found = entries_.find(key);
  if (found == entries_.end()) return;
  subtract_from_totals(found->first, found->second);
  found->second.damaged = true;
}

void record_index::remove_damaged() {
  std::erase_if(entries_, [](const auto& record) { return record.second.damaged; });
}

const index_entry* record_index::find(const std::string& key) const {
  auto found = entries_.find(key);
  return found == entries_.end() || found->second.damaged ? nullptr : &found->second;
}

void record_index::mark_all_compacted() {
  std::uint64_t offset = slot_header_bytes;
  for (auto& [key, entry] : entries_) {
    offset += change_header_bytes(key);
    entry.in_log = false;
    entry.offset = offset;
    offset += entry.value_bytes;
  }
}

}  // namespace herontally::storage
