// The ledger of branching programs over simulated storage machines: budgets, kept turns, expiry.
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
                            const std::string& turn, std::int64_t budget, std::int64_t most) {
  return site.run(node, programs.reserve("chat", turn, budget, most, site.deadline(node, 2 * second)));
}
program_settlement settle(group& site, const std::string& node, ledger::program_ledger& programs,
                          const std::string& turn, std::int64_t tokens) {
  return site.run(node, programs.settle("chat", turn, tokens, site.deadline(node, 2 * second)));
}
bool keep(group& site, const std::string& node, ledger::program_ledger& programs, const std::string& id,
          const std::string& previous, const std::string& bytes = "x") {
  ledger::turn_record record{id, previous, "in " + bytes, "out " + bytes, 600 * second};
  return site.run(node, programs.keep_turn(record, site.deadline(node, 2 * second)));
}
chain_result chain(group& site, const std::string& node, ledger::program_ledger& programs,
                   const std::string& last) {
  return site.run(node, programs.read_chain(last, site.deadline(node, 2 * second)));
}
std::string ids(const chain_result& result) {
  std::string text;
  for (auto& turn : result.turns) text += turn.id + " ";
  return text;
}

}  // namespace

TEST_CASE("a budget is overshot by at most the turn granted last, and refused only once it is taken up") {
  group site(21);
  auto writer = site.begin();
  ledger::program_ledger programs(writer);
  REQUIRE(reserve(site, "w", programs, "a", 100, 60) == program_reservation::granted);
  REQUIRE(reserve(site, "w", programs, "b", 100, 60) == program_reservation::granted);
  REQUIRE(reserve(site, "w", programs, "c", 100, 60) == program_reservation::budget_spent);
  // What didn't go out is free again.
  REQUIRE(settle(site, "w", programs, "b", 10) == program_settlement::settled);
  REQUIRE(reserve(site, "w", programs, "c", 100, 60) == program_reservation::granted);
  REQUIRE(reserve(site, "w", programs, "d", 100, 60) == program_reservation::budget_spent);
  // Repeated, or of a turn that isn't open: nothing changes.
  REQUIRE(settle(site, "w", programs, "b", 10) == program_settlement::settled);
  REQUIRE(settle(site, "w", programs, "nobody", 1000) == program_settlement::settled);
  REQUIRE(reserve(site, "w", programs, "a", 100, 60) == program_reservation::granted);
  auto text = site.run("w", writer.read(ledger::program_key("chat"), site.deadline("w", second))).value;
  REQUIRE(text);
  auto head = ledger::program_record_from_text(*text);
  REQUIRE(head);
  REQUIRE(head->spent == 10);
  REQUIRE(head->reserved() == 120);
}

TEST_CASE("a program's head reads as it was written, whatever its turns are called") {
  ledger::program_record head;
  head.spent = 7;
  head.changed = 1234567;
  head.open["a b%=\n\"\\+-"] = 5;
  head.settled = {"\xff\xfe", "plain", ""};
  auto read = ledger::program_record_from_text(ledger::to_text(head));
  REQUIRE(read);
  REQUIRE(read->spent == 7);
  REQUIRE(read->changed == 1234567);
  REQUIRE(read->open == head.open);
  REQUIRE(read->settled == head.settled);
  for (auto* text : {"", "2 1 1", "1 x 1", "1 1", "1 1 1 +5", "1 1 1 +x=a", "1 1 1 ?a", "1 1 1 "})
    REQUIRE_FALSE(ledger::program_record_from_text(text));
}

TEST_CASE("a head that can't be read is left alone and grants nothing") {
  group site(22);
  auto writer = site.begin();
  auto spoil = [](const std::optional<std::string>&) -> std::optional<std::string> { return "2 cut"; };
  site.run("w", writer.change(ledger::program_key("chat"), spoil, site.deadline("w", 3 * second)));
  ledger::program_ledger programs(writer);
  REQUIRE(reserve(site, "w", programs, "a", 100, 60) == program_reservation::unreachable);
  auto left = site.run("w", writer.read(ledger::program_key("chat"), site.deadline("w", 3 * second)));
  REQUIRE(left.value == "2 cut");
}

TEST_CASE("a reservation that its node left behind counts in full") {
  group site(23);
  site.begin();
  ledger::program_ledger first(site.writer("wa"));
  REQUIRE(reserve(site, "wa", first, "a", 100, 100) == program_reservation::granted);
  site.world.kill("wa", simulator::disk_loss::all, true);
  ledger::program_ledger second_node(site.writer("wb"));
  REQUIRE(reserve(site, "wb", second_node, "b", 100, 100) == program_reservation::budget_spent);
}

TEST_CASE("without a majority nothing is granted, refused or called missing") {
  group site(24);
  auto writer = site.begin();
  ledger::program_ledger programs(writer);
  REQUIRE(reserve(site, "w", programs, "a", 10, 10) == program_reservation::granted);
  REQUIRE(keep(site, "w", programs, "a", ""));
  auto other = site.writer("v");
  other.learn(writer.current_view());
  ledger::program_ledger cold(other);
  site.world.kill("s1", simulator::disk_loss::none);
  site.world.kill("s2", simulator::disk_loss::none);
  auto end = reserve(site, "w", programs, "b", 10, 10);
  bool honest = end == program_reservation::unreachable || end == program_reservation::unknown;
  REQUIRE(honest);
  REQUIRE(reserve(site, "v", cold, "c", 100, 10) == program_reservation::unreachable);
  REQUIRE(settle(site, "w", programs, "a", 1) == program_settlement::unreachable);
  REQUIRE(chain(site, "v", cold, "nothing").status == ledger::chain_status::unreachable);
  // One copy is enough of what never changes, and the node's own copy needs no store.
  REQUIRE(chain(site, "w", programs, "a").status == ledger::chain_status::found);
  REQUIRE_FALSE(keep(site, "w", programs, "b", "a"));
}

TEST_CASE("chains branch, carry any bytes, and are read back in order") {
  group site(25);
  auto writer = site.begin();
  ledger::program_ledger programs(writer);
  std::string bytes;
  for (int letter = 0; letter < 256; ++letter) bytes.push_back(static_cast<char>(letter));
  std::string large(5u << 20, '\xc3');
  REQUIRE(keep(site, "w", programs, "t0", "", bytes));
  std::string previous = "t0";
  for (int each = 1; each <= 20; ++each) {
    std::string id = "t" + std::to_string(each);
    REQUIRE(keep(site, "w", programs, id, previous, bytes));
    previous = id;
  }
  REQUIRE(keep(site, "w", programs, "branch \xff", "t1", large));
  auto reader = site.writer("v");
  ledger::program_ledger cold(reader);
  for (auto& each : {std::make_pair("w", &programs), std::make_pair("v", &cold)}) {
    auto whole = chain(site, each.first, *each.second, "t20");
    REQUIRE(whole.status == ledger::chain_status::found);
    REQUIRE(whole.turns.size() == 21);
    REQUIRE(whole.turns.front().id == "t0");
    REQUIRE(whole.turns.front().input == "in " + bytes);
    REQUIRE(whole.turns.back().output == "out " + bytes);
    auto branch = chain(site, each.first, *each.second, "branch \xff");
    REQUIRE(ids(branch) == "t0 t1 branch \xff ");
    REQUIRE(branch.turns.back().output == "out " + large);
  }
  // What was served here needs no store.
  REQUIRE(writer.endpoint().logger().value("herontally_chain_fetches_total") == 0);
  REQUIRE(chain(site, "v", cold, "never").status == ledger::chain_status::missing);
}
