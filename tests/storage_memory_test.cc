// A store of the size of a full day on real files: what it holds in memory, and what a fold and a start need.
#include <stdlib.h>

#include <catch2/catch.hpp>
#include <filesystem>

#include "heap_meter.h"
#include "runtime/event_loop.h"
#include "storage/log_store.h"

using namespace herontally;

namespace {

constexpr int record_total = 40000, records_in_batch = 100;
constexpr std::size_t value_bytes = 1024;
// An index entry with its key, as the allocator rounds them.
constexpr std::size_t most_for_record = 224;
// A batch as it is made, packed and checked, a piece of a fold, and the reader's window.
constexpr std::size_t most_for_work = 512 << 10;

struct temporary_folder {
  std::string path;
  temporary_folder() {
    char name[] = "/tmp/herontally-disk-XXXXXX";
    path = mkdtemp(name);
  }
  ~temporary_folder() { std::filesystem::remove_all(path); }
};

storage::log_store_options day_store() {
  storage::log_store_options choice;
  choice.prefix = "b";
  choice.limit_bytes = 350 << 20;
  choice.log_bytes_before_compaction = 4 << 20;
  choice.in_memory = [](const std::string& key, std::size_t) { return key[0] != 'c'; };
  return choice;
}

std::string key_of(int number) { return "c/turn/0123456789abcdef0123456789abcdef" + std::to_string(number); }
std::string value_of(int number) {
  return std::string(value_bytes, static_cast<char>('a' + number % 26)) + std::to_string(number);
}

runtime::task<> write_day(runtime::event_loop* process, storage::log_store* store, int* written) {
  for (int first = 0; first < record_total; first += records_in_batch) {
    std::vector<storage::change> changes;
    for (int number = first; number < first + records_in_batch; ++number)
      changes.push_back({key_of(number), value_of(number)});
    auto failed = co_await store->commit(std::move(changes), true);
    if (failed) break;
    *written += records_in_batch;
  }
  process->stop();
}

}  // namespace

TEST_CASE("the values of a full day stay on disk, and a fold and a start need little memory") {
  temporary_folder folder;
  logging::logger logger("m", [](auto&, auto&) {});
  constexpr std::size_t most_live = record_total * most_for_record;
  {
    runtime::event_loop process(folder.path);
    auto before = tests::heap_now().live;
    storage::log_store store(process.runtime(), day_store(), logger);
    REQUIRE_FALSE(store.recover());
    int written = 0;
    tests::reset_heap_peak();
    process.runtime().spawn(write_day(&process, &store, &written));
    process.run();
    REQUIRE(written == record_total);
    REQUIRE(logger.value("herontally_disk_compactions_total") > 5);
    auto use = tests::heap_now();
    INFO("live " << use.live - before << ", peak " << use.peak - before);
    REQUIRE(use.live - before < most_live);
    REQUIRE(use.peak - before < most_live + most_for_work);
  }
  runtime::event_loop process(folder.path);
  auto before = tests::heap_now().live;
  tests::reset_heap_peak();
  storage::log_store store(process.runtime(), day_store(), logger);
  REQUIRE_FALSE(store.recover());
  auto use = tests::heap_now();
  INFO("live " << use.live - before << ", peak " << use.peak - before);
  REQUIRE(use.live - before < most_live);
  REQUIRE(use.peak - before < most_live + most_for_work);
  REQUIRE(store.record_count() == record_total);
  for (int number = 0; number < record_total; number += 997)
    REQUIRE(store.read(key_of(number)) == value_of(number));
}
