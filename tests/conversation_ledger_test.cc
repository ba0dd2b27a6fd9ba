// The program ledger over simulated storage machines: grants, fencing, budgets.
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
  bool owner_gone = false;
  ledger::conversation_ledger conversations(
      writer, [&](const std::string& owner, std::int64_t) { return owner == "a" && owner_gone; });
  auto open = [&](const std::string& turn, const std::string& request_id, const std::string& owner) {
    ledger::reservation_request request{"p", "chat", turn, request_id, owner, 1, 100, 60, 20 * second};
    return std::make_pair(request,
                          site.run("w", conversations.reserve(request, site.deadline("w", 3 * second))));
  };
  auto first = open("t0", "v1", "a");
  REQUIRE(first.second.status == ledger::reservation_status::granted);
  REQUIRE(open("t1", "v2", "b").second.status == ledger::reservation_status::busy);
  owner_gone = true;
  auto next = open("t1", "v3", "b");
  REQUIRE(next.second.status == ledger::reservation_status::granted);
  // The abandoned grant is charged in full, and its owner's late settlement is refused.
  REQUIRE(next.second.now.spent == 60);
  ledger::turn_content content;
  content.turn = "t0";
  auto late = site.run("w", conversations.commit_turn(first.first, first.second.now.epoch, content, 5, 60,
                                                      site.deadline("w", 3 * second)));
  REQUIRE(late == ledger::settlement_status::superseded);
  content.turn = "t1";
  auto done = site.run("w", conversations.commit_turn(next.first, next.second.now.epoch, content, 50, 60,
                                                      site.deadline("w", 3 * second)));
  REQUIRE(done == ledger::settlement_status::settled);
  REQUIRE(open("t1", "v4", "b").second.status == ledger::reservation_status::already_ended);
  // 110 of 100 are spent: this turn is told so, and stays told so under a larger budget.
  REQUIRE(open("t2", "v5", "b").second.status == ledger::reservation_status::budget_spent);
  ledger::reservation_request richer{"p", "chat", "t2", "v6", "b", 1, 1000, 60, 20 * second};
  REQUIRE(site.run("w", conversations.reserve(richer, site.deadline("w", 3 * second))).status ==
          ledger::reservation_status::budget_spent);
  richer.turn = "t3";
  REQUIRE(site.run("w", conversations.reserve(richer, site.deadline("w", 3 * second))).status ==
          ledger::reservation_status::granted);
}

TEST_CASE("what was told spent is never forgotten, however much is told after it") {
  group site(7);
  auto writer = site.begin();
  ledger::conversation_ledger conversations(writer, [](const std::string&, std::int64_t) { return false; });
  auto open = [&](const std::string& turn, std::int64_t budget) {
    ledger::reservation_request request{
        "p", "chat", turn, "v-" + turn + std::to_string(budget), "a", 1, budget, 60, 20 * second};
    return site.run("w", conversations.reserve(request, site.deadline("w", 3 * second))).status;
  };
  for (int turn = 0; turn < 300; ++turn)
    REQUIRE(open("t" + std::to_string(turn), 0) == ledger::reservation_status::budget_spent);
  for (int turn : {0, 1, 33, 150, 299})
    REQUIRE(open("t" + std::to_string(turn), 1000) == ledger::reservation_status::budget_spent);
  REQUIRE(open("t300", 1000) == ledger::reservation_status::granted);
  // The head itself stays small.
  auto now = site.run("w", conversations.read("p", "chat", site.deadline("w", 3 * second)));
  REQUIRE(now->refused_turns.size() <= ledger::max_refused_in_record);
}

TEST_CASE("a neighbouring version's records are read, and one that can't be read is no empty one") {
  ledger::conversation_record content;
  content.spent = 7;
  auto document = nlohmann::json::parse(ledger::to_text(content));
  document.erase("told_pages");  // as the version before wrote it
  document["future"] = {{"x", 1}};
  auto read = ledger::conversation_from_text(document.dump());
  REQUIRE(read.readable);
  REQUIRE(read.spent == 7);
  // What a newer version added is given on.
  REQUIRE(nlohmann::json::parse(ledger::to_text(read))["future"]["x"] == 1);
  document.erase("spent");
  REQUIRE_FALSE(ledger::conversation_from_text(document.dump()).readable);
  REQUIRE_FALSE(ledger::conversation_from_text("{cut").readable);
  REQUIRE(ledger::conversation_from_text(std::nullopt).readable);
  auto record = ledger::call_record_from_text("{cut");
  REQUIRE(record->state == ledger::call_state::started);
  // Nothing is granted over such a head, and it is left as it was.
  group site(8);
  auto writer = site.begin();
  auto spoil = [](const std::optional<std::string>&) -> std::optional<std::string> { return "{cut"; };
  site.run("w", writer.change(ledger::conversation_key("p", "chat"), spoil, site.deadline("w", 3 * second)));
  ledger::conversation_ledger conversations(writer, [](const std::string&, std::int64_t) { return false; });
  ledger::reservation_request request{"p", "chat", "t0", "v", "a", 1, 100, 60, 20 * second};
  REQUIRE(site.run("w", conversations.reserve(request, site.deadline("w", 3 * second))).status ==
          ledger::reservation_status::unreachable);
  auto left =
      site.run("w", writer.read(ledger::conversation_key("p", "chat"), site.deadline("w", 3 * second)));
  REQUIRE(left.value == "{cut");
}

TEST_CASE("a full store refuses new calls before they start, and still settles those that were begun") {
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
  // The space that is kept back is for these.
  for (std::size_t each = begun.size() - 8; each < begun.size(); ++each) {
    auto done = begun[each].second;
    done.state = ledger::call_state::done;
    done.answer = "x";
    REQUIRE(site.run("w", calls.finish(begun[each].first, done, site.deadline("w", 3 * second))));
  }
  // Of a call that was refused there is no trace.
  auto look =
      site.run("w", calls.read("r/p/labels/" + std::to_string(begun.size()), site.deadline("w", 3 * second)));
  REQUIRE(look.read);
  REQUIRE_FALSE(look.record);
}
