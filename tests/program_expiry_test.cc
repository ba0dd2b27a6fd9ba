// Tests the removal of expired program data by storage nodes, and the disk syncs and consensus rounds that a
// turn costs.
#include <catch2/catch.hpp>

#include "ledger/program_ledger.h"
#include "replica_group_fixture.h"
#include "storage_node/expiry.h"

using namespace herontally;
using ledger::program_reservation;
using ledger::program_settlement;
using runtime::second;
using tests::group;

namespace {

ledger::turn_record make_turn(const std::string& id, const std::string& previous) {
  return {id, previous, std::string(300, 'i'), std::string(300, 'o'), std::int64_t{1} << 60};
}

}  // namespace

TEST_CASE(
    "idle programs and expired turns are removed from every storage node, and repair doesn't restore them") {
  group site(34);
  auto writer = site.begin();
  ledger::program_ledger programs(writer);
  for (auto& name : {"s1", "s2", "s3"})
    site.world.runtime_of(name).spawn(storage_node::expire_programs_forever(
        *site.voters[name], site.world.runtime_of(name), logging::logger(name, [](auto&, auto&) {})));
  std::int64_t wall = site.world.runtime_of("w").wall();
  auto early = make_turn("early", ""), late = make_turn("late", "");
  early.retained_until = wall + 60 * second;
  late.retained_until = wall + 400 * second;
  REQUIRE(site.run("w", programs.keep_turn(early, site.deadline("w", 2 * second))));
  REQUIRE(site.run("w", programs.keep_turn(late, site.deadline("w", 2 * second))));
  auto reserve = [&](const std::string& program, const std::string& turn) {
    return site.run("w", programs.reserve(program, turn, 10, 10, site.deadline("w", 2 * second)));
  };
  auto settle = [&](const std::string& program, const std::string& turn) {
    return site.run("w", programs.settle(program, turn, 10, site.deadline("w", 2 * second)));
  };
  REQUIRE(reserve("idle", "a") == program_reservation::granted);
  REQUIRE(settle("idle", "a") == program_settlement::settled);
  REQUIRE(reserve("running", "b") == program_reservation::granted);
  auto count_copies = [&](const std::string& record) {
    int holders = 0;
    for (auto& name : {"s1", "s2", "s3"})
      holders += static_cast<int>(site.voters[name]->records().records_with_prefix(record).size());
    return holders;
  };
  site.world.run_for(50 * second);
  REQUIRE(count_copies("c/turn/early") == 3);
  REQUIRE(reserve("idle", "c") == program_reservation::budget_spent);
  site.world.run_for(60 * second);
  REQUIRE(count_copies("c/turn/early") == 0);
  REQUIRE(count_copies("c/turn/late") == 3);
  REQUIRE(count_copies("k/program/idle") == 3);
  site.world.run_for(120 * second);
  REQUIRE(count_copies("k/program/idle") == 0);
  // A record with an open reservation is kept longer.
  REQUIRE(count_copies("k/program/running") == 3);
  REQUIRE(reserve("idle", "d") == program_reservation::granted);
  REQUIRE(reserve("idle", "e") == program_reservation::budget_spent);
}

TEST_CASE("concurrent turns share disk syncs and consensus rounds") {
  group site(35);
  for (auto& name : {"s1", "s2", "s3"}) site.world.find(name).disk.sync_time = 500;
  auto writer = site.begin();
  ledger::program_ledger programs(writer);
  auto turns = std::make_shared<int>(0);
  auto run_program = [](ledger::program_ledger programs, runtime::handle runtime, std::string name,
                        std::shared_ptr<int> turns) -> runtime::task<> {
    std::string previous;
    for (int each = 0; each < 40; ++each) {
      std::string id = name + "." + std::to_string(each);
      auto result = co_await programs.reserve(name, id, 1 << 30, 10, runtime.now() + 2 * second);
      CHECK(result == program_reservation::granted);
      co_await runtime.sleep(static_cast<runtime::microseconds>(runtime.draw(400000)));
      bool kept = co_await programs.keep_turn(make_turn(id, previous), runtime.now() + 2 * second);
      CHECK(kept);
      // The settlement runs in the background.
      runtime.spawn([](ledger::program_ledger programs, std::string name, std::string id,
                       runtime::microseconds deadline) -> runtime::task<> {
        co_await programs.settle(name, id, 5, deadline);
      }(programs, name, id, runtime.now() + 2 * second));
      previous = id;
      ++*turns;
    }
  };
  auto syncs_before = site.world.find("s1").disk.syncs;
  auto begin = site.world.now();
  for (int program = 0; program < 32; ++program)
    site.world.runtime_of("w").spawn(
        run_program(programs, site.world.runtime_of("w"), "p" + std::to_string(program), turns));
  REQUIRE(site.world.run_until([&] { return *turns == 32 * 40; }, 60 * second));
  double seconds = static_cast<double>(site.world.now() - begin) / static_cast<double>(second);
  double syncs = static_cast<double>(site.world.find("s1").disk.syncs - syncs_before);
  double rounds = writer.endpoint().logger().value("herontally_register_rounds_total");
  INFO(*turns / seconds << " turns/s, " << syncs / *turns << " syncs a turn, " << rounds / *turns
                        << " rounds a turn");
  REQUIRE(syncs / *turns < 1);
  REQUIRE(rounds / *turns < 2.2);
}
