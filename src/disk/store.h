// A bucket of records on disk: two slots written in turn, each followed by a short log of batches. Memory
// holds an index of all records and the small values; the other values are read from disk when they are asked
// for.
#pragma once
#include <string_view>

#include "logging/logging.h"
#include "runtime/runtime.h"

namespace herontally::disk {

enum class error { failed, full, corrupt };

struct change {
  std::string key;
  std::optional<std::string> value;  // nothing removes the record
};

struct options {
  std::string prefix;                   // file names begin with it
  std::int64_t limit_bytes = 64 << 20;  // for everything this bucket keeps
  std::int64_t log_bytes_before_fold = 1 << 20;
  // What a record adds to the sum of its range; 0: it is left out. Without it there are no sums.
  std::function<std::uint64_t(const std::string& key, std::string_view value)> fingerprint;
  // A number that is kept in memory beside each record, so that its value needn't be read for it.
  std::function<std::int64_t(const std::string& key, std::string_view value)> attribute;
  // Which values stay in memory; without it all do.
  std::function<bool(const std::string& key, std::size_t value_bytes)> in_memory;
};

// Records are spread over so many ranges by their keys.
constexpr std::size_t ranges = 256;
std::size_t range_of(const std::string& key);

// A record as a listing meets it, without reading the disk.
struct listed_record {
  const std::string& key;
  const std::string* value = nullptr;  // nothing if it isn't in memory
  std::size_t value_bytes = 0;
  std::int64_t attribute = 0;
  std::size_t range = 0;
};

class store {
 public:
  store(runtime::handle runtime, options choice, logging::journal journal);
  ~store();
  store(store&&) noexcept;
  // Reads what is on disk. `corrupt` means that a record that had been synced can't be read any more.
  std::optional<error> recover();
  // Lasting once it comes back without an error. One caller at a time: the bucket's owner.
  // Urgent changes may use the space that is kept back for them.
  runtime::task<std::optional<error>> commit(std::vector<change> changes, bool urgent);
  // Forgets everything, also on disk.
  runtime::task<std::optional<error>> wipe();
  // Nothing if there is no such record, or its value can't be read. A value that doesn't have its checksum
  // any more is reported, and its record counts as absent from then on, so that repair brings it back.
  std::optional<std::string> read(const std::string& key) const;
  bool contains(const std::string& key) const;
  // Whether there is such a record, damaged or not.
  bool has_place(const std::string& key) const;
  // 0 if there is no such record.
  std::size_t value_bytes(const std::string& key) const;
  // Lists the records in the order of their keys, from this one on, until `handle_record` returns false; it
  // must not read or change the store.
  void list_from(const std::string& first,
                 const std::function<bool(const listed_record&)>& handle_record) const;
  std::size_t record_count() const;
  bool has_room(std::size_t bytes, bool urgent) const;
  std::int64_t live_bytes() const;
  // Sums over the records' fingerprints by range, kept up with every change.
  const std::vector<std::uint64_t>& sums() const;

  struct state;

 private:
  std::unique_ptr<state> state_;
};

}  // namespace herontally::disk
