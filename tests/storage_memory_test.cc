// Memory use of a log store with a full day's records on real files: what it holds permanently, and the peak
// during compaction and recovery.
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
// Bytes of an index entry with its key, rounded up as by the allocator.
constexpr std::size_t max_bytes_per_record = 224;
// Temporary bytes: a batch while it is made, packed and checked, a chunk of a compaction, and the read
// buffer.
constexpr std::size_t max_temporary_bytes = 512 << 10;

struct temporary_folder {
  std::string path;
  temporary_folder() {
    char name[] = "/tmp/herontally-disk-XXXXXX";
    path = mkdtemp(name);
  }
  ~temporary_folder() { std::filesystem::remove_all(path); }
};

storage::log_store_options day_store_options() {
  storage::log_store_options options;
  options.prefix = "b";
  options.limit_bytes = 350 << 20;
  options.log_bytes_before_compaction = 4 << 20;
  options.in_memory = [](const std::string& key, std::size_t) { return key[0] != 'c'; };
  return options;
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

TEST_CASE("a full day's values stay on disk, and compaction and recovery use little memory") {
  temporary_folder folder;
  logging::logger logger("m", [](auto&, auto&) {});
  constexpr std::size_t max_live_bytes = record_total * max_bytes_per_record;
  {
    runtime::event_loop process(folder.path);
    auto before = tests::current_heap_usage().live;
    storage::log_store store(process.runtime(), day_store_options(), logger);
    REQUIRE_FALSE(store.recover());
    int written = 0;
    tests::reset_heap_peak();
    process.runtime().spawn(write_day(&process, &store, &written));
    process.run();
    REQUIRE(written == record_total);
    REQUIRE(logger.value("herontally_disk_compactions_total") > 5);
    auto use = tests::current_heap_usage();
    INFO("live " << use.live - before << ", peak " << use.peak - before);
    REQUIRE(use.live - before < max_live_bytes);
    REQUIRE(use.peak - before < max_live_bytes + max_temporary_bytes);
  }
  runtime::event_loop process(folder.path);
  auto before = tests::current_heap_usage().live;
  tests::reset_heap_peak();
  storage::log_store store(process.runtime(), day_store_options(), logger);
  REQUIRE_FALSE(store.recover());
  auto use = tests::current_heap_usage();
  INFO("live " << use.live - before << ", peak " << use.peak - before);
  REQUIRE(use.live - before < max_live_bytes);
  REQUIRE(use.peak - before < max_live_bytes + max_temporary_bytes);
  REQUIRE(store.record_count() == record_total);
  for (int number = 0; number < record_total; number += 997)
    REQUIRE(store.read(key_of(number)) == value_of(number));
}
