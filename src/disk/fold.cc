#include "disk/fold.h"

#include "disk/file_window.h"
#include "disk/format.h"

namespace herontally::disk {

namespace {
// So much is gathered in memory before it is written.
constexpr std::size_t piece_bytes = 64 << 10;

std::uint32_t checksum_with(const index_entry& entry, std::uint32_t before) {
  if (entry.in_memory) return checksum(entry.value, before);
  return joined_checksum(before, entry.checksum, entry.value_bytes);
}

slot_head head_of(const index& records, std::uint64_t generation) {
  slot_head head;
  head.generation = generation;
  for (auto& [key, entry] : records.entries())
    head.payload_bytes += change_head_bytes(key) + entry.value_bytes;
  head.checksum = head.seed();
  for (auto& [key, entry] : records.entries()) {
    head.checksum = checksum(pack_change_head(key, entry.value_bytes), head.checksum);
    head.checksum = checksum_with(entry, head.checksum);
  }
  return head;
}

// Writes a file anew, piece by piece.
struct piece_writer {
  const runtime::disk_table& disk;
  std::string file, pending;
  bool begun = false;

  bool full() const { return pending.size() >= piece_bytes; }
  std::optional<runtime::disk_error> flush() {
    auto failed = begun ? disk.append(file, pending) : disk.replace(file, pending);
    begun = true;
    pending.clear();
    return failed;
  }
};

// Reads the values that aren't in memory. Those in the slot stand there in the order of their keys, so that
// many are read at once.
class value_reader {
 public:
  explicit value_reader(store::state* self) : self_(self), slot_(self->disk(), self->slot_file(self->slot)) {}
  // False when the value can't be read, or the record is damaged.
  bool append_to(std::string& out, const std::string& key, const index_entry& entry) {
    if (entry.in_log) {
      auto value = self_->read(key, entry);
      if (value) out += *value;
      return value.has_value();
    }
    if (!opened_ && slot_.open()) return false;
    opened_ = true;
    auto value = slot_.at(entry.offset, entry.value_bytes);
    if (slot_.failed() || !self_->is_whole(key, entry, value)) return false;
    out += value;
    return true;
  }

 private:
  store::state* self_;
  file_window slot_;
  bool opened_ = false;
};

enum class slot_end { written, record_damaged, failed, full };

slot_end from_disk_error(runtime::disk_error found) {
  return found == runtime::disk_error::full ? slot_end::full : slot_end::failed;
}

// The owner of the store waits for this: only reads, which may find a record damaged, come between the
// pieces.
runtime::task<slot_end> write_slot(store::state* self, std::string file) {
  self->records.remove_damaged();
  piece_writer out{self->disk(), file, pack_slot_head(head_of(self->records, self->generation + 1))};
  value_reader values(self);
  for (auto& [key, entry] : self->records.entries()) {
    out.pending += pack_change_head(key, entry.value_bytes);
    if (entry.damaged) co_return slot_end::record_damaged;
    if (entry.in_memory) {
      out.pending += entry.value;
    } else if (!values.append_to(out.pending, key, entry)) {
      co_return entry.damaged ? slot_end::record_damaged : slot_end::failed;
    }
    if (!out.full()) continue;
    if (auto failed = out.flush()) co_return from_disk_error(*failed);
    // Others have their turn at the process between the pieces.
    co_await self->runtime.sleep(0);
  }
  if (auto failed = out.flush()) co_return from_disk_error(*failed);
  if (auto failed = co_await self->runtime.sync(file)) co_return from_disk_error(*failed);
  co_return slot_end::written;
}
}  // namespace

runtime::task<std::optional<error>> fold(store::state* self) {
  int other = 1 - self->slot;
  self->must_fold = true;
  auto end = slot_end::record_damaged;
  while (end == slot_end::record_damaged) end = co_await write_slot(self, self->slot_file(other));
  if (end != slot_end::written) co_return end == slot_end::full ? error::full : error::failed;
  std::string log_file = self->log_file(other);
  if (auto failed = self->disk().replace(log_file, "")) co_return from_disk(*failed);
  if (auto failed = co_await self->runtime.sync(log_file)) co_return from_disk(*failed);
  self->records.moved_to_slot();
  self->slot = other;
  self->generation += 1;
  self->sequence = 0;
  self->log_bytes = 0;
  self->must_fold = false;
  self->journal.count("herontally_disk_folds_total");
  co_return std::nullopt;
}

}  // namespace herontally::disk
