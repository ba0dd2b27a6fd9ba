#include "disk/store.h"

#include "disk/fold.h"
#include "disk/format.h"
#include "disk/recovery.h"
#include "disk/store_state.h"
#include "runtime/breaks.h"

namespace herontally::disk {

store::store(runtime::handle runtime, options choice, logging::journal journal)
    : state_(std::make_unique<state>(std::move(runtime), std::move(choice), std::move(journal))) {}
store::~store() = default;
store::store(store&&) noexcept = default;

std::size_t store::record_count() const { return state_->records.count(); }
std::int64_t store::live_bytes() const { return state_->records.live_bytes(); }
const std::vector<std::uint64_t>& store::sums() const { return state_->records.sums(); }
std::size_t range_of(const std::string& key) {
  std::uint64_t hash = 1469598103934665603ull;
  for (unsigned char letter : key) hash = (hash ^ letter) * 1099511628211ull;
  return (hash >> 40) % ranges;
}

bool store::has_room(std::size_t bytes, bool urgent) const {
  // A fold writes everything once more beside the old slot, so less than half may be live;
  // the last part of that half is kept back for settling what was already begun.
  std::int64_t most = state_->choice.limit_bytes * (urgent ? 45 : 36) / 100;
  return live_bytes() + static_cast<std::int64_t>(bytes) <= most;
}

bool store::state::is_whole(const std::string& key, const index_entry& entry, std::string_view bytes) {
  if (bytes.size() == entry.value_bytes && checksum(bytes) == entry.checksum) return true;
  journal.count("herontally_disk_damaged_records_total");
  journal.error("a record's value can't be read any more", {{"record", key}});
  records.mark_damaged(key);
  // The next commit leaves the damaged place behind.
  must_fold = true;
  return false;
}

std::optional<std::string> store::state::read(const std::string& key, const index_entry& entry) {
  auto file = entry.in_log ? log_file(slot) : slot_file(slot);
  auto found = disk().read_at(file, entry.offset, entry.value_bytes);
  auto* value = std::get_if<std::string>(&found);
  if (!value) {
    journal.count("herontally_disk_read_failures_total");
    return std::nullopt;
  }
  if (!is_whole(key, entry, *value)) return std::nullopt;
  return std::move(*value);
}

std::optional<std::string> store::read(const std::string& key) const {
  auto* entry = state_->records.find(key);
  if (!entry) return std::nullopt;
  if (entry->in_memory) return entry->value;
  return state_->read(key, *entry);
}

bool store::contains(const std::string& key) const { return state_->records.find(key) != nullptr; }

bool store::has_place(const std::string& key) const { return state_->records.entries().count(key) > 0; }

std::size_t store::value_bytes(const std::string& key) const {
  auto* entry = state_->records.find(key);
  return entry ? entry->value_bytes : 0;
}

void store::list_from(const std::string& first,
                      const std::function<bool(const listed_record&)>& handle_record) const {
  auto& entries = state_->records.entries();
  for (auto place = entries.lower_bound(first); place != entries.end(); ++place) {
    auto& entry = place->second;
    if (entry.damaged) continue;
    listed_record record{place->first, entry.in_memory ? &entry.value : nullptr, entry.value_bytes,
                         entry.attribute, entry.range};
    if (!handle_record(record)) return;
  }
}

namespace {
struct slot_place {
  std::uint64_t generation = 0;
  int which = 0;
};

// The slots that were begun, the newest first.
std::variant<std::vector<slot_place>, error> begun_slots(const store::state& self, bool* any_file) {
  std::vector<slot_place> found;
  for (int which = 0; which < 2; ++which) {
    file_window file(self.disk(), self.slot_file(which));
    auto failed = file.open();
    if (failed == runtime::disk_error::missing) continue;
    *any_file = true;
    auto head = read_slot_head(file.at(0, slot_head_bytes));
    if (failed || file.failed()) return error::failed;
    if (head) found.push_back({head->generation, which});
  }
  if (found.size() == 2 && found[1].generation > found[0].generation) std::swap(found[0], found[1]);
  return found;
}

std::variant<log_reading, error> read_log_file(store::state& self, int which, bool apply) {
  file_window file(self.disk(), self.log_file(which));
  auto failed = file.open();
  if (failed == runtime::disk_error::missing) return log_reading{};
  if (failed) return error::failed;
  auto reading = read_log(file, self.generation, apply ? &self.records : nullptr);
  if (file.failed()) return error::failed;
  return reading;
}
}  // namespace

std::optional<error> store::recover() {
  auto* self = state_.get();
  self->must_fold = true;
  bool any_file = false, loaded = false;
  auto slots = begun_slots(*self, &any_file);
  if (auto* failed = std::get_if<error>(&slots)) return *failed;
  for (auto& place : std::get<std::vector<slot_place>>(slots)) {
    self->records.clear();
    file_window file(self->disk(), self->slot_file(place.which));
    if (file.open()) return error::failed;
    loaded = load_slot(file, self->records);
    if (file.failed()) return error::failed;
    self->slot = place.which;
    self->generation = place.generation;
    if (loaded) break;
  }
  if (broken("recover")) loaded = false;
  if (!loaded) {
    self->records.clear();
    self->generation = 0;
  }
  for (int which = 0; which < 2; ++which) {
    bool current = loaded && which == self->slot;
    auto found = read_log_file(*self, which, current);
    if (auto* failed = std::get_if<error>(&found)) return *failed;
    auto& reading = std::get<log_reading>(found);
    // A log of a newer generation was begun only after its slot had been synced. Without any slot a log with
    // whole batches proves the loss of records that had been promised to last.
    bool newer = reading.newest_generation > self->generation;
    if (newer && (loaded || any_file)) return error::corrupt;
    if (current && reading.corrupt) return error::corrupt;
  }
  return std::nullopt;
}

runtime::task<std::optional<error>> store::commit(std::vector<change> changes, bool urgent) {
  auto* self = state_.get();
  std::size_t bytes = 0;
  for (auto& entry : changes) bytes += entry.value ? entry.key.size() + entry.value->size() : 0;
  if (bytes > 0 && !has_room(bytes, urgent)) {
    self->journal.count("herontally_disk_full_total");
    co_return error::full;
  }
  if (self->must_fold || self->log_bytes > self->choice.log_bytes_before_fold) {
    auto failed = co_await fold(self);
    if (failed) co_return failed;
  }
  std::string packed = pack_batch(self->generation, self->sequence + 1, changes);
  std::string log_file = self->log_file(self->slot);
  auto failed = self->disk().append(log_file, packed);
  std::size_t packed_bytes = packed.size();
  packed = std::string();
  auto begin = self->runtime.now();
  if (!failed && !broken("sync")) failed = co_await self->runtime.sync(log_file);
  self->journal.count("herontally_disk_syncs_total");
  self->journal.count("herontally_disk_sync_microseconds_total",
                      static_cast<double>(self->runtime.now() - begin));
  if (failed) {
    // What reached the disk is unknown now; the log must not be continued behind it.
    self->must_fold = true;
    self->journal.warn("disk write failed", {{"file", log_file}});
    co_return from_disk(*failed);
  }
  self->apply_logged(changes, static_cast<std::uint64_t>(self->log_bytes));
  self->sequence += 1;
  self->log_bytes += static_cast<std::int64_t>(packed_bytes);
  co_return std::nullopt;
}

void store::state::apply_logged(const std::vector<change>& changes, std::uint64_t batch_offset) {
  std::uint64_t offset = batch_offset + batch_head_bytes;
  for (auto& entry : changes) {
    std::size_t value_bytes = entry.value ? entry.value->size() : 0;
    offset += pack_change_head(entry.key, entry.value ? std::optional(value_bytes) : std::nullopt).size();
    if (entry.value)
      records.put(entry.key, *entry.value, true, offset);
    else
      records.remove(entry.key);
    offset += value_bytes;
  }
}

runtime::task<std::optional<error>> store::wipe() {
  auto* self = state_.get();
  // Nothing can be read from the files any more.
  self->records.clear();
  self->must_fold = true;
  for (int which = 0; which < 2; ++which) {
    for (auto& file : {self->log_file(which), self->slot_file(which)}) {
      auto failed = self->disk().replace(file, "");
      if (!failed) failed = co_await self->runtime.sync(file);
      if (failed) co_return from_disk(*failed);
    }
  }
  self->log_bytes = 0;
  self->generation = 0;
  self->sequence = 0;
  co_return std::nullopt;
}

}  // namespace herontally::disk
