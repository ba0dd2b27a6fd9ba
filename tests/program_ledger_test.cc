// Tests the program ledger over simulated storage nodes: budgets, the stored record format, chains of stored
// turns.
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

program_reservation reserve(group& site, const std::string& node, ledger::program_ledger& programs,
                            const std::string& turn, std::int64_t budget, std::int64_t max_tokens) {
  return site.run(node, programs.reserve("chat", turn, budget, max_tokens, site.deadline(node, 2 * second)));
}
program_settlement settle(group& site, const std::string& node, ledger::program_ledger& programs,
                          const std::string& turn, std::int64_t tokens) {
  return site.run(node, programs.settle("chat", turn, tokens, site.deadline(node, 2 * second)));
}
bool store_turn(group& site, const std::string& node, ledger::program_ledger& programs, const std::string& id,
                const std::string& previous, const std::string& bytes = "x") {
  ledger::turn_record record{id, previous, "in " + bytes, "out " + bytes, 600 * second};
  return site.run(node, programs.keep_turn(record, site.deadline(node, 2 * second)));
}
chain_result read_chain(group& site, const std::string& node, ledger::program_ledger& programs,
                        const std::string& last) {
  return site.run(node, programs.read_chain(last, site.deadline(node, 2 * second)));
}
std::string ids(const chain_result& result) {
  std::string text;
  for (auto& turn : result.turns) text += turn.id + " ";
  return text;
}

}  // namespace

TEST_CASE(
    "a budget is exceeded by at most the turn granted last, and turns are refused only once it is used up") {
  group site(21);
  auto writer = site.begin();
  ledger::program_ledger programs(writer);
  REQUIRE(reserve(site, "w", programs, "a", 100, 60) == program_reservation::granted);
  REQUIRE(reserve(site, "w", programs, "b", 100, 60) == program_reservation::granted);
  REQUIRE(reserve(site, "w", programs, "c", 100, 60) == program_reservation::budget_spent);
  // The unused part of a settled reservation is available again.
  REQUIRE(settle(site, "w", programs, "b", 10) == program_settlement::settled);
  REQUIRE(reserve(site, "w", programs, "c", 100, 60) == program_reservation::granted);
  REQUIRE(reserve(site, "w", programs, "d", 100, 60) == program_reservation::budget_spent);
  // A repeated settlement, or one of a turn without an open reservation, changes nothing.
  REQUIRE(settle(site, "w", programs, "b", 10) == program_settlement::settled);
  REQUIRE(settle(site, "w", programs, "nobody", 1000) == program_settlement::settled);
  REQUIRE(reserve(site, "w", programs, "a", 100, 60) == program_reservation::granted);
  auto text = site.run("w", writer.read(ledger::program_key("chat"), site.deadline("w", second))).value;
  REQUIRE(text);
  auto record = ledger::program_record_from_text(*text);
  REQUIRE(record);
  REQUIRE(record->spent == 10);
  REQUIRE(record->reserved() == 120);
}

TEST_CASE("a program record is read back unchanged, whatever bytes its turn ids contain") {
  ledger::program_record record;
  record.spent = 7;
  record.last_changed = 1234567;
  record.open["a b%=\n\"\\+-"] = 5;
  record.settled = {"\xff\xfe", "plain", ""};
  auto read = ledger::program_record_from_text(ledger::to_text(record));
  REQUIRE(read);
  REQUIRE(read->spent == 7);
  REQUIRE(read->last_changed == 1234567);
  REQUIRE(read->open == record.open);
  REQUIRE(read->settled == record.settled);
  for (auto* text : {"", "2 1 1", "1 x 1", "1 1", "1 1 1 +5", "1 1 1 +x=a", "1 1 1 ?a", "1 1 1 "})
    REQUIRE_FALSE(ledger::program_record_from_text(text));
}

TEST_CASE("an unreadable program record is not overwritten, and no turn is granted under it") {
  group site(22);
  auto writer = site.begin();
  auto write_unreadable = [](const std::optional<std::string>&) -> std::optional<std::string> {
    return "2 cut";
  };
  site.run("w", writer.change(ledger::program_key("chat"), write_unreadable, site.deadline("w", 3 * second)));
  ledger::program_ledger programs(writer);
  REQUIRE(reserve(site, "w", programs, "a", 100, 60) == program_reservation::unreachable);
  auto stored = site.run("w", writer.read(ledger::program_key("chat"), site.deadline("w", 3 * second)));
  REQUIRE(stored.value == "2 cut");
}

TEST_CASE("a reservation of a node that was lost counts in full") {
  group site(23);
  site.begin();
  ledger::program_ledger first(site.writer("wa"));
  REQUIRE(reserve(site, "wa", first, "a", 100, 100) == program_reservation::granted);
  site.world.kill("wa", simulator::disk_loss::all, true);
  ledger::program_ledger second_node(site.writer("wb"));
  REQUIRE(reserve(site, "wb", second_node, "b", 100, 100) == program_reservation::budget_spent);
}

TEST_CASE("without a majority no turn is granted, refused or reported as missing") {
  group site(24);
  auto writer = site.begin();
  ledger::program_ledger programs(writer);
  REQUIRE(reserve(site, "w", programs, "a", 10, 10) == program_reservation::granted);
  REQUIRE(store_turn(site, "w", programs, "a", ""));
  auto other = site.writer("v");
  other.learn_view(writer.current_view());
  ledger::program_ledger uncached(other);
  site.world.kill("s1", simulator::disk_loss::none);
  site.world.kill("s2", simulator::disk_loss::none);
  auto result = reserve(site, "w", programs, "b", 10, 10);
  bool not_decided = result == program_reservation::unreachable || result == program_reservation::unknown;
  REQUIRE(not_decided);
  REQUIRE(reserve(site, "v", uncached, "c", 100, 10) == program_reservation::unreachable);
  REQUIRE(settle(site, "w", programs, "a", 1) == program_settlement::unreachable);
  REQUIRE(read_chain(site, "v", uncached, "nothing").status == ledger::chain_status::unreachable);
  // Stored turns are immutable, so one copy is enough, and the node's cached copy needs no storage node.
  REQUIRE(read_chain(site, "w", programs, "a").status == ledger::chain_status::found);
  REQUIRE_FALSE(store_turn(site, "w", programs, "b", "a"));
}

TEST_CASE("chains may branch and contain any bytes, and are read back in order") {
  group site(25);
  auto writer = site.begin();
  ledger::program_ledger programs(writer);
  std::string bytes;
  for (int byte = 0; byte < 256; ++byte) bytes.push_back(static_cast<char>(byte));
  std::string large(5u << 20, '\xc3');
  REQUIRE(store_turn(site, "w", programs, "t0", "", bytes));
  std::string previous = "t0";
  for (int each = 1; each <= 20; ++each) {
    std::string id = "t" + std::to_string(each);
    REQUIRE(store_turn(site, "w", programs, id, previous, bytes));
    previous = id;
  }
  REQUIRE(store_turn(site, "w", programs, "branch \xff", "t1", large));
  auto reader = site.writer("v");
  ledger::program_ledger uncached(reader);
  for (auto& each : {std::make_pair("w", &programs), std::make_pair("v", &uncached)}) {
    auto chain = read_chain(site, each.first, *each.second, "t20");
    REQUIRE(chain.status == ledger::chain_status::found);
    REQUIRE(chain.turns.size() == 21);
    REQUIRE(chain.turns.front().id == "t0");
    REQUIRE(chain.turns.front().input == "in " + bytes);
    REQUIRE(chain.turns.back().output == "out " + bytes);
    auto branch = read_chain(site, each.first, *each.second, "branch \xff");
    REQUIRE(ids(branch) == "t0 t1 branch \xff ");
    REQUIRE(branch.turns.back().output == "out " + large);
  }
  // Turns in this node's cache are read without asking a storage node.
  REQUIRE(writer.endpoint().logger().value("herontally_chain_fetches_total") == 0);
  REQUIRE(read_chain(site, "v", uncached, "never").status == ledger::chain_status::missing);
}
