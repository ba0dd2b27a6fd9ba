// The program ledger over simulated storage machines: grants, fencing, budgets.
#include <catch2/catch.hpp>

#include "ledger/book.h"
#include "store_group.h"

using namespace herontally;
using runtime::second;
using tests::group;

TEST_CASE("a superseded proxy can't settle its turn, and a finished turn is not run again") {
  group site(6);
  auto writer = site.begin();
  bool owner_gone = false;
  ledger::book mine(writer,
                    [&](const std::string& owner, std::int64_t) { return owner == "a" && owner_gone; });
  auto open = [&](const std::string& turn, const std::string& visit, const std::string& owner) {
    ledger::turn_wish wish{"p", "chat", turn, visit, owner, 1, 100, 60, 20 * second};
    return std::make_pair(wish, site.run("w", mine.open_turn(wish, site.deadline("w", 3 * second))));
  };
  auto first = open("t0", "v1", "a");
  REQUIRE(first.second.end == ledger::open_end::granted);
  REQUIRE(open("t1", "v2", "b").second.end == ledger::open_end::busy);
  owner_gone = true;
  auto next = open("t1", "v3", "b");
  REQUIRE(next.second.end == ledger::open_end::granted);
  // The abandoned grant is charged in full, and its owner's late settlement is refused.
  REQUIRE(next.second.now.spent == 60);
  ledger::turn_content content;
  content.turn = "t0";
  auto late = site.run("w", mine.settle_done(first.first, first.second.now.epoch, content, 5, 60,
                                             site.deadline("w", 3 * second)));
  REQUIRE(late == ledger::settle_end::superseded);
  content.turn = "t1";
  auto done = site.run("w", mine.settle_done(next.first, next.second.now.epoch, content, 50, 60,
                                             site.deadline("w", 3 * second)));
  REQUIRE(done == ledger::settle_end::settled);
  REQUIRE(open("t1", "v4", "b").second.end == ledger::open_end::ended);
  // 110 of 100 are spent: this turn is told so, and stays told so under a larger budget.
  REQUIRE(open("t2", "v5", "b").second.end == ledger::open_end::spent);
  ledger::turn_wish richer{"p", "chat", "t2", "v6", "b", 1, 1000, 60, 20 * second};
  REQUIRE(site.run("w", mine.open_turn(richer, site.deadline("w", 3 * second))).end ==
          ledger::open_end::spent);
  richer.turn = "t3";
  REQUIRE(site.run("w", mine.open_turn(richer, site.deadline("w", 3 * second))).end ==
          ledger::open_end::granted);
}
