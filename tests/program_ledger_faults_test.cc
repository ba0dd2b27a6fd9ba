// Tests the program ledger under faults: concurrent nodes, lost disks, replaced voters.
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

// Results that the nodes received for one program's turns, and the bounds that follow from them.
struct oracle {
  struct turn {
    std::int64_t max_tokens = 0, output_tokens = 0;
    bool may_be_charged = true, settled = false;
  };
  std::int64_t budget = 0, max_turn_tokens = 0;
  std::map<std::string, turn> turns;
  int granted = 0, refused = 0, uncertain = 0;
  // The most tokens that the ledger can have charged: confirmed settlements at their amount, other
  // reservations in full.
  std::int64_t max_charged() const {
    std::int64_t total = 0;
    for (auto& [id, each] : turns)
      if (each.may_be_charged) total += each.settled ? each.output_tokens : each.max_tokens;
    return total;
  }
  std::int64_t output_tokens() const {
    std::int64_t total = 0;
    for (auto& [id, each] : turns) total += each.output_tokens;
    return total;
  }
};

runtime::task<> run_turns(runtime::handle runtime, ledger::program_ledger programs,
                          std::shared_ptr<oracle> history, std::string name, int count) {
  for (int each = 0; each < count; ++each) {
    std::string id = name + "." + std::to_string(each);
    std::int64_t max_tokens = 1 + static_cast<std::int64_t>(runtime.draw(60));
    std::int64_t before = history->max_charged();
    history->turns[id].max_tokens = max_tokens;
    history->max_turn_tokens = std::max(history->max_turn_tokens, max_tokens);
    auto result =
        co_await programs.reserve("chat", id, history->budget, max_tokens, runtime.now() + 800 * millisecond);
    // Other turns may have been settled for less during this call, so the charge before the call counts as
    // well.
    std::int64_t others = std::max(before, history->max_charged() - max_tokens);
    if (result == program_reservation::budget_spent) {
      CHECK(others >= history->budget);
      ++history->refused;
    }
    history->turns[id].may_be_charged =
        result == program_reservation::granted || result == program_reservation::unknown;
    if (result == program_reservation::unknown) ++history->uncertain;
    if (result == program_reservation::granted) {
      ++history->granted;
      co_await runtime.sleep(static_cast<runtime::microseconds>(runtime.draw(50000)));
      std::int64_t output =
          static_cast<std::int64_t>(runtime.draw(static_cast<std::uint64_t>(max_tokens) + 1));
      history->turns[id].output_tokens = output;
      CHECK(history->output_tokens() <= history->budget + history->max_turn_tokens);
      // One turn in eight is never settled.
      if (runtime.draw(8) > 0) {
        auto settled = co_await programs.settle("chat", id, output, runtime.now() + 800 * millisecond);
        history->turns[id].settled = settled == program_settlement::settled;
      }
    }
    co_await runtime.sleep(static_cast<runtime::microseconds>(runtime.draw(100000)));
  }
}

void write_view_register(group& site, consensus::proposer writer) {
  consensus::view first = writer.current_view();
  auto write = [first](const std::optional<std::string>&) {
    return std::optional<std::string>(consensus::to_text(first));
  };
  site.run("w",
           writer.change(reconfiguration::view_register_key("store"), write, site.deadline("w", 3 * second)));
}

ledger::turn_record make_turn(const std::string& id, const std::string& previous) {
  return {id, previous, std::string(300, 'i'), std::string(300, 'o'), std::int64_t{1} << 60};
}

}  // namespace

TEST_CASE("concurrent nodes and failing storage nodes never exceed a budget by more than one turn") {
  int granted = 0, refused = 0, uncertain = 0;
  for (std::uint64_t seed = 1; seed <= 25; ++seed) {
    INFO("seed " << seed);
    group site(seed);
    auto first = site.begin();
    auto history = std::make_shared<oracle>();
    history->budget = 300;
    for (auto* node : {"wa", "wb"}) {
      auto writer = site.writer(node);
      writer.learn_view(first.current_view());
      ledger::program_ledger programs(writer);
      for (int task = 0; task < 4; ++task)
        site.world.runtime_of(node).spawn(
            run_turns(site.world.runtime_of(node), programs, history, node + std::to_string(task), 10));
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
    REQUIRE(history->output_tokens() <= history->budget + history->max_turn_tokens);
    granted += history->granted;
    refused += history->refused;
    uncertain += history->uncertain;
  }
  INFO(granted << " granted, " << refused << " refused, " << uncertain << " uncertain");
  REQUIRE(granted > 200);
  REQUIRE(refused > 200);
  REQUIRE(uncertain > 0);
}

TEST_CASE(
    "a stored turn is reported missing only by a majority, and a node that lost its disk doesn't count") {
  group site(31);
  auto writer = site.begin();
  ledger::program_ledger programs(writer);
  site.world.cut("w", "s3");
  for (auto& [id, previous] : std::vector<std::pair<std::string, std::string>>{{"a", ""}, {"b", "a"}})
    REQUIRE(site.run("w", programs.keep_turn(make_turn(id, previous), site.deadline("w", 2 * second))));
  auto other = site.writer("v");
  other.learn_view(writer.current_view());
  auto read = [&](const std::string& last) {
    return site.run("v", ledger::program_ledger(other).read_chain(last, site.deadline("v", second)));
  };
  // Immediately, before repair copies the turns to s3.
  site.world.kill("s1", simulator::disk_loss::all, true);
  site.world.kill("s2", simulator::disk_loss::none, true);
  site.boot("s1");
  for (auto* store : {"s1"}) site.world.cut(store, "s3");
  REQUIRE(read("b").status == ledger::chain_status::unreachable);
  REQUIRE(read("never").status == ledger::chain_status::unreachable);
  site.boot("s2");
  auto found = read("b");
  REQUIRE(found.status == ledger::chain_status::found);
  REQUIRE(found.turns.size() == 2);
  REQUIRE(read("never").status == ledger::chain_status::missing);
  // If a majority lacks an ancestor, the whole chain is missing.
  REQUIRE(site.run("w", programs.keep_turn(make_turn("d", "lost"), site.deadline("w", 2 * second))) == false);
  site.world.heal("w", "s3");
  REQUIRE(site.run("w", programs.keep_turn(make_turn("e", "lost"), site.deadline("w", 2 * second))));
  REQUIRE(read("e").status == ledger::chain_status::missing);
}

TEST_CASE("a turn stored while a voter is being replaced survives the loss of another storage node") {
  int stored_in_total = 0;
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    INFO("seed " << seed);
    group site(seed, 4);
    auto writer = site.begin();
    write_view_register(site, writer);
    auto stored = std::make_shared<std::vector<std::string>>();
    auto running = std::make_shared<bool>(true);
    auto other = site.writer("v");
    other.learn_view(writer.current_view());
    auto store_turns = [](ledger::program_ledger programs, runtime::handle runtime, std::string name,
                          std::shared_ptr<std::vector<std::string>> stored,
                          std::shared_ptr<bool> running) -> runtime::task<> {
      for (int each = 0; *running; ++each) {
        std::string id = name + std::to_string(each);
        bool durable = co_await programs.keep_turn(make_turn(id, ""), runtime.now() + 2 * second);
        if (durable) stored->push_back(id);
        co_await runtime.sleep(static_cast<runtime::microseconds>(runtime.draw(20000)));
      }
    };
    for (int task = 0; task < 4; ++task)
      site.world.runtime_of("v").spawn(store_turns(ledger::program_ledger(other), site.world.runtime_of("v"),
                                                   "t" + std::to_string(task) + ".", stored, running));
    site.world.run_for(300 * millisecond);
    std::string lost = "s" + std::to_string(1 + seed % 3);
    std::string replaced_id;
    for (auto& place : writer.current_view().voters)
      if (place.node == lost) replaced_id = place.id;
    if (seed % 2) site.world.kill(lost, simulator::disk_loss::all, true);
    // A voter that "w", the node that runs the replacement, can't reach keeps the old view, so its replies
    // could be stale.
    std::string isolated = lost == "s3" ? "s2" : "s3";
    if (seed % 6 == 0) site.world.cut("w", isolated);
    reconfiguration::replacement wanted{replaced_id, site.places({"s4"})[0]};
    auto moved = site.run(
        "w", reconfiguration::replace_voter(writer, writer, wanted, site.deadline("w", 40 * second)));
    site.world.heal_all();
    site.world.run_for(300 * millisecond);
    *running = false;
    site.world.run_for(3 * second);
    if (!std::holds_alternative<consensus::view>(moved)) {
      auto finished =
          site.run("w", reconfiguration::finish_move(writer, writer, site.deadline("w", 40 * second)));
      REQUIRE(finished);
    }
    site.world.kill(lost == "s1" ? "s2" : "s1", simulator::disk_loss::all, true);
    auto reader = site.writer("r");
    reader.learn_view(writer.current_view());
    ledger::program_ledger uncached(reader);
    for (auto& id : *stored) {
      INFO("turn " << id);
      auto found = site.run("r", uncached.read_chain(id, site.deadline("r", 5 * second)));
      REQUIRE(found.status == ledger::chain_status::found);
    }
    stored_in_total += static_cast<int>(stored->size());
  }
  INFO(stored_in_total << " stored");
  REQUIRE(stored_in_total > 500);
}

TEST_CASE("a voter refuses requests made under another view") {
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
