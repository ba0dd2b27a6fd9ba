#include "replica_storage/record_store.h"

#include <algorithm>

#include "hashing/fnv.h"
#include "replica_storage/record_store_state.h"

namespace herontally::replica_storage {

using runtime::task;

namespace {

// The part of a record in the checksum of its range. Two voters agree on a content when both hold it, and on
// a register when both accepted the same ballot. Registers with only a promise and a voter's own records
// count as 0.
std::uint64_t fingerprint_of(const std::string& record, std::string_view value) {
  if (is_local_record(record)) return 0;
  std::uint64_t hash = hashing::placement_basis;
  auto mix = [&hash](std::uint64_t part) { hash = hashing::fnv1a_step(hash, part) ^ (hash >> 29); };
  for (unsigned char byte : record) mix(byte);
  if (is_register(record)) {
    auto accepted = unpack_ballots(value).accepted;
    if (accepted.counter == 0) return 0;
    mix(static_cast<std::uint64_t>(accepted.counter));
    mix(static_cast<std::uint64_t>(accepted.proposer));
  }
  return hash;
}

// Contents make up most of the bytes and are rarely read, so that only small ones stay in memory. Registers
// always do: every vote reads one.
bool stays_in_memory(const std::string& record, std::size_t bytes) {
  constexpr std::size_t max_content_bytes_in_memory = 64;
  return !is_content(record) || bytes <= max_content_bytes_in_memory;
}

storage::log_store_options bucket_options(const record_store_options& options, int number) {
  storage::log_store_options bucket;
  bucket.prefix = options.group + "-" + std::to_string(number);
  bucket.limit_bytes = options.limit_bytes / options.bucket_count;
  bucket.fingerprint = fingerprint_of;
  bucket.attribute = options.attribute;
  bucket.in_memory = stays_in_memory;
  bucket.log_bytes_before_compaction = std::max<std::int64_t>(1 << 20, bucket.limit_bytes / 16);
  return bucket;
}

// Lists up to `limit` records that begin with `prefix`, after the key `after` (empty: from the first one).
// Returns the key of the last one, or an empty string if no more follow.
std::string list_page(const storage::log_store& store, const std::string& prefix, const std::string& after,
                      int limit, const std::function<void(const storage::listed_record&)>& handle_record) {
  std::string last;
  int listed = 0;
  bool more = false;
  store.list_from(after.empty() ? prefix : next_key(after), [&](const storage::listed_record& record) {
    if (!record.key.starts_with(prefix)) return false;
    more = listed == limit;
    if (more) return false;
    handle_record(record);
    last = record.key;
    ++listed;
    return true;
  });
  return more ? last : "";
}

}  // namespace

record_store::state::state(runtime::handle given_runtime, logging::logger given_logger,
                           record_store_options given_options)
    : runtime(std::move(given_runtime)), logger(std::move(given_logger)), options(std::move(given_options)) {
  for (int number = 0; number < options.bucket_count; ++number) {
    storage::log_store store(runtime, bucket_options(options, number), logger);
    buckets.push_back(std::make_unique<bucket>(std::move(store), runtime));
  }
}

record_store::record_store(runtime::handle runtime, logging::logger logger, record_store_options options)
    : state_(std::make_shared<state>(runtime, std::move(logger), std::move(options))) {
  // Queued commands hold shared pointers to the state that owns their queues. Emptying the queues breaks this
  // reference cycle.
  runtime.on_stop([weak = std::weak_ptr<state>(state_)] {
    auto self = weak.lock();
    if (!self) return;
    for (auto& each : self->buckets) each->queue = runtime::mailbox<command>(self->runtime);
  });
}

recovered_records record_store::recover() {
  recovered_records found;
  for (auto& each : state_->buckets) {
    auto fault = each->store.recover();
    if (fault == storage::error::failed) {
      found.failed = true;
      return found;
    }
    if (fault == storage::error::corrupt) found.corrupt = true;
    found.identities.insert(each->store.read(identity_record).value_or(""));
    if (auto view = each->store.read(view_record)) found.views.push_back(*view);
    if (auto claim = each->store.read(founding_claim_record)) found.founding_claim = *claim;
  }
  return found;
}

void record_store::start() {
  for (auto& each : state_->buckets) state_->runtime.spawn(state_->run_owner(each.get()));
  state_->started = true;
}

task<bool> record_store::state::reset_bucket(bucket* owned, voter_records begun) {
  auto failed = co_await owned->store.wipe();
  if (failed) co_return false;
  std::vector<storage::change> changes;
  changes.push_back({identity_record, begun.identity});
  if (!begun.founding_claim.empty()) changes.push_back({founding_claim_record, begun.founding_claim});
  failed = co_await owned->store.commit(std::move(changes), true);
  co_return !failed;
}

task<bool> record_store::reset(voter_records begun) {
  auto self = state_;
  self->pending_turns.clear();
  bool all = true;
  for (auto& each : self->buckets) {
    auto* owned = each.get();
    if (!self->started) {
      bool done = co_await self->reset_bucket(owned, begun);
      all = all && done;
      continue;
    }
    // Once the owners run, only they may write, so that the reset is queued as a command.
    runtime::slot<bool> finished(self->runtime);
    command reset;
    reset.exclusive = [self, owned, begun, finished]() -> task<> {
      bool done = co_await self->reset_bucket(owned, begun);
      finished.set(done);
    };
    owned->push(std::move(reset));
    bool done = co_await finished.wait();
    all = all && done;
  }
  co_return all;
}

std::optional<std::size_t> record_store::state::bucket_of_turn(const std::string& record) const {
  auto pending = pending_turns.find(record);
  if (pending != pending_turns.end()) return pending->second;
  for (std::size_t number = 0; number < buckets.size(); ++number)
    if (buckets[number]->store.has_entry(record)) return number;
  return std::nullopt;
}

bucket& record_store::state::bucket_of(const std::string& record) {
  // Program records are small and written often: in one bucket they share syncs.
  if (record.starts_with(program_record_prefix)) return *buckets[0];
  if (record.starts_with(turn_record_prefix)) return *buckets[bucket_of_turn(record).value_or(turn_bucket)];
  return *buckets[hashing::fnv1a(record, hashing::placement_basis) % buckets.size()];
}

void record_store::state::choose_turn_bucket() {
  // Bucket 0 holds the program records; it takes turn records only if it is the only bucket.
  std::size_t best = buckets.size() > 1 ? 1 : 0;
  for (std::size_t number = best; number < buckets.size(); ++number)
    if (buckets[number]->store.live_bytes() < buckets[best]->store.live_bytes()) best = number;
  turn_bucket = best;
}

bucket& record_store::state::bucket_for_write(const std::string& record, std::size_t bytes) {
  if (!record.starts_with(turn_record_prefix)) return bucket_of(record);
  if (auto number = bucket_of_turn(record)) return *buckets[*number];
  auto& current = *buckets[turn_bucket];
  auto max_turn_bytes = static_cast<std::size_t>(options.limit_bytes / options.bucket_count / 16);
  bool shared_with_programs = turn_bucket == 0 && buckets.size() > 1;
  if (shared_with_programs || current.turn_bytes_written > max_turn_bytes ||
      !current.store.has_capacity(bytes, false)) {
    current.turn_bytes_written = 0;
    choose_turn_bucket();
  }
  buckets[turn_bucket]->turn_bytes_written += bytes;
  pending_turns[record] = turn_bucket;
  return *buckets[turn_bucket];
}

bucket& record_store::bucket_of(const std::string& record) { return state_->bucket_of(record); }
bucket& record_store::bucket_for_write(const std::string& record, std::size_t bytes) {
  return state_->bucket_for_write(record, bytes);
}
std::vector<std::unique_ptr<bucket>>& record_store::buckets() { return state_->buckets; }
const std::vector<std::unique_ptr<bucket>>& record_store::buckets() const { return state_->buckets; }

bool record_store::may_queue(std::size_t bytes, bool urgent) const {
  constexpr std::size_t normal_limit_percent = 75;
  std::size_t pending = 0;
  for (auto& each : state_->buckets) pending += each->pending_bytes;
  // A command that alone exceeds the limit is accepted when nothing is pending: otherwise it could never run.
  if (pending == 0) return true;
  auto limit = state_->options.max_pending_bytes;
  return pending + bytes <= (urgent ? limit : limit * normal_limit_percent / 100);
}

std::optional<std::string> record_store::read(const std::string& record) const {
  return state_->bucket_of(record).read({}, record);
}

bool record_store::contains(const std::string& record) const {
  return state_->bucket_of(record).contains({}, record);
}

bool record_store::empty() const {
  bool empty = true;
  for (auto& each : state_->buckets)
    each->store.list_from("", [&empty](const storage::listed_record& record) {
      empty = empty && is_local_record(record.key);
      return empty;
    });
  return empty;
}

task<bool> record_store::put_in_all_buckets(std::string record, std::string value) {
  auto self = state_;
  std::vector<runtime::slot<bool>> waits;
  for (auto& each : self->buckets) {
    runtime::slot<bool> done(self->runtime);
    command put;
    put.urgent = true;
    put.apply = [record, value, done](staged_changes& staged) {
      staged[record] = value;
      return [done](commit_result result) { done.set(result == commit_result::durable); };
    };
    each->push(std::move(put));
    waits.push_back(done);
  }
  co_return co_await runtime::all_true(std::move(waits));
}

task<bool> record_store::remove(std::vector<std::string> records) {
  auto self = state_;
  // All removals are queued before any is awaited, so that they share syncs.
  std::vector<runtime::slot<bool>> waits;
  for (auto& record : records) {
    runtime::slot<bool> done(self->runtime);
    command removal;
    removal.urgent = true;
    removal.apply = [record, done](staged_changes& staged) {
      staged[record] = std::nullopt;
      return [done](commit_result result) { done.set(result == commit_result::durable); };
    };
    self->bucket_of(record).push(std::move(removal));
    waits.push_back(done);
  }
  co_return co_await runtime::all_true(std::move(waits));
}

task<int> record_store::remove_registers_if(std::vector<std::string> records, removal_check may_remove) {
  auto self = state_;
  std::vector<runtime::slot<bool>> waits;
  for (auto& record : records) {
    auto& owner = self->bucket_of(record);
    runtime::slot<bool> done(self->runtime);
    command removal;
    removal.urgent = true;
    removal.apply = [&owner, record, may_remove, done](staged_changes& staged) {
      auto bytes = owner.read(staged, record);
      bool removed = false;
      if (bytes) {
        auto content = unpack_cell(*bytes);
        removed = may_remove(content.promised, content.accepted_value());
      }
      if (removed) staged[record] = std::nullopt;
      return [done, removed](commit_result result) { done.set(removed && result == commit_result::durable); };
    };
    owner.push(std::move(removal));
    waits.push_back(done);
  }
  int removed = 0;
  for (auto& wait : waits) {
    bool success = co_await wait.wait();
    removed += success ? 1 : 0;
  }
  co_return removed;
}

std::string record_store::for_each_record(
    int bucket_number, const std::string& prefix, const std::string& after, int limit,
    const std::function<void(const std::string& record, const std::string& bytes)>& handle_record) const {
  auto& store = state_->buckets[static_cast<std::size_t>(bucket_number)]->store;
  std::vector<std::string> records;
  auto take = [&records](const storage::listed_record& record) { records.push_back(record.key); };
  std::string last = list_page(store, prefix, after, limit, take);
  for (auto& record : records)
    if (auto bytes = store.read(record)) handle_record(record, *bytes);
  return last;
}

std::string record_store::for_each_attribute(
    int bucket_number, const std::string& prefix, const std::string& after, int limit,
    const std::function<void(const std::string& record, std::int64_t attribute)>& handle_record) const {
  auto& store = state_->buckets[static_cast<std::size_t>(bucket_number)]->store;
  return list_page(store, prefix, after, limit, [&handle_record](const storage::listed_record& record) {
    handle_record(record.key, record.attribute);
  });
}

std::vector<std::string> record_store::records_with_prefix(const std::string& prefix) const {
  std::vector<std::string> found;
  auto take = [&found, &prefix](const storage::listed_record& record) {
    if (!record.key.starts_with(prefix)) return false;
    found.push_back(record.key);
    return true;
  };
  for (auto& each : state_->buckets) each->store.list_from(prefix, take);
  return found;
}

std::vector<std::int64_t> record_store::checksums() const {
  std::vector<std::int64_t> combined(storage::range_count, 0);
  for (auto& each : state_->buckets)
    for (std::size_t range = 0; range < storage::range_count; ++range)
      combined[range] ^= static_cast<std::int64_t>(each->store.checksums()[range]);
  return combined;
}

std::int64_t record_store::live_bytes() const {
  std::int64_t total = 0;
  for (auto& each : state_->buckets) total += each->store.live_bytes();
  return total;
}

std::size_t record_store::record_count() const {
  std::size_t total = 0;
  for (auto& each : state_->buckets) total += each->store.record_count();
  return total;
}

}  // namespace herontally::replica_storage
