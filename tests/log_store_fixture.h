// A log store on a simulated disk whose bytes a test can change. For the tests of src/storage/.
#pragma once
#include <catch2/catch.hpp>

#include "simulator/world.h"
#include "storage/log_store.h"

namespace herontally::tests {

using records = std::map<std::string, std::string>;

// The fingerprint of a record. It depends on key and value alone, so that two stores with the same records
// have the same checksums.
inline std::uint64_t hash_of_record(const std::string& key, std::string_view value) {
  return std::hash<std::string>()(key + "=" + std::string(value));
}

struct log_store_fixture {
  simulator::world world;
  storage::log_store_options options;
  logging::logger logger{"m", [](auto&, auto&) {}};
  std::optional<storage::log_store> store;

  explicit log_store_fixture(std::uint64_t seed) : world(seed) {
    options.prefix = "b";
    options.fingerprint = hash_of_record;
    options.in_memory = [](const std::string&, std::size_t bytes) { return bytes < 16; };
    world.machine("m", "z");
  }
  simulator::sim_disk& disk() { return world.find("m").disk; }
  // Starts a new process on the disk's current contents; returns the result of `recover`.
  std::optional<storage::error> start() {
    store.reset();
    if (world.find("m").up) world.kill("m", simulator::disk_loss::none);
    world.boot("m");
    store.emplace(world.runtime_of("m"), options, logger);
    return store->recover();
  }
  // The result of the commit; std::nullopt if it doesn't end within a second, as after a simulated loss of
  // power.
  std::optional<std::optional<storage::error>> commit(std::vector<storage::change> changes) {
    auto result = std::make_shared<std::optional<std::optional<storage::error>>>();
    auto work = [](storage::log_store* store, std::vector<storage::change> changes,
                   std::shared_ptr<std::optional<std::optional<storage::error>>> result) -> runtime::task<> {
      auto end = co_await store->commit(std::move(changes), true);
      result->emplace(end);
    };
    world.runtime_of("m").spawn(work(&*store, std::move(changes), result));
    world.run_until([&] { return result->has_value(); }, runtime::second);
    return *result;
  }
  void must_commit(std::vector<storage::change> changes) {
    auto end = commit(std::move(changes));
    REQUIRE(end);
    REQUIRE_FALSE(*end);
  }
  // All records that can be read.
  records all() const {
    std::vector<std::string> keys;
    store->list_from("", [&keys](const storage::listed_record& record) {
      keys.push_back(record.key);
      return true;
    });
    records found;
    for (auto& key : keys) {
      auto value = store->read(key);
      if (value) found[key] = *value;
    }
    return found;
  }
  // The first file whose current contents include this text; nullptr if there is none.
  simulator::sim_file* file_with(const std::string& text) {
    for (auto& [name, file] : disk().files)
      if (file.current.find(text) != std::string::npos) return &file;
    return nullptr;
  }
};

// The range checksums of a store with these records.
inline std::vector<std::uint64_t> checksums_of(const records& content) {
  std::vector<std::uint64_t> checksums(storage::range_count, 0);
  for (auto& [key, value] : content) checksums[storage::range_of(key)] ^= hash_of_record(key, value);
  return checksums;
}

}  // namespace herontally::tests
