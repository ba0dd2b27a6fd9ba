// Cost of a proposer's search for the voters of its group while no node knows them.
#include <catch2/catch.hpp>

#include "consensus/proposer.h"
#include "simulator/world.h"

using namespace herontally;
using runtime::second;

namespace {

// Storage nodes of which none has a view, as after a power loss of all nodes until the voters are back.
struct stores_without_view {
  static constexpr int stores = 36;
  simulator::world world{1};
  logging::logger lines{"proxy", [](auto&, auto&) {}};
  std::vector<std::string> addresses;
  std::vector<rpc::endpoint> served;

  stores_without_view() {
    for (int number = 1; number <= stores; ++number) boot_store(number);
  }
  void boot_store(int number) {
    std::string name = "store-" + std::to_string(number);
    addresses.push_back("10.0.0." + std::to_string(number) + ":7000");
    rpc::endpoint endpoint(boot(name), name, logging::logger(name, [](auto&, auto&) {}));
    endpoint.listen(addresses.back());
    endpoint.serve<rpc::identify_request>([](rpc::identify_request) -> runtime::task<rpc::identify_reply> {
      co_return rpc::identify_reply{"voter", "", true};
    });
    served.push_back(endpoint);
  }
  runtime::handle boot(const std::string& name) {
    world.machine(name, "z");
    world.boot(name);
    return world.runtime_of(name);
  }
};

}  // namespace

// Guards against issue 46: after a power loss of all nodes, each change of each node asked all storage nodes
// again and again.
TEST_CASE(
    "FAULT: an outage of the voters costs a node no more bytes than its budget at the target fleet size") {
  constexpr int changes = 50, seconds = 5;
  constexpr double max_bytes_per_second = 7000;
  stores_without_view site;
  auto runtime = site.boot("proxy");
  consensus::proposer proposer(rpc::endpoint(runtime, "proxy", site.lines), "store");
  proposer.set_seeds([&site] { return site.addresses; });
  auto change = [](consensus::proposer by, std::string key, runtime::handle own) -> runtime::task<> {
    auto next = [](const std::optional<std::string>&) { return std::optional<std::string>("value"); };
    co_await by.change(std::move(key), next, own.now() + seconds * second);
  };
  for (int number = 0; number < changes; ++number)
    runtime.spawn(change(proposer, "key-" + std::to_string(number), runtime));
  site.world.run_for(seconds * second);
  auto bytes = site.lines.value("herontally_inner_asked_bytes_total") / seconds;
  INFO("bytes a second: " << bytes);
  REQUIRE(bytes > 0);
  REQUIRE(bytes <= max_bytes_per_second);
}
