#include "register/fill_group.h"

#include "register/view_install.h"
#include "runtime/breaks.h"

namespace herontally::reg {

using runtime::microseconds;
using runtime::millisecond;
using runtime::task;

constexpr std::size_t settled_at_once = 16;
constexpr microseconds fill_retry_pause = 100 * millisecond;
constexpr microseconds fill_answer_timeout = 2 * runtime::second;

static std::size_t majority_of(const std::vector<voter_place>& set) { return set.size() / 2 + 1; }

bool copies_suffice(const view& joint, const std::set<std::string>& filled) {
  std::size_t holders = 0, filled_before = 0;
  for (auto& place : joint.voters) {
    if (!filled.count(place.id)) continue;
    ++holders;
    filled_before += view::contains(joint.before, place.id) ? 1 : 0;
  }
  std::size_t may_be_elsewhere = joint.leaving().size() + filled_before;
  std::size_t accepted_by = majority_of(joint.before);
  if (accepted_by > may_be_elsewhere) holders += accepted_by - may_be_elsewhere;
  return holders >= majority_of(joint.voters);
}

// A round that writes the value back puts it into a majority of the new voters as well.
static task<bool> settle_record(proposer group, std::string record, microseconds deadline) {
  auto same = [](const std::optional<std::string>& current) { return current; };
  while (group.port().runtime().now() < deadline) {
    auto result = co_await group.change(record.substr(2), same, deadline, true);
    if (result.end == change_end::settled || result.end == change_end::declined) co_return true;
  }
  co_return false;
}

static task<> settle_one(proposer group, std::string record, microseconds deadline,
                         runtime::mailbox<bool> results) {
  bool settled = co_await settle_record(std::move(group), std::move(record), deadline);
  results.push(settled);
}

// Many go side by side, so that they share the disks' syncs.
static task<bool> settle_records(proposer group, std::vector<std::string> records, microseconds deadline) {
  auto runtime = group.port().runtime();
  runtime::mailbox<bool> results(runtime);
  std::size_t begun = 0;
  for (std::size_t ended = 0; ended < records.size(); ++ended) {
    for (; begun < records.size() && begun < ended + settled_at_once; ++begun)
      runtime.spawn(settle_one(group, records[begun], deadline, results));
    auto settled = co_await results.pop(-1);
    if (!settled || !*settled) co_return false;
  }
  co_return true;
}

struct fill_result {
  std::string voter, node;
  bool filled = false;
  std::vector<std::string> refused;
};

// Asks one voter to fetch the records, again and again: it may have to install the view first, and goes on
// from what it has after a failure.
static task<> fill_voter(proposer group, view joint, voter_place place, microseconds deadline,
                         runtime::mailbox<fill_result> results) {
  auto port = group.port();
  auto runtime = port.runtime();
  fill_result result{place.id, place.node, broken("fill"), {}};
  while (!result.filled && runtime.now() < deadline) {
    wire::fill_ask question{place.id, joint.number};
    // The voter goes on fetching when an answer is late, and the next question joins in.
    auto timeout = std::min<microseconds>(fill_answer_timeout, deadline - runtime.now());
    auto answered = co_await port.ask(place.address, std::move(question), timeout);
    auto* receipt = std::get_if<wire::fill_receipt>(&answered);
    if (receipt && receipt->verdict == "yes") {
      result.filled = true;
      result.refused = receipt->refused;
      break;
    }
    bool installed = co_await install_at(port, place, joint);
    if (!installed) co_await runtime.sleep(fill_retry_pause);
  }
  results.push(std::move(result));
}

// Returns early once the copies suffice and nobody answered for a while: a joining voter that is gone mustn't
// hold up those that are there.
static task<std::set<std::string>> fill_voters(proposer group, view joint, std::vector<voter_place> places,
                                               std::set<std::string> filled, microseconds deadline) {
  constexpr microseconds straggler_time = 1500 * millisecond;
  auto runtime = group.port().runtime();
  runtime::mailbox<fill_result> results(runtime);
  for (auto& place : places) runtime.spawn(fill_voter(group, joint, place, deadline, results));
  std::vector<std::string> refused;
  for (std::size_t heard = 0; heard < places.size(); ++heard) {
    microseconds left = deadline - runtime.now() + fill_retry_pause;
    if (copies_suffice(joint, filled)) left = std::min(left, straggler_time);
    auto result = co_await results.pop(std::max<microseconds>(left, 1));
    if (!result) break;
    if (!result->filled) continue;
    filled.insert(result->voter);
    refused.insert(refused.end(), result->refused.begin(), result->refused.end());
    group.port().journal().info("voter filled",
                                {{"node", result->node}, {"refused", result->refused.size()}});
  }
  bool settled = co_await settle_records(group, std::move(refused), deadline);
  if (!settled) filled.clear();
  co_return filled;
}

task<bool> fill_group(proposer group, view joint, microseconds deadline) {
  std::set<std::string> nobody;
  auto filled = co_await fill_voters(group, joint, joint.joining(), nobody, deadline);
  if (copies_suffice(joint, filled)) co_return true;
  std::vector<voter_place> staying;
  for (auto& place : joint.voters)
    if (view::contains(joint.before, place.id)) staying.push_back(place);
  // Voters that stay can make up for a joining one that is out of reach, and must where a group shrinks.
  filled = co_await fill_voters(group, joint, std::move(staying), std::move(filled), deadline);
  co_return copies_suffice(joint, filled);
}

}  // namespace herontally::reg
