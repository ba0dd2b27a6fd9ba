// What a log store recovers after torn logs, crashes during a compaction, and damaged values.
#include "log_store_fixture.h"

using namespace herontally;
using tests::checksums_of;
using tests::log_store_fixture;
using tests::records;

namespace {

std::string value_of(int number, std::size_t bytes) {
  return std::to_string(number) + std::string(bytes, static_cast<char>('a' + number % 26));
}

// Commits six batches of small and large values and removals. Returns the records before the first batch and
// after each one; `log_sizes` gets the size of the log after each batch.
std::vector<records> write_batches(log_store_fixture& fixture, std::vector<std::size_t>& log_sizes) {
  std::vector<records> after{records{}};
  for (int number = 0; number < 6; ++number) {
    auto next = after.back();
    std::vector<storage::change> changes;
    for (auto bytes : {5u, 30u}) {
      std::string key = (bytes == 5 ? "k/" : "c/") + std::to_string(number);
      next[key] = value_of(number, bytes);
      changes.push_back({key, next[key]});
    }
    if (number % 3 == 2) {
      std::string removed = "c/" + std::to_string(number - 1);
      next.erase(removed);
      changes.push_back({removed, std::nullopt});
    }
    fixture.must_commit(changes);
    log_sizes.push_back(fixture.disk().files["b.log1"].current.size());
    after.push_back(next);
  }
  return after;
}

std::vector<storage::change> large_records(int from, int count, std::size_t bytes, records& content) {
  std::vector<storage::change> changes;
  for (int number = from; number < from + count; ++number) {
    std::string key = "c/" + std::to_string(number);
    content[key] = value_of(number, bytes);
    changes.push_back({key, content[key]});
  }
  return changes;
}

}  // namespace

TEST_CASE("recovery of a log truncated at any byte restores all complete batches") {
  log_store_fixture fixture(1);
  REQUIRE_FALSE(fixture.start());
  std::vector<std::size_t> log_sizes;
  auto after = write_batches(fixture, log_sizes);
  auto files_before = fixture.disk().files;
  for (std::size_t length = 0; length <= log_sizes.back(); ++length) {
    fixture.disk().files = files_before;
    auto& log = fixture.disk().files["b.log1"];
    log.current.resize(length);
    log.synced = log.current;
    REQUIRE_FALSE(fixture.start());
    std::size_t batches = 0;
    while (batches < log_sizes.size() && log_sizes[batches] <= length) ++batches;
    REQUIRE(fixture.all() == after[batches]);
    REQUIRE(fixture.store->checksums() == checksums_of(after[batches]));
  }
}

TEST_CASE("a changed byte is a torn tail in the last batch and corruption in any other") {
  log_store_fixture fixture(2);
  REQUIRE_FALSE(fixture.start());
  std::vector<std::size_t> log_sizes;
  auto after = write_batches(fixture, log_sizes);
  auto files_before = fixture.disk().files;
  for (std::size_t position = 0; position < log_sizes.back(); ++position) {
    fixture.disk().files = files_before;
    auto& log = fixture.disk().files["b.log1"];
    log.current[position] ^= 0x10;
    log.synced = log.current;
    auto fault = fixture.start();
    bool in_last = position >= log_sizes[log_sizes.size() - 2];
    if (in_last)
      REQUIRE_FALSE(fault);
    else
      REQUIRE(fault == storage::error::corrupt);
    if (in_last) REQUIRE(fixture.all() == after[after.size() - 2]);
  }
}

TEST_CASE("a crash at any write or sync of a compaction in several chunks loses nothing") {
  constexpr std::size_t value_bytes = 20000;
  int crashes = 0;
  for (int operation = 1; operation <= 20; ++operation) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      log_store_fixture fixture(seed);
      fixture.options.log_bytes_before_compaction = 350000;
      REQUIRE_FALSE(fixture.start());
      records content;
      for (int batch = 0; batch < 4; ++batch)
        fixture.must_commit(large_records(batch * 5, 5, value_bytes, content));
      // The next commit compacts some 400 KB.
      fixture.disk().crash_after = operation;
      records next = content;
      auto end = fixture.commit(large_records(20, 5, value_bytes, next));
      if (fixture.disk().crashed) ++crashes;
      REQUIRE(end.has_value() == !fixture.disk().crashed);
      fixture.world.kill("m", simulator::disk_loss::unsynced);
      fixture.disk().crashed = false;
      fixture.disk().crash_after = -1;
      REQUIRE_FALSE(fixture.start());
      auto found = fixture.all();
      REQUIRE((found == next || (!end && found == content)));
      // The recovered store accepts further commits.
      fixture.must_commit(large_records(30, 5, value_bytes, found));
      REQUIRE(fixture.all() == found);
    }
  }
  // A compaction writes seven chunks, syncs, and starts a log: a crash must have occurred at each of these.
  REQUIRE(crashes >= 5 * 10);
}

TEST_CASE("a value that is damaged on disk counts as absent until it is written again") {
  log_store_fixture fixture(3);
  REQUIRE_FALSE(fixture.start());
  records content;
  fixture.must_commit(large_records(0, 4, 100, content));
  auto* file = fixture.file_with(content["c/2"]);
  REQUIRE(file);
  file->current[file->current.find(content["c/2"]) + 50] ^= 0x01;
  REQUIRE_FALSE(fixture.store->read("c/2"));
  REQUIRE_FALSE(fixture.store->contains("c/2"));
  REQUIRE(fixture.logger.value("herontally_disk_damaged_records_total") == 1);
  auto without = content;
  without.erase("c/2");
  REQUIRE(fixture.all() == without);
  REQUIRE(fixture.store->record_count() == without.size());
  REQUIRE(fixture.store->checksums() == checksums_of(without));
  fixture.must_commit({{"c/2", content["c/2"]}});
  REQUIRE(fixture.all() == content);
  REQUIRE(fixture.store->checksums() == checksums_of(content));
  // That commit compacted the store, so that the damaged bytes are no longer in use.
  REQUIRE_FALSE(fixture.start());
  REQUIRE(fixture.all() == content);
}

TEST_CASE("a compaction leaves out a value that it finds damaged and writes a complete slot") {
  log_store_fixture fixture(4);
  fixture.options.log_bytes_before_compaction = 200000;
  REQUIRE_FALSE(fixture.start());
  records content;
  fixture.must_commit(large_records(0, 30, 10000, content));
  auto* file = fixture.file_with(content["c/7"]);
  REQUIRE(file);
  file->current[file->current.find(content["c/7"])] ^= 0x01;
  fixture.must_commit(large_records(30, 1, 10000, content));
  content.erase("c/7");
  REQUIRE(fixture.all() == content);
  REQUIRE_FALSE(fixture.start());
  REQUIRE(fixture.all() == content);
  REQUIRE(fixture.store->checksums() == checksums_of(content));
}

TEST_CASE("temporary disk failures lose and damage no records") {
  log_store_fixture fixture(5);
  fixture.options.log_bytes_before_compaction = 1000;
  REQUIRE_FALSE(fixture.start());
  records content;
  fixture.must_commit(large_records(0, 30, 100, content));
  fixture.disk().failing = true;
  REQUIRE_FALSE(fixture.store->read("c/1"));
  REQUIRE(fixture.store->contains("c/1"));
  auto next = content;
  auto more = large_records(30, 1, 100, next);
  auto end = fixture.commit(more);
  REQUIRE(end);
  REQUIRE(*end == storage::error::failed);
  fixture.disk().failing = false;
  REQUIRE(fixture.all() == content);
  fixture.must_commit(more);
  REQUIRE(fixture.all() == next);
  REQUIRE_FALSE(fixture.start());
  REQUIRE(fixture.all() == next);
}

TEST_CASE("a read failure during recovery is reported as failed, not as corruption") {
  log_store_fixture fixture(6);
  REQUIRE_FALSE(fixture.start());
  records content;
  fixture.must_commit(large_records(0, 3, 100, content));
  fixture.disk().failing = true;
  REQUIRE(fixture.start() == storage::error::failed);
  fixture.disk().failing = false;
  REQUIRE_FALSE(fixture.start());
  REQUIRE(fixture.all() == content);
}
