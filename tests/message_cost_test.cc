// Heap allocations per message. A large fleet spends most of its CPU time on periodic messages.
#include <catch2/catch.hpp>

#include "heap_meter.h"
#include "rpc/endpoint.h"
#include "simulator/world.h"

using namespace herontally;
using runtime::second;

namespace {

std::vector<rpc::member> make_members(std::size_t count) {
  std::vector<rpc::member> members;
  for (std::size_t index = 0; index < count; ++index)
    members.push_back({"agent-" + std::to_string(index), rpc::node_role::agent, "zone-a", "10.0.0.1:7000",
                       "10.0.0.1:8000", 1700000000000000, rpc::member_status::alive, 3});
  return members;
}

struct two_nodes {
  simulator::world world{1};
  rpc::endpoint client, server;

  two_nodes() : client(boot("a"), "a", silent_logger("a")), server(boot("b"), "b", silent_logger("b")) {
    server.listen("10.0.0.2:7000");
    server.serve<rpc::probe_request>([](rpc::probe_request request) -> runtime::task<rpc::probe_reply> {
      rpc::probe_reply reply;
      reply.checksum = static_cast<std::int64_t>(request.updates.size());
      co_return reply;
    });
  }
  static logging::logger silent_logger(const std::string& name) {
    return logging::logger(name, [](auto&, auto&) {});
  }
  runtime::handle boot(const std::string& name) {
    world.machine(name, "z");
    world.boot(name);
    return world.runtime_of(name);
  }
  // Heap allocations for sending, delivering and answering a message with `count` membership entries.
  std::size_t allocations_for_members(std::size_t count) {
    std::optional<std::int64_t> received;
    auto send = [](rpc::endpoint from, rpc::probe_request request,
                   std::optional<std::int64_t>* out) -> runtime::task<> {
      auto result = co_await from.call("10.0.0.2:7000", std::move(request), second);
      if (auto* reply = rpc::reply_of(result)) *out = reply->checksum;
    };
    rpc::probe_request request{"", false, make_members(count), 1};
    auto before = tests::current_heap_usage().allocations;
    world.runtime_of("a").spawn(send(client, std::move(request), &received));
    REQUIRE(world.run_until([&] { return received.has_value(); }, 2 * second));
    REQUIRE(*received == static_cast<std::int64_t>(count));
    return tests::current_heap_usage().allocations - before;
  }
};

}  // namespace

// Regression test for issue 46: simulated days of a large site were abandoned because of their CPU time.
TEST_CASE("FAULT: an entry of a message costs no more allocations than one per string on each side") {
  constexpr std::size_t members = 100, strings_per_member = 7, sides = 2;
#ifdef __SANITIZE_ADDRESS__
  // Here the meter also counts avro-c's allocations for reading a string: its characters and their owner.
  constexpr std::size_t avro_allocations = 2 * strings_per_member;
#else
  constexpr std::size_t avro_allocations = 0;
#endif
  two_nodes nodes;
  nodes.allocations_for_members(members);
  auto empty = nodes.allocations_for_members(0), full = nodes.allocations_for_members(members);
  auto per_member = static_cast<double>(full - empty) / members;
  INFO("allocations per entry: " << per_member);
  REQUIRE(per_member <= strings_per_member * sides + avro_allocations);
}
