// The records of a store by key: where each value lies on disk, and the values that are kept in memory.
// Internal to the storage package; the store owns it.
#pragma once
#include <array>
#include <map>

#include "storage/log_store.h"

namespace herontally::storage {

struct index_entry {
  std::string value;  // only while `in_memory`
  std::uint64_t fingerprint = 0, offset = 0;
  std::int64_t attribute = 0;
  std::uint32_t value_bytes = 0, checksum = 0;
  std::uint8_t range = 0;
  bool in_memory = true;
  bool in_log = false;   // else in the slot
  bool damaged = false;  // can't be read any more: as good as absent
};

class record_index {
 public:
  using map = std::map<std::string, index_entry>;

  explicit record_index(const log_store_options* options) : options_(options) {}
  void clear();
  // Inserts or replaces a record whose value lies at this offset of the log or the slot.
  void put(std::string_view key, std::string_view value, bool in_log, std::uint64_t offset);
  void remove(const std::string& key);
  // Takes the record out of all counts; its entry goes with `remove_damaged`.
  void mark_damaged(const std::string& key);
  void remove_damaged();
  // Nothing for a damaged record.
  const index_entry* find(const std::string& key) const;
  const map& entries() const { return entries_; }
  // After a compaction: all records lie in the slot, in the order of their keys, from the payload's first
  // byte on.
  void mark_all_compacted();

  std::size_t count() const { return count_; }
  std::int64_t live_bytes() const { return live_bytes_; }
  const std::vector<std::uint64_t>& checksums() const { return checksums_; }

 private:
  void count_in(const std::string& key, const index_entry& entry);
  void count_out(const std::string& key, const index_entry& entry);

  const log_store_options* options_;
  map entries_;
  std::size_t count_ = 0;
  std::int64_t live_bytes_ = 0;
  std::vector<std::uint64_t> checksums_ = std::vector<std::uint64_t>(range_count, 0);
};

}  // namespace herontally::storage
