// The ledger of branching programs under faults: racing nodes, lost disks, moving voters.
#include <catch2/catch.hpp>

#include "ledger/program_record.h"
#include "replica_group_fixture.h"

using namespace herontally;
using ledger::chain_result;
using ledger::program_reservation;
using ledger::program_settlement;
using runtime::millisecond;
using runtime::second;
using tests::group;

namespace {

// What every node was told of one program's turns.
struct oracle {
  struct turn {
    std::int64_t most = 0, handed_out = 0;
    bool may_be_reserved = true, settled = false;
  };
  std::int64_t budget = 0, most_of_one = 0;
  std::map<std::string, turn> turns;
  int granted = 0, spent = 0, uncertain = 0;
  // The most that can be taken up, settlements that were sure at this time at what they were.
  std::int64_t taken_up() const {
    std::int64_t total = 0;
    for (auto& [id, each] : turns)
      if (each.may_be_reserved) total += each.settled ? each.handed_out : each.most;
    return total;
  }
  std::int64_t handed_out() const {
    std::int64_t total = 0;
    for (auto& [id, each] : turns) total += each.handed_out;
    return total;
  }
};

runtime::task<> run_turns(runtime::handle runtime, ledger::program_ledger programs,
                          std::shared_ptr<oracle> known, std::string name, int count) {
  for (int each = 0; each < count; ++each) {
    std::string id = name + "." + std::to_string(each);
    std::int64_t most = 1 + static_cast<std::int64_t>(runtime.draw(60));
    std::int64_t before = known->taken_up();
    known->turns[id].most = most;
    known->most_of_one = std::max(known->most_of_one, most);
    auto end = co_await programs.reserve("chat", id, known->budget, most, runtime.now() + 800 * millisecond);
    // Others may have settled less while this one was under way: what was taken up before counts as well.
    std::int64_t others = std::max(before, known->taken_up() - most);
    if (end == program_reservation::budget_spent) {
      CHECK(others >= known->budget);
      ++known->spent;
    }
    known->turns[id].may_be_reserved =
        end == program_reservation::granted || end == program_reservation::unknown;
    if (end == program_reservation::unknown) ++known->uncertain;
    if (end == program_reservation::granted) {
      ++known->granted;
      co_await runtime.sleep(static_cast<runtime::microseconds>(runtime.draw(50000)));
      std::int64_t went_out = static_cast<std::int64_t>(runtime.draw(static_cast<std::uint64_t>(most) + 1));
      known->turns[id].handed_out = went_out;
      CHECK(known->handed_out() <= known->budget + known->most_of_one);
      // Some nodes forget.
      if (runtime.draw(8) > 0) {
        auto settled = co_await programs.settle("chat", id, went_out, runtime.now() + 800 * millisecond);
        known->turns[id].settled = settled == program_settlement::settled;
      }
    }
    co_await runtime.sleep(static_cast<runtime::microseconds>(runtime.draw(100000)));
  }
}

void lay_view(group& site, consensus::proposer writer) {
  consensus::view first = writer.current_view();
  auto lay = [first](const std::optional<std::string>&) {
    return std::optional<std::string>(consensus::to_text(first));
  };
  site.run("w",
           writer.change(reconfiguration::view_register_key("store"), lay, site.deadline("w", 3 * second)));
}

ledger::turn_record record_of(const std::string& id, const std::string& previous) {
  return {id, previous, std::string(300, 'i'), std::string(300, 'o'), std::int64_t{1} << 60};
}

}  // namespace

TEST_CASE("racing nodes and failing stores never overshoot a budget by more than a turn") {
  int granted = 0, spent = 0, uncertain = 0;
  for (std::uint64_t seed = 1; seed <= 25; ++seed) {
    INFO("seed " << seed);
    group site(seed);
    auto first = site.begin();
    auto known = std::make_shared<oracle>();
    known->budget = 300;
    for (auto* node : {"wa", "wb"}) {
      auto writer = site.writer(node);
      writer.learn(first.current_view());
      ledger::program_ledger programs(writer);
      for (int task = 0; task < 4; ++task)
        site.world.runtime_of(node).spawn(
            run_turns(site.world.runtime_of(node), programs, known, node + std::to_string(task), 10));
    }
    for (int fault = 0; fault < 5; ++fault) {
      site.world.run_for(static_cast<runtime::microseconds>(site.world.draw(300000)));
      auto victim = "s" + std::to_string(1 + site.world.draw(3));
      std::string node = site.world.draw(2) ? "wa" : "wb";
      bool kill = site.world.draw(2) > 0;
      if (kill)
        site.world.kill(victim, simulator::disk_loss::unsynced, true);
      else
        site.world.cut(victim, node);
      site.world.run_for(static_cast<runtime::microseconds>(site.world.draw(900000)));
      if (kill)
        site.boot(victim);
      else
        site.world.heal(victim, node);
    }
    site.world.run_for(30 * second);
    REQUIRE(known->handed_out() <= known->budget + known->most_of_one);
    granted += known->granted;
    spent += known->spent;
    uncertain += known->uncertain;
  }
  INFO(granted << " granted, " << spent << " spent, " << uncertain << " uncertain");
  REQUIRE(granted > 200);
  REQUIRE(spent > 200);
  REQUIRE(uncertain > 0);
}

TEST_CASE("a kept turn is missing only by a majority's word: a store that lost its disk has none") {
  group site(31);
  auto writer = site.begin();
  ledger::program_ledger programs(writer);
  site.world.cut("w", "s3");
  for (auto& [id, previous] : std::vector<std::pair<std::string, std::string>>{{"a", ""}, {"b", "a"}})
    REQUIRE(site.run("w", programs.keep_turn(record_of(id, previous), site.deadline("w", 2 * second))));
  auto other = site.writer("v");
  other.learn(writer.current_view());
  auto look = [&](const std::string& last) {
    return site.run("v", ledger::program_ledger(other).read_chain(last, site.deadline("v", second)));
  };
  // At once, before repair brings the third what it missed.
  site.world.kill("s1", simulator::disk_loss::all, true);
  site.world.kill("s2", simulator::disk_loss::none, true);
  site.boot("s1");
  for (auto* store : {"s1"}) site.world.cut(store, "s3");
  REQUIRE(look("b").status == ledger::chain_status::unreachable);
  REQUIRE(look("never").status == ledger::chain_status::unreachable);
  site.boot("s2");
  auto found = look("b");
  REQUIRE(found.status == ledger::chain_status::found);
  REQUIRE(found.turns.size() == 2);
  REQUIRE(look("never").status == ledger::chain_status::missing);
  // An ancestor that no majority has makes the whole chain missing.
  REQUIRE(site.run("w", programs.keep_turn(record_of("d", "lost"), site.deadline("w", 2 * second))) == false);
  site.world.heal("w", "s3");
  REQUIRE(site.run("w", programs.keep_turn(record_of("e", "lost"), site.deadline("w", 2 * second))));
  REQUIRE(look("e").status == ledger::chain_status::missing);
}

TEST_CASE("a turn that was kept while a voter was replaced survives the next loss") {
  int kept_in_all = 0;
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    INFO("seed " << seed);
    group site(seed, 4);
    auto writer = site.begin();
    lay_view(site, writer);
    auto kept = std::make_shared<std::vector<std::string>>();
    auto going = std::make_shared<bool>(true);
    auto other = site.writer("v");
    other.learn(writer.current_view());
    auto keep_on = [](ledger::program_ledger programs, runtime::handle runtime, std::string name,
                      std::shared_ptr<std::vector<std::string>> kept,
                      std::shared_ptr<bool> going) -> runtime::task<> {
      for (int each = 0; *going; ++each) {
        std::string id = name + std::to_string(each);
        bool lasting = co_await programs.keep_turn(record_of(id, ""), runtime.now() + 2 * second);
        if (lasting) kept->push_back(id);
        co_await runtime.sleep(static_cast<runtime::microseconds>(runtime.draw(20000)));
      }
    };
    for (int task = 0; task < 4; ++task)
      site.world.runtime_of("v").spawn(keep_on(ledger::program_ledger(other), site.world.runtime_of("v"),
                                               "t" + std::to_string(task) + ".", kept, going));
    site.world.run_for(300 * millisecond);
    std::string lost = "s" + std::to_string(1 + seed % 3);
    std::string leaving;
    for (auto& place : writer.current_view().voters)
      if (place.node == lost) leaving = place.id;
    if (seed % 2) site.world.kill(lost, simulator::disk_loss::all, true);
    // A voter that doesn't hear of the move from its maker is the one that a stale word could come from.
    std::string deaf = lost == "s3" ? "s2" : "s3";
    if (seed % 6 == 0) site.world.cut("w", deaf);
    reconfiguration::replacement wanted{leaving, site.places({"s4"})[0]};
    auto moved = site.run(
        "w", reconfiguration::replace_voter(writer, writer, wanted, site.deadline("w", 40 * second)));
    site.world.heal_all();
    site.world.run_for(300 * millisecond);
    *going = false;
    site.world.run_for(3 * second);
    if (!std::holds_alternative<consensus::view>(moved)) {
      auto finished =
          site.run("w", reconfiguration::finish_move(writer, writer, site.deadline("w", 40 * second)));
      REQUIRE(finished);
    }
    site.world.kill(lost == "s1" ? "s2" : "s1", simulator::disk_loss::all, true);
    auto reader = site.writer("r");
    reader.learn(writer.current_view());
    ledger::program_ledger cold(reader);
    for (auto& id : *kept) {
      INFO("turn " << id);
      auto found = site.run("r", cold.read_chain(id, site.deadline("r", 5 * second)));
      REQUIRE(found.status == ledger::chain_status::found);
    }
    kept_in_all += static_cast<int>(kept->size());
  }
  INFO(kept_in_all << " kept");
  REQUIRE(kept_in_all > 500);
}

TEST_CASE("a put of another view is refused by a voter") {
  group site(33);
  auto writer = site.begin();
  auto place = writer.current_view().voters[0];
  auto put = [&](std::int64_t number) {
    rpc::put_content_request request{place.id, "turn/x", "{}\n", false, number};
    auto answer = site.run("w", writer.endpoint().call(place.address, request, second));
    return std::get<rpc::put_content_reply>(answer).status;
  };
  REQUIRE(put(writer.current_view().number + 1) == rpc::reply_status::view_mismatch);
  REQUIRE(put(writer.current_view().number) == rpc::reply_status::ok);
  auto list = [&](std::int64_t number) {
    rpc::list_records_request request{place.id, "", 10, -1, number};
    auto answer = site.run("w", writer.endpoint().call(place.address, request, second));
    return std::get<rpc::list_records_reply>(answer).status;
  };
  REQUIRE(list(writer.current_view().number + 1) == rpc::reply_status::view_mismatch);
  REQUIRE(list(writer.current_view().number) == rpc::reply_status::ok);
}
