// Simulated group of storage machines and proposers on machines of their own, for the tests of registers and
// ledgers.
#pragma once
#include <catch2/catch.hpp>

#include "reconfiguration/view_install.h"
#include "replication/voter.h"
#include "simulator/world.h"
#include "storage_node/expiry.h"

namespace herontally::tests {

using runtime::second;

// A voter group "store": machines "s1" to "s3" are its first voters, further ones are spares.
struct group {
  simulator::world world;
  std::map<std::string, std::shared_ptr<replication::voter>> voters;
  std::map<std::string, logging::logger> loggers;  // by machine, since its last boot; for its metrics
  std::vector<std::string> names;
  std::int64_t limit_bytes = 256 << 20;
  explicit group(std::uint64_t seed, int count = 3, std::int64_t limit = 256 << 20)
      : world(seed), limit_bytes(limit) {
    for (int number = 1; number <= count; ++number) boot("s" + std::to_string(number));
  }
  // The address of a storage machine's voter.
  static std::string address(const std::string& name) { return "10.0.0." + name.substr(1) + ":7000"; }
  // Starts a storage machine's voter and its repair.
  void boot(const std::string& name) {
    world.machine(name, "z");
    world.boot(name);
    auto runtime = world.runtime_of(name);
    logging::logger logger(name, [](auto&, auto&) {});
    loggers.insert_or_assign(name, logger);
    rpc::endpoint endpoint(runtime, name, logger);
    endpoint.listen(address(name));
    replication::voter_options options;
    options.group = "store";
    options.bucket_count = 2;
    options.limit_bytes = limit_bytes;
    options.attribute = storage_node::retention_end_attribute;
    auto voter = std::make_shared<replication::voter>(endpoint, options);
    voters[name] = voter;
    runtime.spawn([](std::shared_ptr<replication::voter> opened) -> runtime::task<> {
      co_await opened->open();
    }(voter));
    runtime.spawn([](std::shared_ptr<replication::voter> repaired) -> runtime::task<> {
      co_await repaired->repair_forever();
    }(voter));
    world.run_for(10 * runtime::millisecond);
  }
  // A proposer without a view on machine `name`, which is started if it is down.
  consensus::proposer writer(const std::string& name) {
    world.machine(name, "z");
    if (!world.find(name).up) world.boot(name);
    rpc::endpoint endpoint(world.runtime_of(name), name, logging::logger(name, [](auto&, auto&) {}));
    consensus::proposer proposer(endpoint, "store");
    proposer.set_seeds([] {
      return std::vector<std::string>{address("s1"), address("s2"), address("s3"), address("s4")};
    });
    return proposer;
  }
  // The voters on these storage machines, as they are named in a view.
  std::vector<consensus::voter_info> places(std::vector<std::string> machines) {
    std::vector<consensus::voter_info> list;
    for (auto& name : machines) list.push_back({voters[name]->id(), address(name), name, "z"});
    return list;
  }
  // Runs a task on a machine and returns its result; fails the test after 60 simulated seconds.
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
  // `span` from now, by the machine's clock.
  runtime::microseconds deadline(const std::string& machine, runtime::microseconds span) {
    return world.runtime_of(machine).now() + span;
  }
  // Installs the first view, with voters s1 to s3, and returns a proposer on machine "w" that knows it.
  consensus::proposer begin() {
    auto first = writer("w");
    auto begun =
        run("w", reconfiguration::bootstrap_group(first.endpoint(), "store", places({"s1", "s2", "s3"}),
                                                  deadline("w", 5 * second)));
    REQUIRE(std::holds_alternative<consensus::view>(begun));
    first.learn_view(std::get<consensus::view>(begun));
    return first;
  }
};

}  // namespace herontally::tests
