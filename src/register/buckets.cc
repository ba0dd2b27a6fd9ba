// Which bucket holds what, the bucket's owner, and the removal of records that are given up.
#include <algorithm>

#include "register/voter_state.h"

namespace herontally::reg {

using runtime::microseconds;
using runtime::millisecond;
using runtime::task;

static bool begins_with(const std::string& text, const char* prefix) { return text.rfind(prefix, 0) == 0; }

std::optional<std::size_t> voter::state::place_of_turn(const std::string& record) const {
  auto sent = turn_places.find(record);
  if (sent != turn_places.end()) return sent->second;
  for (std::size_t number = 0; number < buckets.size(); ++number)
    if (buckets[number]->store.has_place(record)) return number;
  return std::nullopt;
}

bucket& voter::state::bucket_of(const std::string& record) {
  // Heads are small and written often: together they share their syncs.
  if (begins_with(record, program_record_prefix)) return *buckets[0];
  if (begins_with(record, turn_record_prefix)) return *buckets[place_of_turn(record).value_or(turn_bucket)];
  std::uint64_t hash = 1469598103934665603ull;
  for (unsigned char letter : record) hash = (hash ^ letter) * 1099511628211ull;
  return *buckets[hash % buckets.size()];
}

bucket& voter::state::bucket_for_writing(const std::string& record, std::size_t bytes) {
  if (!begins_with(record, turn_record_prefix)) return bucket_of(record);
  if (auto place = place_of_turn(record)) return *buckets[*place];
  // Not beside the heads, if there is another; on to the emptiest after so much, so that a fold stays short.
  auto& now = *buckets[turn_bucket];
  auto most = static_cast<std::size_t>(choice.limit_bytes / choice.buckets / 16);
  bool beside_heads = turn_bucket == 0 && buckets.size() > 1;
  if (beside_heads || now.written_in_turn > most || !now.store.has_room(bytes, false)) {
    now.written_in_turn = 0;
    std::size_t best = buckets.size() > 1 ? 1 : 0;
    for (std::size_t number = best; number < buckets.size(); ++number)
      if (buckets[number]->store.live_bytes() < buckets[best]->store.live_bytes()) best = number;
    turn_bucket = best;
  }
  buckets[turn_bucket]->written_in_turn += bytes;
  turn_places[record] = turn_bucket;
  return *buckets[turn_bucket];
}

task<> voter::state::commit_group(bucket* which, std::vector<command*> commands, bool urgent) {
  auto self = shared_from_this();
  std::map<std::string, std::optional<std::string>> overlay;
  std::vector<command::staged> answers;
  for (auto* each : commands) answers.push_back(each->apply(overlay));
  std::optional<disk::error> failed;
  std::vector<std::string> turns;
  if (!overlay.empty()) {
    std::vector<disk::change> changes;
    for (auto& [key, value] : overlay) {
      if (begins_with(key, turn_record_prefix)) turns.push_back(key);
      changes.push_back({key, std::move(value)});
    }
    overlay.clear();
    failed = co_await which->store.commit(std::move(changes), urgent);
  }
  // The store itself tells from now on where they are.
  if (!failed)
    for (auto& turn : turns) self->turn_places.erase(turn);
  for (auto& answer : answers) answer(!failed, failed == disk::error::full);
}

// The bucket's owner: takes all commands that wait, makes them last with one sync, then answers them.
task<> voter::state::own(bucket* which) {
  auto self = shared_from_this();
  auto runtime = port.runtime();
  while (true) {
    auto first = co_await which->queue.pop(-1);
    if (!first) continue;
    if (first->alone) {
      co_await first->alone();
      continue;
    }
    // On a busy disk a short wait lets more commands share the sync, during which the whole process stands.
    constexpr microseconds spacing = 15 * millisecond;
    auto& since = which->last_commit;
    bool paced = which == self->buckets[0].get() || which == self->buckets[self->turn_bucket].get();
    if (paced && since > 0 && runtime.now() < since + spacing)
      co_await runtime.sleep(since + spacing - runtime.now());
    // A batch is in memory several times while it is packed and written.
    constexpr std::size_t most_commands = 256, most_bytes = 512 << 10;
    std::vector<command> commands;
    std::size_t bytes = first->bytes;
    commands.push_back(std::move(*first));
    std::optional<command> alone;
    while (!which->queue.empty() && commands.size() < most_commands && bytes < most_bytes && !alone) {
      auto next = co_await which->queue.pop(0);
      if (next && next->alone) {
        alone = std::move(next);
      } else if (next) {
        bytes += next->bytes;
        commands.push_back(std::move(*next));
      }
    }
    std::vector<command*> urgent, usual;
    for (auto& each : commands) (each.urgent ? urgent : usual).push_back(&each);
    // Urgent commands don't share a batch with others whose lack of room would sink them.
    if (which->store.has_room(bytes, false)) {
      urgent.insert(urgent.end(), usual.begin(), usual.end());
      usual.clear();
    }
    if (!urgent.empty()) co_await self->commit_group(which, std::move(urgent), true);
    if (!usual.empty()) co_await self->commit_group(which, std::move(usual), false);
    since = runtime.now();
    if (alone) co_await alone->alone();
  }
}

task<bool> voter::forget(std::vector<std::string> digests) {
  auto self = state_;
  bool all = true;
  // All at once, so that they share syncs.
  std::vector<std::pair<std::string, runtime::slot<bool>>> waits;
  for (auto& digest : digests) {
    std::string record = "c/" + digest;
    runtime::slot<bool> done(self->port.runtime());
    command removal;
    removal.urgent = true;
    removal.apply = [record, done](auto& overlay) {
      overlay[record] = std::nullopt;
      return [done](bool lasting, bool) { done.set(lasting); };
    };
    self->bucket_of(record).queue.push(std::move(removal));
    waits.push_back({record, done});
  }
  for (auto& [record, done] : waits) {
    bool lasting = co_await done.wait();
    all = all && lasting;
  }
  co_return all;
}

task<int> voter::forget_keys(std::vector<std::string> keys, key_test sure) {
  auto self = state_;
  std::vector<runtime::slot<bool>> waits;
  for (auto& key : keys) {
    std::string record = "k/" + key;
    auto& holder = self->bucket_of(record);
    runtime::slot<bool> done(self->port.runtime());
    command removal;
    removal.urgent = true;
    removal.apply = [&holder, record, sure, done](auto& overlay) {
      auto bytes = holder.read(overlay, record);
      bool removed = false;
      if (bytes) {
        auto [promised, value] = parts_of(*bytes);
        removed = sure(promised, value);
      }
      if (removed) overlay[record] = std::nullopt;
      return [done, removed](bool lasting, bool) { done.set(lasting && removed); };
    };
    holder.queue.push(std::move(removal));
    waits.push_back(done);
  }
  int removed = 0;
  for (auto& wait : waits) {
    bool gone = co_await wait.wait();
    removed += gone ? 1 : 0;
  }
  co_return removed;
}

std::pair<wire::ballot, std::optional<std::string>> voter::parts_of(const std::string& cell_bytes) {
  auto content = cell::unpack(cell_bytes);
  if (content.accepted.counter == 0) return {content.promised, std::nullopt};
  return {content.promised, std::move(content.value)};
}

int voter::bucket_count() const { return static_cast<int>(state_->buckets.size()); }

// Lists up to `limit` records with this prefix after `after`; returns the last one, empty once there are no
// more.
static std::string list_some(const disk::store& store, const std::string& prefix, const std::string& after,
                             int limit, const std::function<void(const disk::listed_record&)>& take) {
  std::string last;
  int taken = 0;
  bool more = false;
  store.list_from(after.empty() ? prefix : just_after(after), [&](const disk::listed_record& record) {
    if (record.key.rfind(prefix, 0) != 0) return false;
    more = taken == limit;
    if (more) return false;
    take(record);
    last = record.key;
    ++taken;
    return true;
  });
  return more ? last : "";
}

std::string voter::for_each_record(
    int which, const std::string& prefix, const std::string& after, int limit,
    const std::function<void(const std::string& record, const std::string& bytes)>& handle_record) const {
  auto& store = state_->buckets[static_cast<std::size_t>(which)]->store;
  std::vector<std::string> keys;
  std::string last = list_some(store, prefix, after, limit,
                               [&keys](const disk::listed_record& record) { keys.push_back(record.key); });
  for (auto& key : keys)
    if (auto bytes = store.read(key)) handle_record(key, *bytes);
  return last;
}

std::string voter::for_each_attribute(
    int which, const std::string& prefix, const std::string& after, int limit,
    const std::function<void(const std::string& record, std::int64_t attribute)>& handle_record) const {
  auto& store = state_->buckets[static_cast<std::size_t>(which)]->store;
  return list_some(store, prefix, after, limit, [&handle_record](const disk::listed_record& record) {
    handle_record(record.key, record.attribute);
  });
}

}  // namespace herontally::reg
