#include "disk/index.h"

#include "disk/format.h"

namespace herontally::disk {

void index::clear() {
  entries_.clear();
  count_ = 0;
  live_bytes_ = 0;
  sums_.assign(ranges, 0);
}

void index::count_in(const std::string& key, const index_entry& entry) {
  ++count_;
  live_bytes_ += static_cast<std::int64_t>(key.size() + entry.value_bytes);
  sums_[entry.range] ^= entry.fingerprint;
}

void index::count_out(const std::string& key, const index_entry& entry) {
  if (entry.damaged) return;
  --count_;
  live_bytes_ -= static_cast<std::int64_t>(key.size() + entry.value_bytes);
  sums_[entry.range] ^= entry.fingerprint;
}

void index::put(std::string_view key, std::string_view value, bool in_log, std::uint64_t offset) {
  auto [place, made] = entries_.try_emplace(std::string(key));
  if (!made) count_out(place->first, place->second);
  index_entry entry;
  entry.offset = offset;
  entry.in_log = in_log;
  entry.value_bytes = static_cast<std::uint32_t>(value.size());
  entry.checksum = checksum(value);
  entry.range = static_cast<std::uint8_t>(range_of(place->first));
  if (choice_->fingerprint) entry.fingerprint = choice_->fingerprint(place->first, value);
  if (choice_->attribute) entry.attribute = choice_->attribute(place->first, value);
  entry.in_memory = !choice_->in_memory || choice_->in_memory(place->first, value.size());
  if (entry.in_memory) entry.value = value;
  place->second = std::move(entry);
  count_in(place->first, place->second);
}

void index::remove(const std::string& key) {
  auto found = entries_.find(key);
  if (found == entries_.end()) return;
  count_out(found->first, found->second);
  entries_.erase(found);
}

void index::mark_damaged(const std::string& key) {
  auto found = entries_.find(key);
  if (found == entries_.end()) return;
  count_out(found->first, found->second);
  found->second.damaged = true;
}

void index::remove_damaged() {
  std::erase_if(entries_, [](const auto& record) { return record.second.damaged; });
}

const index_entry* index::find(const std::string& key) const {
  auto found = entries_.find(key);
  return found == entries_.end() || found->second.damaged ? nullptr : &found->second;
}

void index::moved_to_slot() {
  std::uint64_t offset = slot_head_bytes;
  for (auto& [key, entry] : entries_) {
    offset += change_head_bytes(key);
    entry.in_log = false;
    entry.offset = offset;
    offset += entry.value_bytes;
  }
}

}  // namespace herontally::disk
