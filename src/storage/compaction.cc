#include "storage/compaction.h"

#include "storage/file_reader.h"
#include "storage/format.h"

namespace herontally::storage {

namespace {
// The writer gathers this many bytes in memory before it appends them to the file.
constexpr std::size_t chunk_bytes = 64 << 10;

// `prefix` is the checksum of all bytes before the value; returns it continued over the value. A value that
// is only on disk isn't read: its own checksum is in the index.
std::uint32_t checksum_with(const index_entry& entry, std::uint32_t prefix) {
  if (entry.in_memory) return checksum(entry.value, prefix);
  return combined_checksum(prefix, entry.checksum, entry.value_bytes);
}

slot_header header_of(const record_index& records, std::uint64_t generation) {
  slot_header header;
  header.generation = generation;
  for (auto& [key, entry] : records.entries())
    header.payload_bytes += change_header_bytes(key) + entry.value_bytes;
  header.checksum = header.header_checksum();
  for (auto& [key, entry] : records.entries()) {
    header.checksum = checksum(pack_change_header(key, entry.value_bytes), header.checksum);
    header.checksum = checksum_with(entry, header.checksum);
  }
  return header;
}

// Replaces a file, chunk by chunk. The caller flushes when `full`, and once at the end.
struct chunked_writer {
  const runtime::disk_table& disk;
  std::string file, pending;
  bool created = false;

  bool full() const { return pending.size() >= chunk_bytes; }
  std::optional<runtime::disk_error> flush() {
    auto failed = created ? disk.append(file, pending) : disk.replace(file, pending);
    created = true;
    pending.clear();
    return failed;
  }
};

// Reads the values that aren't in memory. The current slot has its values in key order, so that one buffered
// read fetches many of them.
class value_reader {
 public:
  explicit value_reader(log_store::state* self)
      : self_(self), slot_(self->disk(), self->slot_file(self->slot)) {}
  // Appends the value to `out`. False if it can't be read; if its checksum fails, the entry is also marked as
  // damaged.
  bool append_to(std::string& out, const std::string& key, const index_entry& entry) {
    if (entry.in_log) {
      auto value = self_->read(key, entry);
      if (value) out += *value;
      return value.has_value();
    }
    if (!opened_ && slot_.open()) return false;
    opened_ = true;
    auto value = slot_.at(entry.offset, entry.value_bytes);
    if (slot_.failed() || !self_->verify_value(key, entry, value)) return false;
    out += value;
    return true;
  }

 private:
  log_store::state* self_;
  file_reader slot_;
  bool opened_ = false;
};

enum class write_result { written, record_damaged, failed, full };

write_result result_of(runtime::disk_error found) {
  return found == runtime::disk_error::full ? write_result::full : write_result::failed;
}

// Writes all records to a slot file and syncs it. The store's owner waits for this, so that between the
// chunks other tasks can only read. Such a read may find a record damaged; then the slot has to be written
// again without that record, since its header has the size and checksum of all of them.
runtime::task<write_result> write_slot(log_store::state* self, std::string file) {
  self->records.remove_damaged();
  chunked_writer out{self->disk(), file, pack_slot_header(header_of(self->records, self->generation + 1))};
  value_reader values(self);
  for (auto& [key, entry] : self->records.entries()) {
    out.pending += pack_change_header(key, entry.value_bytes);
    if (entry.damaged) co_return write_result::record_damaged;
    if (entry.in_memory) {
      out.pending += entry.value;
    } else if (!values.append_to(out.pending, key, entry)) {
      co_return entry.damaged ? write_result::record_damaged : write_result::failed;
    }
    if (!out.full()) continue;
    if (auto failed = out.flush()) co_return result_of(*failed);
    // Lets other tasks run between the chunks.
    co_await self->runtime.sleep(0);
  }
  if (auto failed = out.flush()) co_return result_of(*failed);
  if (auto failed = co_await self->runtime.sync(file)) co_return result_of(*failed);
  co_return write_result::written;
}
}  // namespace

runtime::task<std::optional<error>> compact(log_store::state* self) {
  int other = 1 - self->slot;
  self->must_compact = true;
  auto result = write_result::record_damaged;
  while (result == write_result::record_damaged) result = co_await write_slot(self, self->slot_file(other));
  if (result != write_result::written) co_return result == write_result::full ? error::full : error::failed;
  std::string log_file = self->log_file(other);
  if (auto failed = self->disk().replace(log_file, "")) co_return error_of(*failed);
  if (auto failed = co_await self->runtime.sync(log_file)) co_return error_of(*failed);
  self->records.mark_all_compacted();
  self->slot = other;
  self->generation += 1;
  self->sequence = 0;
  self->log_bytes = 0;
  self->must_compact = false;
  self->logger.count("herontally_disk_compactions_total");
  co_return std::nullopt;
}

}  // namespace herontally::storage
