// Simulated storage machines and writers, for the tests of the register and the ledger.
#pragma once
#include <catch2/catch.hpp>

#include "reconfiguration/view_install.h"
#include "replication/voter.h"
#include "simulator/world.h"
#include "storage_node/expiry.h"

namespace herontally::tests {

using runtime::second;

// Three storage machines (and spares), and writers that are machines of their own.
struct group {
  simulator::world world;
  std::map<std::string, std::shared_ptr<replication::voter>> voters;
  std::map<std::string, logging::logger> loggers;  // of each machine's newest life, for its metrics
  std::vector<std::string> names;
  std::int64_t limit_bytes = 256 << 20;
  explicit group(std::uint64_t seed, int count = 3, std::int64_t limit = 256 << 20)
      : world(seed), limit_bytes(limit) {
    for (int number = 1; number <= count; ++number) boot("s" + std::to_string(number));
  }
  static std::string address(const std::string& name) { return "10.0.0." + name.substr(1) + ":7000"; }
  void boot(const std::string& name) {
    world.machine(name, "z");
    world.boot(name);
    auto runtime = world.runtime_of(name);
    logging::logger logger(name, [](auto&, auto&) {});
    loggers.insert_or_assign(name, logger);
    rpc::endpoint endpoint(runtime, name, logger);
    endpoint.listen(address(name));
    replication::voter_options choice;
    choice.group = "store";
    choice.bucket_count = 2;
    choice.limit_bytes = limit_bytes;
    choice.attribute = storage_node::kept_until_attribute;
    auto voter = std::make_shared<replication::voter>(endpoint, choice);
    voters[name] = voter;
    runtime.spawn([](std::shared_ptr<replication::voter> opened) -> runtime::task<> {
      co_await opened->open();
    }(voter));
    runtime.spawn([](std::shared_ptr<replication::voter> mended) -> runtime::task<> {
      co_await mended->repair_forever();
    }(voter));
    world.run_for(10 * runtime::millisecond);
  }
  consensus::proposer writer(const std::string& name) {
    world.machine(name, "z");
    if (!world.find(name).up) world.boot(name);
    rpc::endpoint endpoint(world.runtime_of(name), name, logging::logger(name, [](auto&, auto&) {}));
    consensus::proposer made(endpoint, "store");
    made.set_seeds([] {
      return std::vector<std::string>{address("s1"), address("s2"), address("s3"), address("s4")};
    });
    return made;
  }
  std::vector<consensus::voter_info> places(std::vector<std::string> which) {
    std::vector<consensus::voter_info> list;
    for (auto& name : which) list.push_back({voters[name]->id(), address(name), name, "z"});
    return list;
  }
  template <class T>
  T run(const std::string& machine, runtime::task<T> work) {
    auto result = std::make_shared<std::optional<T>>();
    world.runtime_of(machine).spawn(
        [](runtime::task<T> inner, std::shared_ptr<std::optional<T>> out) -> runtime::task<> {
          out->emplace(co_await std::move(inner));
        }(std::move(work), result));
    REQUIRE(world.run_until([&] { return result->has_value(); }, 60 * second));
    return std::move(**result);
  }
  runtime::microseconds deadline(const std::string& machine, runtime::microseconds span) {
    return world.runtime_of(machine).now() + span;
  }
  consensus::proposer begin() {
    auto first = writer("w");
    auto begun = run("w", reconfiguration::begin_group(first.endpoint(), "store", places({"s1", "s2", "s3"}),
                                                       deadline("w", 5 * second)));
    REQUIRE(std::holds_alternative<consensus::view>(begun));
    first.learn(std::get<consensus::view>(begun));
    return first;
  }
};

}  // namespace herontally::tests
