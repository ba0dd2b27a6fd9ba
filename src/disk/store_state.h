// Internal to the disk package: what a store holds in memory, and where it stands on disk.
#pragma once
#include "disk/index.h"
#include "disk/store.h"

namespace herontally::disk {

struct store::state {
  runtime::handle runtime;
  options choice;
  logging::journal journal;
  index records;
  std::uint64_t generation = 0, sequence = 0;
  int slot = 0;
  std::int64_t log_bytes = 0;
  // Set when the log's end can't be trusted: the next commit folds into the other slot first.
  bool must_fold = true;

  state(runtime::handle handle, options given, logging::journal lines)
      : runtime(std::move(handle)), choice(std::move(given)), journal(std::move(lines)), records(&choice) {}
  const runtime::disk_table& disk() const { return runtime.table().disk; }
  std::string slot_file(int which) const { return choice.prefix + ".slot" + std::to_string(which); }
  std::string log_file(int which) const { return choice.prefix + ".log" + std::to_string(which); }
  // Applies a batch that stands at this place of the log.
  void apply_logged(const std::vector<change>& changes, std::uint64_t batch_offset);
  // Whether these are the value's bytes; a record without its value is reported and marked as damaged.
  bool is_whole(const std::string& key, const index_entry& entry, std::string_view bytes);
  // Reads a value and checks it.
  std::optional<std::string> read(const std::string& key, const index_entry& entry);
};

inline error from_disk(runtime::disk_error found) {
  return found == runtime::disk_error::full ? error::full : error::failed;
}

}  // namespace herontally::disk
