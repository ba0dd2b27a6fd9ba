// The ledger of branching programs over simulated storage machines: budgets, kept turns, expiry.
#include <catch2/catch.hpp>

#include "ledger/program_head.h"
#include "replica_group_fixture.h"

using namespace herontally;
using ledger::chain_result;
using ledger::reserve_end;
using ledger::settle_result;
using runtime::millisecond;
using runtime::second;
using tests::group;

namespace {

reserve_end reserve(group& site, const std::string& node, ledger::programs& book, const std::string& turn,
                    std::int64_t budget, std::int64_t most) {
  return site.run(node, book.reserve("chat", turn, budget, most, site.deadline(node, 2 * second)));
}
settle_result settle(group& site, const std::string& node, ledger::programs& book, const std::string& turn,
                     std::int64_t tokens) {
  return site.run(node, book.settle("chat", turn, tokens, site.deadline(node, 2 * second)));
}
bool keep(group& site, const std::string& node, ledger::programs& book, const std::string& id,
          const std::string& previous, const std::string& bytes = "x") {
  ledger::turn_record record{id, previous, "in " + bytes, "out " + bytes, 600 * second};
  return site.run(node, book.keep(record, site.deadline(node, 2 * second)));
}
chain_result chain(group& site, const std::string& node, ledger::programs& book, const std::string& last) {
  return site.run(node, book.chain(last, site.deadline(node, 2 * second)));
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
  ledger::programs book(writer);
  REQUIRE(reserve(site, "w", book, "a", 100, 60) == reserve_end::granted);
  REQUIRE(reserve(site, "w", book, "b", 100, 60) == reserve_end::granted);
  REQUIRE(reserve(site, "w", book, "c", 100, 60) == reserve_end::spent);
  // What didn't go out is free again.
  REQUIRE(settle(site, "w", book, "b", 10) == settle_result::settled);
  REQUIRE(reserve(site, "w", book, "c", 100, 60) == reserve_end::granted);
  REQUIRE(reserve(site, "w", book, "d", 100, 60) == reserve_end::spent);
  // Repeated, or of a turn that isn't open: nothing changes.
  REQUIRE(settle(site, "w", book, "b", 10) == settle_result::settled);
  REQUIRE(settle(site, "w", book, "nobody", 1000) == settle_result::settled);
  REQUIRE(reserve(site, "w", book, "a", 100, 60) == reserve_end::granted);
  auto text = site.run("w", writer.read(ledger::program_key("chat"), site.deadline("w", second))).value;
  REQUIRE(text);
  auto head = ledger::program_head_from(*text);
  REQUIRE(head);
  REQUIRE(head->spent == 10);
  REQUIRE(head->reserved() == 120);
}

TEST_CASE("a program's head reads as it was written, whatever its turns are called") {
  ledger::program_head head;
  head.spent = 7;
  head.changed = 1234567;
  head.open["a b%=\n\"\\+-"] = 5;
  head.settled = {"\xff\xfe", "plain", ""};
  auto read = ledger::program_head_from(ledger::to_text(head));
  REQUIRE(read);
  REQUIRE(read->spent == 7);
  REQUIRE(read->changed == 1234567);
  REQUIRE(read->open == head.open);
  REQUIRE(read->settled == head.settled);
  for (auto* text : {"", "2 1 1", "1 x 1", "1 1", "1 1 1 +5", "1 1 1 +x=a", "1 1 1 ?a", "1 1 1 "})
    REQUIRE_FALSE(ledger::program_head_from(text));
}

TEST_CASE("a head that can't be read is left alone and grants nothing") {
  group site(22);
  auto writer = site.begin();
  auto spoil = [](const std::optional<std::string>&) -> std::optional<std::string> { return "2 cut"; };
  site.run("w", writer.change(ledger::program_key("chat"), spoil, site.deadline("w", 3 * second)));
  ledger::programs book(writer);
  REQUIRE(reserve(site, "w", book, "a", 100, 60) == reserve_end::unreachable);
  auto left = site.run("w", writer.read(ledger::program_key("chat"), site.deadline("w", 3 * second)));
  REQUIRE(left.value == "2 cut");
}

TEST_CASE("a reservation that its node left behind counts in full") {
  group site(23);
  site.begin();
  ledger::programs first(site.writer("wa"));
  REQUIRE(reserve(site, "wa", first, "a", 100, 100) == reserve_end::granted);
  site.world.kill("wa", hsim::disk_loss::all, true);
  ledger::programs second_node(site.writer("wb"));
  REQUIRE(reserve(site, "wb", second_node, "b", 100, 100) == reserve_end::spent);
}

TEST_CASE("without a majority nothing is granted, refused or called missing") {
  group site(24);
  auto writer = site.begin();
  ledger::programs book(writer);
  REQUIRE(reserve(site, "w", book, "a", 10, 10) == reserve_end::granted);
  REQUIRE(keep(site, "w", book, "a", ""));
  auto other = site.writer("v");
  other.learn(writer.current_view());
  ledger::programs cold(other);
  site.world.kill("s1", hsim::disk_loss::none);
  site.world.kill("s2", hsim::disk_loss::none);
  auto end = reserve(site, "w", book, "b", 10, 10);
  bool honest = end == reserve_end::unreachable || end == reserve_end::unknown;
  REQUIRE(honest);
  REQUIRE(reserve(site, "v", cold, "c", 100, 10) == reserve_end::unreachable);
  REQUIRE(settle(site, "w", book, "a", 1) == settle_result::unreachable);
  REQUIRE(chain(site, "v", cold, "nothing").end == chain_result::what::unreachable);
  // One copy is enough of what never changes, and the node's own copy needs no store.
  REQUIRE(chain(site, "w", book, "a").end == chain_result::what::found);
  REQUIRE_FALSE(keep(site, "w", book, "b", "a"));
}

TEST_CASE("chains branch, carry any bytes, and are read back in order") {
  group site(25);
  auto writer = site.begin();
  ledger::programs book(writer);
  std::string bytes;
  for (int letter = 0; letter < 256; ++letter) bytes.push_back(static_cast<char>(letter));
  std::string large(5u << 20, '\xc3');
  REQUIRE(keep(site, "w", book, "t0", "", bytes));
  std::string previous = "t0";
  for (int each = 1; each <= 20; ++each) {
    std::string id = "t" + std::to_string(each);
    REQUIRE(keep(site, "w", book, id, previous, bytes));
    previous = id;
  }
  REQUIRE(keep(site, "w", book, "branch \xff", "t1", large));
  auto reader = site.writer("v");
  ledger::programs cold(reader);
  for (auto& each : {std::make_pair("w", &book), std::make_pair("v", &cold)}) {
    auto whole = chain(site, each.first, *each.second, "t20");
    REQUIRE(whole.end == chain_result::what::found);
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
  REQUIRE(chain(site, "v", cold, "never").end == chain_result::what::missing);
}
