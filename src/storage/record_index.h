// The index of a store: for each key the location of the value on disk, and the values that are kept in
// memory. It does no I/O. Internal to the storage module; each store has one.
#pragma once
#include <array>
#include <map>

#include "storage/log_store.h"

namespace herontally::storage {

// One record. `offset` is that of the value in the log or slot; `checksum` is the value's CRC-32.
struct index_entry {
  std::string value;  // only while `in_memory`
  std::uint64_t fingerprint = 0, offset = 0;
  std::int64_t attribute = 0;
  std::uint32_t value_bytes = 0, checksum = 0;
  std::uint8_t range = 0;
  bool in_memory = true;
  bool in_log = false;   // the value is in the current log; otherwise in the current slot
  bool damaged = false;  // the value failed its checksum; the record counts as absent
};

// Keeps count, bytes and range checksums up to date with every change.
class record_index {
 public:
  using map = std::map<std::string, index_entry>;

  explicit record_index(const log_store_options* options) : options_(options) {}
  void clear();
  // Inserts or replaces a record whose value is at this offset of the log or, if not `in_log`, the slot.
  void put(std::string_view key, std::string_view value, bool in_log, std::uint64_t offset);
  void remove(const std::string& key);
  // Excludes the record from all totals; its entry stays until `remove_damaged`.
  void mark_damaged(const std::string& key);
  void remove_damaged();
  // nullptr if there is no such record or it is damaged.
  const index_entry* find(const std::string& key) const;
  const map& entries() const { return entries_; }
  // Updates the locations after a compaction: all records are in the slot then, in key order, from the start
  // of its payload.
  void mark_all_compacted();

  std::size_t count() const { return count_; }
  std::int64_t live_bytes() const { return live_bytes_; }
  const std::vector<std::uint64_t>& checksums() const { return checksums_; }

 private:
  // Update the totals when a record is added or removed; damaged records are in no total.
  void add_to_totals(const std::string& key, const index_entry& entry);
  void subtract_from_totals(const std::string& key, const index_entry& entry);

  const log_store_options* options_;
  map entries_;
  std::size_t count_ = 0;
  std::int64_t live_bytes_ = 0;
  std::vector<std::uint64_t> checksums_ = std::vector<std::uint64_t>(range_count, 0);
};

}  // namespace herontally::storage
