// Internal to the storage module: the in-memory state of a store, and which of its files are current.
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
  // Generation of the current slot; each compaction writes the next generation into the other slot.
  std::uint64_t generation = 0;
  std::uint64_t sequence = 0;  // of the last batch in the current log
  int slot = 0;                // number of the current slot and log
  std::int64_t log_bytes = 0;  // size of the current log
  // Set when the log's contents on disk are uncertain or a record is damaged: the next commit then compacts
  // into the other slot before it writes.
  bool must_compact = true;

  state(runtime::handle given_runtime, log_store_options given_options, logging::logger given_logger)
      : runtime(std::move(given_runtime)),
        options(std::move(given_options)),
        logger(std::move(given_logger)),
        records(&options) {}
  const runtime::disk_table& disk() const { return runtime.table().disk; }
  std::string slot_file(int number) const { return options.prefix + ".slot" + std::to_string(number); }
  std::string log_file(int number) const { return options.prefix + ".log" + std::to_string(number); }

  // Applies a batch to the index; its first byte is at this offset of the log.
  void apply_batch(const std::vector<change>& changes, std::uint64_t batch_offset);
  // Whether these bytes have the value's size and checksum. If not, the failure is logged, the record is
  // marked as damaged, and the next commit compacts.
  bool verify_value(const std::string& key, const index_entry& entry, std::string_view bytes);
  // Reads a value from its file and verifies it; std::nullopt on failure.
  std::optional<std::string> read(const std::string& key, const index_entry& entry);
};

inline error error_of(runtime::disk_error found) {
  return found == runtime::disk_error::full ? error::full : error::failed;
}

}  // namespace herontally::storage
