// What a store finds again after torn logs, crashes inside a fold, and damaged values.
#include "log_store_fixture.h"

using namespace herontally;
using tests::log_store_fixture;
using tests::records;
using tests::sums_of;

namespace {

std::string value_of(int number, std::size_t bytes) {
  return std::to_string(number) + std::string(bytes, static_cast<char>('a' + number % 26));
}

// A few batches of small and large values and removals; the records after each batch, the first one for none.
std::vector<records> write_batches(log_store_fixture& setting, std::vector<std::size_t>& log_sizes) {
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
      std::string gone = "c/" + std::to_string(number - 1);
      next.erase(gone);
      changes.push_back({gone, std::nullopt});
    }
    setting.must_commit(changes);
    log_sizes.push_back(setting.disk().files["b.log1"].current.size());
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

TEST_CASE("a log that is torn at any byte gives back the whole batches before") {
  log_store_fixture setting(1);
  REQUIRE_FALSE(setting.start());
  std::vector<std::size_t> log_sizes;
  auto after = write_batches(setting, log_sizes);
  auto whole = setting.disk().files;
  for (std::size_t cut = 0; cut <= log_sizes.back(); ++cut) {
    setting.disk().files = whole;
    auto& log = setting.disk().files["b.log1"];
    log.current.resize(cut);
    log.synced = log.current;
    REQUIRE_FALSE(setting.start());
    std::size_t batches = 0;
    while (batches < log_sizes.size() && log_sizes[batches] <= cut) ++batches;
    REQUIRE(setting.all() == after[batches]);
    REQUIRE(setting.store->checksums() == sums_of(after[batches]));
  }
}

TEST_CASE("a last batch with any byte changed is a torn tail, an earlier one a loss") {
  log_store_fixture setting(2);
  REQUIRE_FALSE(setting.start());
  std::vector<std::size_t> log_sizes;
  auto after = write_batches(setting, log_sizes);
  auto whole = setting.disk().files;
  for (std::size_t place = 0; place < log_sizes.back(); ++place) {
    setting.disk().files = whole;
    auto& log = setting.disk().files["b.log1"];
    log.current[place] ^= 0x10;
    log.synced = log.current;
    auto fault = setting.start();
    bool in_last = place >= log_sizes[log_sizes.size() - 2];
    if (in_last)
      REQUIRE_FALSE(fault);
    else
      REQUIRE(fault == storage::error::corrupt);
    if (in_last) REQUIRE(setting.all() == after[after.size() - 2]);
  }
}

TEST_CASE("a crash at any write or sync of a fold of several pieces loses nothing") {
  constexpr std::size_t value_bytes = 20000;
  int crashes = 0;
  for (int operation = 1; operation <= 20; ++operation) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      log_store_fixture setting(seed);
      setting.choice.log_bytes_before_compaction = 350000;
      REQUIRE_FALSE(setting.start());
      records content;
      for (int batch = 0; batch < 4; ++batch)
        setting.must_commit(large_records(batch * 5, 5, value_bytes, content));
      // The next commit folds some 400 KB.
      setting.disk().crash_after = operation;
      records next = content;
      auto end = setting.commit(large_records(20, 5, value_bytes, next));
      if (setting.disk().crashed) ++crashes;
      REQUIRE(end.has_value() == !setting.disk().crashed);
      setting.world.kill("m", simulator::disk_loss::unsynced);
      setting.disk().crashed = false;
      setting.disk().crash_after = -1;
      REQUIRE_FALSE(setting.start());
      auto found = setting.all();
      REQUIRE((found == next || (!end && found == content)));
      // It goes on from there.
      setting.must_commit(large_records(30, 5, value_bytes, found));
      REQUIRE(setting.all() == found);
    }
  }
  // Seven pieces, the syncs, the log: each was met.
  REQUIRE(crashes >= 5 * 10);
}

TEST_CASE("a value that is damaged on disk counts as absent until it is written again") {
  log_store_fixture setting(3);
  REQUIRE_FALSE(setting.start());
  records content;
  setting.must_commit(large_records(0, 4, 100, content));
  auto* file = setting.file_with(content["c/2"]);
  REQUIRE(file);
  file->current[file->current.find(content["c/2"]) + 50] ^= 0x01;
  REQUIRE_FALSE(setting.store->read("c/2"));
  REQUIRE_FALSE(setting.store->contains("c/2"));
  REQUIRE(setting.logger.value("herontally_disk_damaged_records_total") == 1);
  auto without = content;
  without.erase("c/2");
  REQUIRE(setting.all() == without);
  REQUIRE(setting.store->record_count() == without.size());
  REQUIRE(setting.store->checksums() == sums_of(without));
  setting.must_commit({{"c/2", content["c/2"]}});
  REQUIRE(setting.all() == content);
  REQUIRE(setting.store->checksums() == sums_of(content));
  // The damaged place was left behind with that commit.
  REQUIRE_FALSE(setting.start());
  REQUIRE(setting.all() == content);
}

TEST_CASE("a fold leaves out a value that it finds damaged, and its slot is whole") {
  log_store_fixture setting(4);
  setting.choice.log_bytes_before_compaction = 200000;
  REQUIRE_FALSE(setting.start());
  records content;
  setting.must_commit(large_records(0, 30, 10000, content));
  auto* file = setting.file_with(content["c/7"]);
  REQUIRE(file);
  file->current[file->current.find(content["c/7"])] ^= 0x01;
  setting.must_commit(large_records(30, 1, 10000, content));
  content.erase("c/7");
  REQUIRE(setting.all() == content);
  REQUIRE_FALSE(setting.start());
  REQUIRE(setting.all() == content);
  REQUIRE(setting.store->checksums() == sums_of(content));
}

TEST_CASE("a disk that fails for a time damages nothing") {
  log_store_fixture setting(5);
  setting.choice.log_bytes_before_compaction = 1000;
  REQUIRE_FALSE(setting.start());
  records content;
  setting.must_commit(large_records(0, 30, 100, content));
  setting.disk().failing = true;
  REQUIRE_FALSE(setting.store->read("c/1"));
  REQUIRE(setting.store->contains("c/1"));
  auto next = content;
  auto more = large_records(30, 1, 100, next);
  auto end = setting.commit(more);
  REQUIRE(end);
  REQUIRE(*end == storage::error::failed);
  setting.disk().failing = false;
  REQUIRE(setting.all() == content);
  setting.must_commit(more);
  REQUIRE(setting.all() == next);
  REQUIRE_FALSE(setting.start());
  REQUIRE(setting.all() == next);
}

TEST_CASE("a disk that can't be read at the start is no corrupt one") {
  log_store_fixture setting(6);
  REQUIRE_FALSE(setting.start());
  records content;
  setting.must_commit(large_records(0, 3, 100, content));
  setting.disk().failing = true;
  REQUIRE(setting.start() == storage::error::failed);
  setting.disk().failing = false;
  REQUIRE_FALSE(setting.start());
  REQUIRE(setting.all() == content);
}
