// Tests the conversation ledger and the call ledger over simulated storage nodes: reservations, fencing by
// epoch, budgets, records of other versions, full disks.
#include "ledger/conversation_ledger.h"

#include <catch2/catch.hpp>

#include "ledger/call_ledger.h"
#include "replica_group_fixture.h"

using namespace herontally;
using runtime::second;
using tests::group;

TEST_CASE("a superseded proxy can't settle its turn, and a finished turn is not run again") {
  group site(6);
  auto writer = site.begin();
  bool owner_ended = false;
  ledger::conversation_ledger conversations(
      writer, [&](const std::string& owner, std::int64_t) { return owner == "a" && owner_ended; });
  auto reserve = [&](const std::string& turn, const std::string& request_id, const std::string& owner) {
    ledger::reservation_request request{"p", "chat", turn, request_id, owner, 1, 100, 60, 20 * second};
    return std::make_pair(request,
                          site.run("w", conversations.reserve(request, site.deadline("w", 3 * second))));
  };
  auto first = reserve("t0", "v1", "a");
  REQUIRE(first.second.status == ledger::reservation_status::granted);
  REQUIRE(reserve("t1", "v2", "b").second.status == ledger::reservation_status::busy);
  owner_ended = true;
  auto second_turn = reserve("t1", "v3", "b");
  REQUIRE(second_turn.second.status == ledger::reservation_status::granted);
  // The abandoned reservation is charged in full, and its owner's late settlement is refused.
  REQUIRE(second_turn.second.now.spent == 60);
  ledger::turn_content content;
  content.turn = "t0";
  auto late_commit = site.run("w", conversations.commit_turn(first.first, first.second.now.epoch, content, 5,
                                                             60, site.deadline("w", 3 * second)));
  REQUIRE(late_commit == ledger::settlement_status::superseded);
  content.turn = "t1";
  auto done = site.run("w", conversations.commit_turn(second_turn.first, second_turn.second.now.epoch,
                                                      content, 50, 60, site.deadline("w", 3 * second)));
  REQUIRE(done == ledger::settlement_status::settled);
  REQUIRE(reserve("t1", "v4", "b").second.status == ledger::reservation_status::already_ended);
  // 110 of 100 tokens are spent: this turn is refused, and stays refused under a larger budget.
  REQUIRE(reserve("t2", "v5", "b").second.status == ledger::reservation_status::budget_spent);
  ledger::reservation_request larger_budget{"p", "chat", "t2", "v6", "b", 1, 1000, 60, 20 * second};
  REQUIRE(site.run("w", conversations.reserve(larger_budget, site.deadline("w", 3 * second))).status ==
          ledger::reservation_status::budget_spent);
  larger_budget.turn = "t3";
  REQUIRE(site.run("w", conversations.reserve(larger_budget, site.deadline("w", 3 * second))).status ==
          ledger::reservation_status::granted);
}

TEST_CASE("a refused turn stays refused, however many turns are refused after it") {
  group site(7);
  auto writer = site.begin();
  ledger::conversation_ledger conversations(writer, [](const std::string&, std::int64_t) { return false; });
  auto reserve = [&](const std::string& turn, std::int64_t budget) {
    ledger::reservation_request request{
        "p", "chat", turn, "v-" + turn + std::to_string(budget), "a", 1, budget, 60, 20 * second};
    return site.run("w", conversations.reserve(request, site.deadline("w", 3 * second))).status;
  };
  for (int turn = 0; turn < 300; ++turn)
    REQUIRE(reserve("t" + std::to_string(turn), 0) == ledger::reservation_status::budget_spent);
  for (int turn : {0, 1, 33, 150, 299})
    REQUIRE(reserve("t" + std::to_string(turn), 1000) == ledger::reservation_status::budget_spent);
  REQUIRE(reserve("t300", 1000) == ledger::reservation_status::granted);
  // The record itself stays small.
  auto now = site.run("w", conversations.read("p", "chat", site.deadline("w", 3 * second)));
  REQUIRE(now->refused_turns.size() <= ledger::max_refused_in_record);
}

TEST_CASE("records of adjacent versions are read, and an unreadable record is not treated as empty") {
  ledger::conversation_record content;
  content.spent = 7;
  auto document = nlohmann::json::parse(ledger::to_text(content));
  document.erase("told_pages");  // the previous version did not write this field
  document["future"] = {{"x", 1}};
  auto read = ledger::conversation_from_text(document.dump());
  REQUIRE(read.readable);
  REQUIRE(read.spent == 7);
  // Fields of a newer version are preserved.
  REQUIRE(nlohmann::json::parse(ledger::to_text(read))["future"]["x"] == 1);
  document.erase("spent");
  REQUIRE_FALSE(ledger::conversation_from_text(document.dump()).readable);
  REQUIRE_FALSE(ledger::conversation_from_text("{cut").readable);
  REQUIRE(ledger::conversation_from_text(std::nullopt).readable);
  auto record = ledger::call_record_from_text("{cut");
  REQUIRE(record->state == ledger::call_state::started);
  // No turn is granted under an unreadable record, and the record is not overwritten.
  group site(8);
  auto writer = site.begin();
  auto write_unreadable = [](const std::optional<std::string>&) -> std::optional<std::string> {
    return "{cut";
  };
  site.run("w", writer.change(ledger::conversation_key("p", "chat"), write_unreadable,
                              site.deadline("w", 3 * second)));
  ledger::conversation_ledger conversations(writer, [](const std::string&, std::int64_t) { return false; });
  ledger::reservation_request request{"p", "chat", "t0", "v", "a", 1, 100, 60, 20 * second};
  REQUIRE(site.run("w", conversations.reserve(request, site.deadline("w", 3 * second))).status ==
          ledger::reservation_status::unreachable);
  auto stored =
      site.run("w", writer.read(ledger::conversation_key("p", "chat"), site.deadline("w", 3 * second)));
  REQUIRE(stored.value == "{cut");
}

TEST_CASE("full storage nodes refuse new calls before they start, and started calls can be finished") {
  group site(9, 3, 40000);
  auto writer = site.begin();
  ledger::call_ledger calls(writer);
  std::vector<std::pair<std::string, ledger::call_record>> begun;
  auto last = ledger::call_status::begun;
  for (int call = 0; call < 500 && last == ledger::call_status::begun; ++call) {
    ledger::call_record first;
    first.state = ledger::call_state::started;
    first.request_id = "v" + std::to_string(call);
    std::string key = "r/p/labels/" + std::to_string(call);
    auto result = site.run("w", calls.begin(key, first, site.deadline("w", 3 * second)));
    last = result.status;
    if (last == ledger::call_status::begun) begun.push_back({key, result.record});
  }
  REQUIRE(last == ledger::call_status::disk_full);
  REQUIRE(begun.size() > 10);
  // These use the reserved disk capacity.
  for (std::size_t each = begun.size() - 8; each < begun.size(); ++each) {
    auto done = begun[each].second;
    done.state = ledger::call_state::done;
    done.answer = "x";
    REQUIRE(site.run("w", calls.finish(begun[each].first, done, site.deadline("w", 3 * second))));
  }
  // The refused call left no record.
  auto lookup =
      site.run("w", calls.read("r/p/labels/" + std::to_string(begun.size()), site.deadline("w", 3 * second)));
  REQUIRE(lookup.read);
  REQUIRE_FALSE(lookup.record);
}
