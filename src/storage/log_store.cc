#include "storage/log_store.h"

#include "hashing/fnv.h"
#include "runtime/breaks.h"
#include "storage/compaction.h"
#include "storage/format.h"
#include "storage/log_store_state.h"
#include "storage/recovery.h"

namespace herontally::storage {

log_store::log_store(runtime::handle runtime, log_store_options options, logging::logger logger)
    : state_(std::make_unique<state>(std::move(runtime), std::move(options), std::move(logger))) {}
log_store::~log_store() = default;
log_store::log_store(log_store&&) noexcept = default;

std::size_t log_store::record_count() const { return state_->records.count(); }
std::int64_t log_store::live_bytes() const { return state_->records.live_bytes(); }
const std::vector<std::uint64_t>& log_store::checksums() const { return state_->records.checksums(); }

std::size_t range_of(const std::string& key) {
  return (hashing::fnv1a(key, hashing::placement_basis) >> 40) % range_count;
}

// During a compaction the old and the new slot are both on disk, so that less than half of the limit may be
// live data. What lies between the two limits is reserved for urgent changes, which finish operations already
// begun.
constexpr std::int64_t max_live_percent = 45;
constexpr std::int64_t max_normal_live_percent = 36;

bool log_store::has_capacity(std::size_t bytes, bool urgent) const {
  std::int64_t percent = urgent ? max_live_percent : max_normal_live_percent;
  std::int64_t limit = state_->options.limit_bytes * percent / 100;
  return live_bytes() + static_cast<std::int64_t>(bytes) <= limit;
}

bool log_store::state::verify_value(const std::string& key, const index_entry& entry,
                                    std::string_view bytes) {
  if (bytes.size() == entry.value_bytes && checksum(bytes) == entry.checksum) return true;
  logger.count("herontally_disk_damaged_records_total");
  logger.error("record value failed its checksum; the record counts as absent until repaired",
               {{"record", key}});
  records.mark_damaged(key);
  // The next commit compacts first, and the new slot doesn't contain the damaged bytes.
  must_compact = true;
  return false;
}

std::optional<std::string> log_store::state::read(const std::string& key, const index_entry& entry) {
  auto file = entry.in_log ? log_file(slot) : slot_file(slot);
  auto found = disk().read_at(file, entry.offset, entry.value_bytes);
  auto* value = std::get_if<std::string>(&found);
  if (!value) {
    logger.count("herontally_disk_read_failures_total");
    return std::nullopt;
  }
  if (!verify_value(key, entry, *value)) return std::nullopt;
  return std::move(*value);
}

std::optional<std::string> log_store::read(const std::string& key) const {
  auto* entry = state_->records.find(key);
  if (!entry) return std::nullopt;
  if (entry->in_memory) return entry->value;
  return state_->read(key, *entry);
}

bool log_store::contains(const std::string& key) const { return state_->records.find(key) != nullptr; }

bool log_store::has_entry(const std::string& key) const { return state_->records.entries().contains(key); }

std::size_t log_store::value_bytes(const std::string& key) const {
  auto* entry = state_->records.find(key);
  return entry ? entry->value_bytes : 0;
}

void log_store::list_from(const std::string& first,
                          const std::function<bool(const listed_record&)>& handle_record) const {
  auto& entries = state_->records.entries();
  for (auto position = entries.lower_bound(first); position != entries.end(); ++position) {
    auto& entry = position->second;
    if (entry.damaged) continue;
    listed_record record{position->first, entry.in_memory ? &entry.value : nullptr, entry.value_bytes,
                         entry.attribute, entry.range};
    if (!handle_record(record)) return;
  }
}

namespace {

// A slot with a valid header; its payload may still prove incomplete.
struct slot_candidate {
  std::uint64_t generation = 0;
  int number = 0;
};

struct slot_search {
  std::vector<slot_candidate> candidates;  // by falling generation
  bool any_file = false;                   // a slot file exists, with a valid header or not
};

std::variant<slot_search, error> find_slots(const log_store::state& self) {
  slot_search found;
  for (int number = 0; number < slot_count; ++number) {
    file_reader file(self.disk(), self.slot_file(number));
    auto failed = file.open();
    if (failed == runtime::disk_error::missing) continue;
    found.any_file = true;
    auto header = read_slot_header(file.at(0, slot_header_bytes));
    if (failed || file.failed()) return error::failed;
    if (header) found.candidates.push_back({header->generation, number});
  }
  auto& slots = found.candidates;
  if (slots.size() == 2 && slots[1].generation > slots[0].generation) std::swap(slots[0], slots[1]);
  return found;
}

// Loads the newest complete slot into the index; false if there is none, and the index is then empty.
std::variant<bool, error> load_newest(log_store::state& self, const std::vector<slot_candidate>& candidates) {
  bool loaded = false;
  for (auto& candidate : candidates) {
    self.records.clear();
    file_reader file(self.disk(), self.slot_file(candidate.number));
    if (file.open()) return error::failed;
    loaded = load_slot(file, self.records);
    if (file.failed()) return error::failed;
    self.slot = candidate.number;
    self.generation = candidate.generation;
    if (loaded) break;
  }
  if (broken("recover")) loaded = false;
  if (!loaded) {
    self.records.clear();
    self.generation = 0;
  }
  return loaded;
}

// Reads one log, and applies its batches to the index if `apply` is set. A missing file counts as empty.
std::variant<log_contents, error> read_log_file(log_store::state& self, int number, bool apply) {
  file_reader file(self.disk(), self.log_file(number));
  auto failed = file.open();
  if (failed == runtime::disk_error::missing) return log_contents{};
  if (failed) return error::failed;
  auto contents = read_log(file, self.generation, apply ? &self.records : nullptr);
  if (file.failed()) return error::failed;
  return contents;
}

// Bytes of keys and values that the changes add; removals add none.
std::size_t written_bytes(const std::vector<change>& changes) {
  std::size_t bytes = 0;
  for (auto& each : changes) bytes += each.value ? each.key.size() + each.value->size() : 0;
  return bytes;
}

}  // namespace

std::optional<error> log_store::recover() {
  auto& self = *state_;
  self.must_compact = true;
  auto slots = find_slots(self);
  if (auto* failed = std::get_if<error>(&slots)) return *failed;
  auto& found = std::get<slot_search>(slots);
  auto newest = load_newest(self, found.candidates);
  if (auto* failed = std::get_if<error>(&newest)) return *failed;
  bool loaded = std::get<bool>(newest);
  for (int number = 0; number < slot_count; ++number) {
    bool current = loaded && number == self.slot;
    auto read = read_log_file(self, number, current);
    if (auto* failed = std::get_if<error>(&read)) return *failed;
    auto& contents = std::get<log_contents>(read);
    // A log of a generation is started only after the slot of that generation was synced. So a log that is
    // newer than the loaded slot proves that synced records were lost, and so does a log with complete
    // batches if slot files exist but none of them can be loaded.
    bool newer = contents.newest_generation > self.generation;
    if (newer && (loaded || found.any_file)) return error::corrupt;
    if (current && contents.corrupt) return error::corrupt;
  }
  return std::nullopt;
}

runtime::task<std::optional<error>> log_store::commit(std::vector<change> changes, bool urgent) {
  auto* self = state_.get();
  std::size_t bytes = written_bytes(changes);
  if (bytes > 0 && !has_capacity(bytes, urgent)) {
    self->logger.count("herontally_disk_full_total");
    co_return error::full;
  }
  if (self->must_compact || self->log_bytes > self->options.log_bytes_before_compaction) {
    auto failed = co_await compact(self);
    if (failed) co_return failed;
  }
  std::string batch = pack_batch(self->generation, self->sequence + 1, changes);
  std::string log_file = self->log_file(self->slot);
  auto failed = self->disk().append(log_file, batch);
  std::size_t batch_bytes = batch.size();
  batch = std::string();
  auto sync_start = self->runtime.now();
  if (!failed && !broken("sync")) failed = co_await self->runtime.sync(log_file);
  self->logger.count("herontally_disk_syncs_total");
  self->logger.count("herontally_disk_sync_microseconds_total",
                     static_cast<double>(self->runtime.now() - sync_start));
  if (failed) {
    // It is unknown how much of the batch reached the disk, so that nothing may be appended after it.
    self->must_compact = true;
    self->logger.warn("disk write failed", {{"file", log_file}});
    co_return error_of(*failed);
  }
  self->apply_batch(changes, static_cast<std::uint64_t>(self->log_bytes));
  self->sequence += 1;
  self->log_bytes += static_cast<std::int64_t>(batch_bytes);
  co_return std::nullopt;
}

void log_store::state::apply_batch(const std::vector<change>& changes, std::uint64_t batch_offset) {
  std::uint64_t offset = batch_offset + batch_header_bytes;
  for (auto& entry : changes) {
    std::size_t value_bytes = entry.value ? entry.value->size() : 0;
    offset += pack_change_header(entry.key, entry.value ? std::optional(value_bytes) : std::nullopt).size();
    if (entry.value)
      records.put(entry.key, *entry.value, true, offset);
    else
      records.remove(entry.key);
    offset += value_bytes;
  }
}

runtime::task<std::optional<error>> log_store::wipe() {
  auto* self = state_.get();
  // The index goes first: from here on its offsets into the files are invalid.
  self->records.clear();
  self->must_compact = true;
  for (int number = 0; number < slot_count; ++number) {
    for (auto& file : {self->log_file(number), self->slot_file(number)}) {
      auto failed = self->disk().replace(file, "");
      if (!failed) failed = co_await self->runtime.sync(file);
      if (failed) co_return error_of(*failed);
    }
  }
  self->log_bytes = 0;
  self->generation = 0;
  self->sequence = 0;
  co_return std::nullopt;
}

}  // namespace herontally::storage
