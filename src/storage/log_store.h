// A store of records on disk: two slots written in turn, and a log of batches behind each.
//
// Contract:
// - Durability: a commit that ends without an error is synced; it survives a loss of power. A commit that
// ends with an
//   error may have reached the disk or not, and nothing is written behind it until the store has been
//   compacted.
// - Recovery: the newest complete slot, then its log up to the first torn batch. A batch that can't be read
// although a
//   complete one follows it is corruption, which is reported and never skipped.
// - Ownership: one caller at a time for `commit` and `wipe`, the store's owner. Reads may come in between,
// also while a
//   compaction is under way.
// - Memory: an index of all records and the small values; other values are read from disk when they are asked
// for.
//
// Files, with the byte layout in storage/format.h:
//
//   PREFIX.slot0   all records as of a compaction        PREFIX.log0   the batches committed after it
//   PREFIX.slot1   those of the compaction before        PREFIX.log1
#pragma once
#include <string_view>

#include "logging/logging.h"
#include "runtime/runtime.h"

namespace herontally::storage {

enum class error {
  failed,   // the disk reported an error; what was to be written may be there or not
  full,     // no capacity; nothing was written
  corrupt,  // a record that had been synced can't be read any more
};

// A write: the record's new value, or its removal.
struct change {
  std::string key;
  std::optional<std::string> value;  // nothing: the record is removed
};

struct log_store_options {
  std::string prefix;                   // file names begin with it
  std::int64_t limit_bytes = 64 << 20;  // for both slots and logs together
  std::int64_t log_bytes_before_compaction = 1 << 20;
  // A record's part of its range's checksum; 0: none. Without the function there are no checksums.
  std::function<std::uint64_t(const std::string& key, std::string_view value)> fingerprint;
  // A number that is kept in memory beside each record, so that its value needn't be read for it.
  std::function<std::int64_t(const std::string& key, std::string_view value)> attribute;
  // Which values stay in memory; without the function all do.
  std::function<bool(const std::string& key, std::size_t value_bytes)> in_memory;
};

// Records are spread over this many checksum ranges by their keys. Voters compare checksums range by range,
// so that the number and `range_of` are part of the protocol.
constexpr std::size_t range_count = 256;
std::size_t range_of(const std::string& key);

// A record in a listing, made without reading the disk.
struct listed_record {
  const std::string& key;
  const std::string* value = nullptr;  // nullptr if it isn't in memory
  std::size_t value_bytes = 0;
  std::int64_t attribute = 0;
  std::size_t range = 0;
};

class log_store {
 public:
  log_store(runtime::handle runtime, log_store_options options, logging::logger logger);
  ~log_store();
  log_store(log_store&&) noexcept;

  // Reads what is on disk; to be called once, before anything else. Nothing: all is well.
  std::optional<error> recover();
  // Writes all changes or, seen from after a loss of power, none. `urgent` changes may use the capacity that
  // is reserved for finishing what was begun.
  runtime::task<std::optional<error>> commit(std::vector<change> changes, bool urgent);
  // Removes everything, also from the disk.
  runtime::task<std::optional<error>> wipe();

  // Nothing if there is no such record, or its value can't be read. A value that fails its checksum is
  // reported, and its record counts as absent from then on, so that repair brings it back.
  std::optional<std::string> read(const std::string& key) const;
  // Whether there is such a record, without reading its value.
  bool contains(const std::string& key) const;
  // Whether there is an entry for the record, be it damaged.
  bool has_entry(const std::string& key) const;
  // The size of the record's value; 0 if there is no such record.
  std::size_t value_bytes(const std::string& key) const;
  // Lists the records in the order of their keys, from `first` on, until `handle_record` returns false. The
  // function must not read or change the store.
  void list_from(const std::string& first,
                 const std::function<bool(const listed_record&)>& handle_record) const;

  std::size_t record_count() const;
  // Bytes of keys and values, without what a compaction would drop.
  std::int64_t live_bytes() const;
  // Whether this many bytes more may be committed.
  bool has_capacity(std::size_t bytes, bool urgent) const;
  // By range, the exclusive-or of the records' fingerprints; kept up with every change.
  const std::vector<std::uint64_t>& checksums() const;

  struct state;

 private:
  std::unique_ptr<state> state_;
};

}  // namespace herontally::storage
