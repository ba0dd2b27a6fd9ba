// A log store against a model of its records, with crashes at writes and syncs that tear or lose what isn't
// synced, and with damaged logs.
#include <catch2/catch.hpp>

#include "simulator/world.h"
#include "storage/format.h"
#include "storage/log_store.h"

using namespace herontally;

namespace {

using records = std::map<std::string, std::string>;

storage::log_store_options small_store_options() {
  storage::log_store_options options;
  options.prefix = "b";
  options.log_bytes_before_compaction = 400;
  // Some values are kept in memory, the others only on disk.
  options.in_memory = [](const std::string&, std::size_t bytes) { return bytes < 25; };
  return options;
}

records all_of(const storage::log_store& store) {
  std::vector<std::string> keys;
  store.list_from("", [&keys](const storage::listed_record& record) {
    keys.push_back(record.key);
    return true;
  });
  records found;
  for (auto& key : keys) {
    auto value = store.read(key);
    REQUIRE(value);
    found[key] = *value;
  }
  REQUIRE(store.record_count() == found.size());
  return found;
}

// The model that outlives the crashes of a node: `durable` has the records of all acknowledged commits,
// `pending` also those of the commit under way.
struct writer_state {
  records durable, pending;
  bool corrupt = false, recovered = false;
};

// Recovers the store, compares it with the model, and then commits random batches until the node crashes.
runtime::task<> recover_and_write(runtime::handle runtime, std::shared_ptr<writer_state> state,
                                  std::uint64_t seed, int batches) {
  storage::log_store store(runtime, small_store_options(), logging::logger("t"));
  state->corrupt = store.recover() == storage::error::corrupt;
  if (state->corrupt) co_return;
  // All acknowledged commits must be there; the one that was under way may be there or not.
  auto found = all_of(store);
  bool is_durable = found == state->durable, is_pending = found == state->pending;
  state->recovered = is_durable || is_pending;
  state->durable = state->pending = found;
  std::mt19937_64 random(seed);
  for (int batch = 0; batch < batches; ++batch) {
    std::vector<storage::change> changes;
    auto next = state->durable;
    for (std::size_t each = 0; each < 1 + random() % 3; ++each) {
      std::string key = "k" + std::to_string(random() % 12);
      if (random() % 5 == 0) {
        changes.push_back({key, std::nullopt});
        next.erase(key);
      } else {
        std::string value(random() % 60, static_cast<char>('a' + random() % 26));
        changes.push_back({key, value});
        next[key] = value;
      }
    }
    state->pending = next;
    auto failed = co_await store.commit(changes, true);
    if (failed) continue;
    state->durable = next;
    CHECK(all_of(store) == next);
  }
}

}  // namespace

TEST_CASE("a crash at any write or sync loses no acknowledged commit") {
  int crashes = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    for (int operation = 1; operation <= 40; operation += 3) {
      simulator::world world(seed * 1000 + static_cast<std::uint64_t>(operation));
      auto state = std::make_shared<writer_state>();
      for (int start = 0; start < 3; ++start) {
        auto& machine = world.machine("m", "z");
        world.boot("m");
        machine.disk.crash_after = start < 2 ? operation + start * 7 : -1;
        world.runtime_of("m").spawn(
            recover_and_write(world.runtime_of("m"), state, seed + static_cast<std::uint64_t>(start), 30));
        world.run_for(20 * runtime::second);
        REQUIRE_FALSE(state->corrupt);
        REQUIRE(state->recovered);
        state->recovered = false;
        if (machine.disk.crashed) ++crashes;
        world.kill("m", simulator::disk_loss::unsynced);
      }
    }
  }
  // Guards against a test in which hardly any run crashes.
  REQUIRE(crashes > 500);
}

// The offset of the last batch with the same generation as the log's first one; 0 if there is no other such
// batch.
static std::size_t last_batch_offset(std::string_view log) {
  std::size_t last = 0, offset = 0;
  auto first = storage::read_batch_header(log);
  for (auto header = first; header && offset < log.size();) {
    if (header->generation == first->generation) last = offset;
    offset += storage::batch_header_bytes + header->payload_bytes;
    header = storage::read_batch_header(log.substr(std::min(offset, log.size())));
  }
  return last;
}

TEST_CASE("a damaged batch that others follow is reported as corruption, not skipped") {
  int reported = 0;
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    simulator::world world(seed);
    auto state = std::make_shared<writer_state>();
    auto& machine = world.machine("m", "z");
    world.boot("m");
    world.runtime_of("m").spawn(recover_and_write(world.runtime_of("m"), state, seed, 25));
    world.run_for(20 * runtime::second);
    world.kill("m", simulator::disk_loss::none);
    // Changes a byte in each log in front of its last batch; a damaged last batch would count as a torn
    // write.
    constexpr std::size_t damaged_byte = 40;
    for (auto& [name, file] : machine.disk.files)
      if (name.find("log") != std::string::npos && last_batch_offset(file.current) > damaged_byte)
        file.current[damaged_byte] ^= 0x55;
    auto acknowledged = state->durable;
    world.boot("m");
    world.runtime_of("m").spawn(recover_and_write(world.runtime_of("m"), state, seed, 0));
    world.run_for(runtime::second);
    // Either the damage is reported, or it is in a log that is no longer in use and no record is missing.
    bool complete = state->recovered && state->durable == acknowledged;
    REQUIRE((state->corrupt || complete));
    if (state->corrupt) ++reported;
  }
  REQUIRE(reported > 5);
}
