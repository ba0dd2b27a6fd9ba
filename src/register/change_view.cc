#include "register/change_view.h"

#include "register/proposer_state.h"
#include "runtime/breaks.h"

namespace herontally::reg {

using runtime::microseconds;
using runtime::millisecond;
using runtime::task;

static task<bool> install_at(wire::port port, std::string address, std::string id, view chosen) {
  wire::install_view question{id, view_text(chosen)};
  auto result = co_await port.ask(std::move(address), std::move(question), round_timeout);
  auto* receipt = std::get_if<wire::install_view_receipt>(&result);
  co_return receipt && receipt->verdict == "yes";
}

// Until a quorum of this view (and so of the set before it) has it lasting, nothing may rely on it.
static task<bool> install_everywhere(proposer group, view chosen, std::vector<voter_place> extra,
                                     microseconds deadline) {
  auto port = group.port();
  std::set<std::string> done;
  auto has = [&done](const std::string& id) { return done.count(id) > 0; };
  while (port.runtime().now() < deadline) {
    for (auto& place : chosen.all()) {
      if (done.count(place.id)) continue;
      bool installed = co_await install_at(port, place.address, place.id, chosen);
      if (installed) done.insert(place.id);
    }
    if (chosen.quorum(has)) {
      group.learn(chosen);
      // The one left out learns it too, so that it wipes itself; it may be gone, which is as good.
      for (auto& place : extra) co_await install_at(port, place.address, place.id, chosen);
      co_return true;
    }
    co_await port.runtime().sleep(50 * millisecond);
  }
  co_return false;
}

task<bool> install_chosen(proposer group, view chosen, microseconds deadline) {
  std::vector<voter_place> nobody;
  co_return co_await install_everywhere(group, std::move(chosen), nobody, deadline);
}

enum class filled { stored, gone, failed };

static task<filled> fill_one(proposer group, std::string record, microseconds deadline) {
  if (record[0] == 'c') {
    std::string digest = record.substr(2);
    auto accept_any = [](const std::string&, const std::string&) { return true; };
    auto one_only = [](const std::string&) { return std::string(); };
    auto body = co_await group.fetch_chain(digest, 1, accept_any, one_only, deadline);
    if (!body) co_return filled::gone;
    bool stored = co_await group.put_content(digest, (*body)[0], deadline, true);
    co_return stored ? filled::stored : filled::failed;
  }
  while (group.port().runtime().now() < deadline) {
    // The value is written back even if a quorum holds it: the newcomer must have it as well.
    auto same = [](const std::optional<std::string>& current) { return current; };
    auto result = co_await group.change(record.substr(2), same, deadline, true);
    if (result.end == change_end::settled || result.end == change_end::declined) co_return filled::stored;
  }
  co_return filled::failed;
}

// One round over every record of the old majority puts each into a majority of the new one. Many go side by
// side, so that they share the disks' syncs.
static task<bool> fill_one_by_one(proposer group, std::vector<std::string> records, view joint,
                                  microseconds deadline) {
  constexpr std::size_t at_once = 16;
  auto runtime = group.port().runtime();
  runtime::mailbox<std::pair<std::string, filled>> box(runtime);
  auto work = [](proposer group, std::string record, microseconds deadline,
                 runtime::mailbox<std::pair<std::string, filled>> box) -> task<> {
    auto end = co_await fill_one(group, record, deadline);
    box.push({record, end});
  };
  std::vector<std::string> gone;
  bool all = true;
  std::size_t begun = 0;
  for (std::size_t ended = 0; ended < (all ? records.size() : begun); ++ended) {
    for (; all && begun < records.size() && begun < ended + at_once; ++begun)
      runtime.spawn(work(group, records[begun], deadline, box));
    auto end = co_await box.pop(-1);
    if (!end || end->second == filled::failed) all = false;
    if (end && end->second == filled::gone) gone.push_back(end->first);
  }
  if (!all || gone.empty()) co_return all;
  // Removed since they were listed, or out of reach just now: only the first may be passed over.
  auto again = co_await group.list_records(joint, deadline);
  if (!again) co_return false;
  for (auto& record : gone)
    if (again->count(record)) co_return false;
  co_return true;
}

// The newcomer fetches for itself, many records a message; what it must not take over is settled here.
static task<bool> fill(proposer group, view joint, microseconds deadline) {
  if (broken("fill")) co_return true;
  std::vector<voter_place> arriving;
  for (auto& place : joint.voters) {
    bool was = false;
    for (auto& old : joint.before) was = was || old.id == place.id;
    if (!was) arriving.push_back(place);
  }
  if (arriving.size() == 1) {
    wire::fill_ask question{arriving[0].id, joint.number};
    auto patience = std::min<microseconds>(15 * runtime::second, deadline - group.port().runtime().now());
    auto result = co_await group.port().ask(arriving[0].address, std::move(question), patience);
    auto* receipt = std::get_if<wire::fill_receipt>(&result);
    if (receipt && receipt->verdict == "yes") {
      group.port().journal().info("newcomer filled",
                                  {{"node", arriving[0].node}, {"refused", receipt->refused.size()}});
      co_return co_await fill_one_by_one(group, receipt->refused, joint, deadline);
    }
    // Out of reach, or not to be had from a majority just now: the move is tried again.
    if (!receipt || receipt->verdict != "unknown") co_return false;
  }
  auto listed = co_await group.list_records(joint, deadline);
  if (!listed) co_return false;
  std::vector<std::string> records(listed->begin(), listed->end());
  co_return co_await fill_one_by_one(group, std::move(records), joint, deadline);
}

task<std::optional<view>> agreed_view(proposer catalog, std::string group, microseconds deadline) {
  auto result = co_await catalog.read(view_key_of(group), deadline);
  bool known = result.end == change_end::settled || result.end == change_end::declined;
  if (!known || !result.value) co_return std::nullopt;
  co_return view_from(*result.value);
}

static task<bool> choose(proposer catalog, view next, microseconds deadline) {
  std::int64_t expected = next.number - 1;
  auto mutate = [next, expected](const std::optional<std::string>& current) -> std::optional<std::string> {
    view now = current ? view_from(*current) : view{};
    if (now.number != expected && !broken("view_number")) return std::nullopt;
    return view_text(next);
  };
  auto result = co_await catalog.change(view_key_of(next.group), mutate, deadline, true);
  co_return result.value&& view_from(*result.value) == next;
}

task<bool> finish_move(proposer group, proposer catalog, microseconds deadline) {
  auto current = co_await agreed_view(catalog, group.current().group, deadline);
  if (!current) co_return false;
  std::vector<voter_place> nobody;
  if (current->before.empty()) {
    // Chosen, but perhaps not yet installed by a quorum: installing again is harmless.
    if (current->number > group.current().number)
      co_return co_await install_everywhere(group, *current, nobody, deadline);
    co_return true;
  }
  bool installed = co_await install_everywhere(group, *current, nobody, deadline);
  if (!installed) co_return false;
  bool filled = co_await fill(group, *current, deadline);
  if (!filled) co_return false;
  view last = *current;
  last.number += 1;
  last.before.clear();
  bool chosen = co_await choose(catalog, last, deadline);
  if (!chosen) co_return false;
  std::vector<voter_place> left;
  for (auto& place : current->before)
    if (!last.has(place.id)) left.push_back(place);
  co_return co_await install_everywhere(group, last, left, deadline);
}

task<std::variant<view, move_error>> replace_voter(proposer group, proposer catalog, replacement wanted,
                                                   microseconds deadline) {
  auto current = co_await agreed_view(catalog, group.current().group, deadline);
  if (!current) co_return move_error::unreachable;
  if (!current->before.empty()) {
    bool finished = co_await finish_move(group, catalog, deadline);
    if (!finished) co_return move_error::unreachable;
    co_return move_error::lost_race;
  }
  if (current->has(wanted.arriving.id)) co_return move_error::already_there;
  if (!current->has(wanted.leaving)) co_return move_error::not_a_voter;
  wire::identify_ask question{current->group};
  auto seen = co_await group.port().ask(wanted.arriving.address, std::move(question), round_timeout);
  auto* receipt = std::get_if<wire::identify_receipt>(&seen);
  if (!receipt || receipt->voter != wanted.arriving.id) co_return move_error::unreachable;
  // A newcomer that holds records may hold stale ones, which could win a later round.
  if (!receipt->empty || !receipt->view.empty()) co_return move_error::not_empty;
  view joint = *current;
  joint.number += 1;
  joint.before = current->voters;
  for (auto& place : joint.voters)
    if (place.id == wanted.leaving) place = wanted.arriving;
  bool chosen = co_await choose(catalog, joint, deadline);
  if (!chosen) co_return move_error::lost_race;
  bool finished = co_await finish_move(group, catalog, deadline);
  if (!finished) co_return move_error::unreachable;
  view now = group.current();
  co_return now;
}

task<std::variant<view, move_error>> begin_group(wire::port port, std::string group,
                                                 std::vector<voter_place> voters, microseconds deadline) {
  view first;
  first.group = group;
  first.number = 1;
  first.voters = voters;
  std::vector<wire::identify_receipt> seen;
  for (auto& place : first.voters) {
    wire::identify_ask question{group};
    auto result = co_await port.ask(place.address, std::move(question), round_timeout);
    auto* receipt = std::get_if<wire::identify_receipt>(&result);
    if (!receipt || receipt->voter.empty()) co_return move_error::unreachable;
    place.id = receipt->voter;
    seen.push_back(*receipt);
  }
  for (auto& receipt : seen) {
    // A first view over a voter that has another one would split the group.
    if (!receipt.view.empty() && view_from(receipt.view) != first) co_return move_error::already_there;
    if (!receipt.empty && receipt.view.empty()) co_return move_error::not_empty;
  }
  std::size_t installed = 0;
  while (installed < first.voters.size()) {
    if (port.runtime().now() >= deadline) co_return move_error::unreachable;
    installed = 0;
    for (auto& place : first.voters) {
      bool done = co_await install_at(port, place.address, place.id, first);
      installed += done ? 1 : 0;
    }
    if (installed < first.voters.size()) co_await port.runtime().sleep(50 * millisecond);
  }
  co_return first;
}

}  // namespace herontally::reg
