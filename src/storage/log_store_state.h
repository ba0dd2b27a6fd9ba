// Internal to the storage package: what a store holds in memory, and which files are current.
#pragma once
#include "storage/log_store.h"
#include "storage/record_index.h"

namespace herontally::storage {

constexpr int slot_count = 2;

struct log_store::state {
  runtime::handle runtime;
  log_store_options options;
  logging::logger logger;
  record_index records;
  // Of the current slot: each compaction writes the next generation into the other slot.
  std::uint64_t generation = 0;
  std::uint64_t sequence = 0;  // of the last batch in the current log
  int slot = 0;
  std::int64_t log_bytes = 0;
  // Set when the end of the log can't be trusted: the next commit compacts into the other slot first.
  bool must_compact = true;

  state(runtime::handle given_runtime, log_store_options given_options, logging::logger given_logger)
      : runtime(std::move(given_runtime)),
        options(std::move(given_options)),
        logger(std::move(given_logger)),
        records(&options) {}
  const runtime::disk_table& disk() const { return runtime.table().disk; }
  std::string slot_file(int number) const { return options.prefix + ".slot" + std::to_string(number); }
  std::string log_file(int number) const { return options.prefix + ".log" + std::to_string(number); }

  // Applies a batch whose first byte is at this offset of the log to the index.
  void apply_batch(const std::vector<change>& changes, std::uint64_t batch_offset);
  // Whether these are the value's bytes. If not, the record is reported and marked as damaged.
  bool is_intact(const std::string& key, const index_entry& entry, std::string_view bytes);
  // Reads a value from its file and checks it.
  std::optional<std::string> read(const std::string& key, const index_entry& entry);
};

inline error error_of(runtime::disk_error found) {
  return found == runtime::disk_error::full ? error::full : error::failed;
}

}  // namespace herontally::storage
