// The task that owns a bucket: it applies the queued commands in batches, makes the changes of a batch
// durable with one sync (group commit) and then completes its commands.
#include "replica_storage/record_store_state.h"

namespace herontally::replica_storage {

using runtime::microseconds;
using runtime::millisecond;
using runtime::task;

// The least time between two commits of a busy bucket. A sync blocks the whole process, and a short delay
// lets more commands share one.
constexpr microseconds min_commit_interval = 15 * millisecond;
// The size of a batch is limited because several copies of it are in memory while it is packed and written.
constexpr std::size_t max_batch_commands = 256;
constexpr std::size_t max_batch_bytes = 512 << 10;
constexpr microseconds no_timeout = -1;

// The estimated memory of a queued command, in bytes: its values, its closures and the tasks that wait for
// it.
static std::size_t queued_bytes(const command& queued) {
  constexpr std::size_t command_overhead_bytes = 512;
  return queued.bytes + command_overhead_bytes;
}

void bucket::push(command added) {
  pending_bytes += queued_bytes(added);
  queue.push(std::move(added));
}

std::optional<std::string> bucket::read(const staged_changes& staged, const std::string& record) const {
  auto found = staged.find(record);
  return found != staged.end() ? found->second : store.read(record);
}

bool bucket::contains(const staged_changes& staged, const std::string& record) const {
  auto found = staged.find(record);
  return found != staged.end() ? found->second.has_value() : store.contains(record);
}

static commit_result result_of(const std::optional<storage::error>& failed) {
  if (!failed) return commit_result::durable;
  return failed == storage::error::full ? commit_result::disk_full : commit_result::failed;
}

task<> record_store::state::commit_batch(bucket* owned, std::vector<command*> commands, bool urgent) {
  auto self = shared_from_this();
  staged_changes staged;
  std::vector<command::completion> completions;
  completions.reserve(commands.size());
  for (auto* each : commands) completions.push_back(each->apply(staged));
  std::optional<storage::error> failed;
  std::vector<std::string> turns;
  if (!staged.empty()) {
    std::vector<storage::change> changes;
    for (auto& [record, value] : staged) {
      if (record.starts_with(turn_record_prefix)) turns.push_back(record);
      changes.push_back({record, std::move(value)});
    }
    staged.clear();
    failed = co_await owned->store.commit(std::move(changes), urgent);
  }
  // From now on the stores' indexes show which bucket holds these records.
  if (!failed)
    for (auto& turn : turns) self->pending_turns.erase(turn);
  for (auto& complete : completions) complete(result_of(failed));
}

task<> record_store::state::delay_commit(bucket* owned) {
  bool busy = owned == buckets[0].get() || owned == buckets[turn_bucket].get();
  microseconds next = owned->last_commit + min_commit_interval;
  if (busy && owned->last_commit > 0 && runtime.now() < next) co_await runtime.sleep(next - runtime.now());
}

// If there is no capacity for all commands, the urgent ones get a batch of their own: a batch fails as a
// whole, so that commands that don't fit would fail the urgent ones too.
task<> record_store::state::commit_by_urgency(bucket* owned, std::vector<command> commands,
                                              std::size_t bytes) {
  auto self = shared_from_this();
  std::size_t memory = 0;
  std::vector<command*> urgent, normal;
  for (auto& each : commands) {
    memory += queued_bytes(each);
    (each.urgent ? urgent : normal).push_back(&each);
  }
  if (owned->store.has_capacity(bytes, false)) {
    urgent.insert(urgent.end(), normal.begin(), normal.end());
    normal.clear();
  }
  if (!urgent.empty()) co_await self->commit_batch(owned, std::move(urgent), true);
  if (!normal.empty()) co_await self->commit_batch(owned, std::move(normal), false);
  owned->pending_bytes -= memory;
}

task<> record_store::state::run_owner(bucket* owned) {
  auto self = shared_from_this();
  while (true) {
    auto first = co_await owned->queue.pop(no_timeout);
    if (!first) continue;
    if (first->exclusive) {
      owned->pending_bytes -= queued_bytes(*first);
      co_await first->exclusive();
      continue;
    }
    co_await self->delay_commit(owned);
    std::vector<command> commands;
    std::size_t bytes = first->bytes;
    commands.push_back(std::move(*first));
    std::optional<command> exclusive;
    while (!owned->queue.empty() && commands.size() < max_batch_commands && bytes < max_batch_bytes &&
           !exclusive) {
      auto next = co_await owned->queue.pop(0);
      if (next && next->exclusive) {
        owned->pending_bytes -= queued_bytes(*next);
        exclusive = std::move(next);
      } else if (next) {
        bytes += next->bytes;
        commands.push_back(std::move(*next));
      }
    }
    co_await self->commit_by_urgency(owned, std::move(commands), bytes);
    owned->last_commit = self->runtime.now();
    if (exclusive) co_await exclusive->exclusive();
  }
}

}  // namespace herontally::replica_storage
