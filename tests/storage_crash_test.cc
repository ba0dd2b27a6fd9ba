// The bucket on disk against an oracle, with a crash at every write and sync, torn and lost writes.
#include <catch2/catch.hpp>

#include "simulator/world.h"
#include "storage/format.h"
#include "storage/log_store.h"

using namespace herontally;

namespace {

using records = std::map<std::string, std::string>;

storage::log_store_options small() {
  storage::log_store_options options;
  options.prefix = "b";
  options.log_bytes_before_compaction = 400;
  // Some of the values are in memory, the others on disk alone.
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

// Commits drawn batches until the node is crashed; `lasting` is what was promised, `pending` what was begun.
struct writer_state {
  records lasting, pending;
  bool corrupt = false, recovered = false;
};

runtime::task<> write_on(runtime::handle runtime, std::shared_ptr<writer_state> state, std::uint64_t seed,
                         int batches) {
  storage::log_store store(runtime, small(), logging::logger("t"));
  state->corrupt = store.recover() == storage::error::corrupt;
  if (state->corrupt) co_return;
  // What was promised must be there; what was only begun may be.
  auto found = all_of(store);
  bool is_lasting = found == state->lasting, is_pending = found == state->pending;
  state->recovered = is_lasting || is_pending;
  state->lasting = state->pending = found;
  std::mt19937_64 random(seed);
  for (int batch = 0; batch < batches; ++batch) {
    std::vector<storage::change> changes;
    auto next = state->lasting;
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
    state->lasting = next;
    CHECK(all_of(store) == next);
  }
}

}  // namespace

TEST_CASE("a crash at any write or sync loses nothing that was promised") {
  int crashes = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    for (int operation = 1; operation <= 40; operation += 3) {
      simulator::world world(seed * 1000 + static_cast<std::uint64_t>(operation));
      auto state = std::make_shared<writer_state>();
      for (int life = 0; life < 3; ++life) {
        auto& machine = world.machine("m", "z");
        world.boot("m");
        machine.disk.crash_after = life < 2 ? operation + life * 7 : -1;
        world.runtime_of("m").spawn(
            write_on(world.runtime_of("m"), state, seed + static_cast<std::uint64_t>(life), 30));
        world.run_for(20 * runtime::second);
        REQUIRE_FALSE(state->corrupt);
        REQUIRE(state->recovered);
        state->recovered = false;
        if (machine.disk.crashed) ++crashes;
        world.kill("m", simulator::disk_loss::unsynced);
      }
    }
  }
  // The crashes were really met.
  REQUIRE(crashes > 500);
}

// The offset of the last batch of a log that has the generation of its first one; 0 if there is no other
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

TEST_CASE("a damaged record behind others is reported, not skipped") {
  int reported = 0;
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    simulator::world world(seed);
    auto state = std::make_shared<writer_state>();
    auto& machine = world.machine("m", "z");
    world.boot("m");
    world.runtime_of("m").spawn(write_on(world.runtime_of("m"), state, seed, 25));
    world.run_for(20 * runtime::second);
    world.kill("m", simulator::disk_loss::none);
    // A flipped byte in each log before its last batch; a last batch that is damaged counts as a torn write.
    constexpr std::size_t damaged_byte = 40;
    for (auto& [name, file] : machine.disk.files)
      if (name.find("log") != std::string::npos && last_batch_offset(file.current) > damaged_byte)
        file.current[damaged_byte] ^= 0x55;
    auto promised = state->lasting;
    world.boot("m");
    world.runtime_of("m").spawn(write_on(world.runtime_of("m"), state, seed, 0));
    world.run_for(runtime::second);
    // Either it was noticed, or it hit a log that no longer counts and nothing is missing.
    bool whole = state->recovered && state->lasting == promised;
    REQUIRE((state->corrupt || whole));
    if (state->corrupt) ++reported;
  }
  REQUIRE(reported > 5);
}
