// A key-value store on disk: two slots (snapshots of all records), written alternately by compactions, and
// for each slot a log of the batches committed after it. Replication and repair of lost records are the
// caller's.
//
// Contract:
//
// - Durability: a commit that returns no error is synced and survives a loss of power. After an error the
//   batch may be on disk or not, and nothing is appended after it until the store has been compacted.
//
// - Recovery: loads the newest complete slot, then applies its log up to the first torn batch. An unreadable
//   batch that is followed by a complete one is corruption, which is reported and never skipped.
//
// - Ownership: only the store's owner calls `commit` and `wipe`, one call at a time. Others may read in
//   between, even during a compaction.
//
// - Memory: holds an index of all records and the values that `log_store_options::in_memory` selects. All
//   other values are read from disk on demand.
//
// Files, with the byte layout in storage/format.h:
//
//   PREFIX.slot0   all records as of a compaction        PREFIX.log0   batches committed after slot 0
//   PREFIX.slot1   the same, of the compaction before    PREFIX.log1   batches committed after slot 1
//
// Either slot may be the newer one.
#pragma once
#include <string_view>

#include "logging/logging.h"
#include "runtime/runtime.h"

namespace herontally::storage {

enum class error {
  failed,   // the disk reported an error; a write may have taken effect or not
  full,     // no capacity; nothing was written
  corrupt,  // synced records are lost or unreadable; only from `recover`
};

// A write: the record's new value, or its removal.
struct change {
  std::string key;
  std::optional<std::string> value;  // std::nullopt: the record is removed
};

// How a store is set up. The functions run for every write, and again for the records loaded by `recover`.
struct log_store_options {
  std::string prefix;                   // prefix of the file names
  std::int64_t limit_bytes = 64 << 20;  // for both slots and logs together
  std::int64_t log_bytes_before_compaction = 1 << 20;
  // The part of a record in the checksum of its range; 0: the record isn't covered. Without the function all
  // checksums are 0.
  std::function<std::uint64_t(const std::string& key, std::string_view value)> fingerprint;
  // Computes a number that is kept in memory for each record, so that it is known without reading the value.
  std::function<std::int64_t(const std::string& key, std::string_view value)> attribute;
  // Whether a value stays in memory; without the function all do.
  std::function<bool(const std::string& key, std::size_t value_bytes)> in_memory;
};

// Each key belongs to one of this many checksum ranges. Voters compare their checksums range by range, so
// that this number and `range_of` are part of the protocol between nodes and can't be changed on one side.
constexpr std::size_t range_count = 256;
std::size_t range_of(const std::string& key);

// A record as `list_from` reports it. The references are valid during the call only.
struct listed_record {
  const std::string& key;
  const std::string* value = nullptr;  // nullptr if the value is only on disk
  std::size_t value_bytes = 0;
  std::int64_t attribute = 0;
  std::size_t range = 0;
};

// The store itself; see the contract above.
class log_store {
 public:
  log_store(runtime::handle runtime, log_store_options options, logging::logger logger);
  ~log_store();
  log_store(log_store&&) noexcept;

  // Loads the records from disk; std::nullopt on success, also for an empty disk. Called once, before
  // anything else. Returns `failed` or `corrupt` on error.
  std::optional<error> recover();
  // Writes the changes in one batch, atomically: after a loss of power either all of them are there or none.
  // `urgent` changes may use the capacity that is reserved for finishing operations already begun; a batch of
  // removals alone isn't checked for capacity. Returns `full` or `failed` on error. May compact the store
  // first.
  runtime::task<std::optional<error>> commit(std::vector<change> changes, bool urgent);
  // Removes all records from memory and from disk; an error may leave some files as they were.
  runtime::task<std::optional<error>> wipe();

  // std::nullopt if there is no such record or its value can't be read. A value that fails its checksum is
  // logged, and its record counts as absent from then on, so that repair fetches it from another voter.
  std::optional<std::string> read(const std::string& key) const;
  // Whether the record exists, without reading its value from disk.
  bool contains(const std::string& key) const;
  // Whether the index has an entry for the record, even a damaged one.
  bool has_entry(const std::string& key) const;
  // Size of the record's value; 0 if there is no such record.
  std::size_t value_bytes(const std::string& key) const;
  // Calls `handle_record` for the records in key order, starting at the key `first`, until it returns false.
  // The function must not read from or change the store.
  void list_from(const std::string& first,
                 const std::function<bool(const listed_record&)>& handle_record) const;

  // Number of records, without damaged ones.
  std::size_t record_count() const;
  // Bytes of all keys and values, without outdated data that a compaction would drop.
  std::int64_t live_bytes() const;
  // Whether this many bytes can be added within the limit, or within the lower one for changes not `urgent`.
  bool has_capacity(std::size_t bytes, bool urgent) const;
  // For each range the XOR of its records' fingerprints, updated with every change.
  const std::vector<std::uint64_t>& checksums() const;

  struct state;

 private:
  std::unique_ptr<state> state_;
};

}  // namespace herontally::storage
