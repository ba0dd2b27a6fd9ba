#include "reconfiguration/group_move.h"

#include "reconfiguration/group_catch_up.h"
#include "reconfiguration/view_install.h"
#include "runtime/breaks.h"

namespace herontally::reconfiguration {

using runtime::microseconds;
using runtime::task;

const char* describe(move_error why) {
  switch (why) {
    case move_error::unreachable:
      return "unreachable";
    case move_error::not_empty:
      return "not empty";
    case move_error::not_a_voter:
      return "not a voter";
    case move_error::already_member:
      return "already there";
    case move_error::lost_race:
      return "lost race";
    case move_error::superseded:
      return "superseded";
  }
  return "";
}

task<std::optional<view>> agreed_view(proposer catalog, std::string group, microseconds deadline) {
  auto result = co_await catalog.read(view_register_key(group), deadline);
  if (!result.known() || !result.value) co_return std::nullopt;
  co_return consensus::view_from_text(*result.value);
}

consensus::mutator set_first_view_if_absent(view first) {
  return [first](const std::optional<std::string>& current) -> std::optional<std::string> {
    if (current) return std::nullopt;
    return to_text(first);
  };
}

// Replaces the agreed view by the next one, provided that the agreed view has the number before it and no
// higher epoch. True if `next` was chosen.
static task<bool> choose_view(proposer catalog, view next, microseconds deadline) {
  std::int64_t expected = next.number - 1;
  auto mutate = [next, expected](const std::optional<std::string>& text) -> std::optional<std::string> {
    view current = text ? consensus::view_from_text(*text) : view{};
    bool other_view = current.number != expected && !broken("view_number");
    bool superseded = current.epoch > next.epoch;
    if (other_view || superseded) return std::nullopt;
    return to_text(next);
  };
  auto result = co_await catalog.change(view_register_key(next.group), mutate, deadline, true);
  co_return result.value&& consensus::view_from_text(*result.value) == next;
}

// Checks that a joining voter is reachable and empty. A voter with records may hold stale ones, which could
// win a later round.
static task<std::optional<move_error>> check_joining_voter(rpc::endpoint endpoint, std::string group,
                                                           voter_info joining) {
  rpc::identify_request request{std::move(group)};
  auto result = co_await endpoint.call(joining.address, std::move(request), reconfiguration_timeout);
  auto* reply = std::get_if<rpc::identify_reply>(&result);
  if (!reply || reply->voter != joining.id) co_return move_error::unreachable;
  if (!reply->empty || !reply->view.empty()) co_return move_error::not_empty;
  co_return std::nullopt;
}

// Returns the view that follows `current` on the way to the wanted voters.
//
// Why the new voters of a joint view may be replaced: each round under the joint view had a majority of the
// previous voters, and so has each round under its successor, so that the two can't choose different values.
// The new voters catch up again under the successor's number, from voters that no longer accept anything
// under the earlier view.
static view next_view(const view& current, std::vector<voter_info> wanted, std::int64_t epoch) {
  view next = current;
  next.number += 1;
  next.epoch = std::max(current.epoch, epoch);
  if (!current.joint()) next.previous_voters = current.voters;
  next.voters = std::move(wanted);
  if (consensus::same_voters(next.voters, next.previous_voters)) next.previous_voters.clear();
  return next;
}

task<move_result> begin_move(proposer group, proposer catalog, std::vector<voter_info> wanted,
                             std::int64_t epoch, microseconds deadline) {
  auto current = co_await agreed_view(catalog, group.current_view().group, deadline);
  if (!current || wanted.empty()) co_return move_error::unreachable;
  if (epoch != 0 && current->epoch > epoch) co_return move_error::superseded;
  if (consensus::same_voters(wanted, current->voters)) co_return *current;
  for (auto& voter : wanted) {
    if (current->includes(voter.id)) continue;
    auto error = co_await check_joining_voter(group.endpoint(), current->group, voter);
    if (error) co_return *error;
  }
  view next = next_view(*current, std::move(wanted), epoch);
  bool chosen = co_await choose_view(catalog, next, deadline);
  if (!chosen) co_return move_error::lost_race;
  co_return next;
}

static task<bool> end_joint_view(proposer group, proposer catalog, view joint, microseconds deadline) {
  bool caught_up = co_await catch_up_group(group, joint, deadline);
  if (!caught_up) co_return false;
  view last = joint;
  last.number += 1;
  last.previous_voters.clear();
  bool chosen = co_await choose_view(catalog, last, deadline);
  if (!chosen) co_return false;
  co_return co_await install_at_quorum(group, last, joint.leaving(), deadline);
}

task<bool> finish_move(proposer group, proposer catalog, microseconds deadline) {
  auto current = co_await agreed_view(catalog, group.current_view().group, deadline);
  if (!current) co_return false;
  // The agreed view may not be installed at a quorum yet. Installing it again has no effect.
  bool to_install = current->joint() || current->number > group.current_view().number;
  if (!to_install) co_return true;
  bool installed = co_await install_chosen(group, *current, deadline);
  if (!installed || !current->joint()) co_return installed;
  co_return co_await end_joint_view(group, catalog, *current, deadline);
}

task<move_result> replace_voter(proposer group, proposer catalog, replacement wanted, microseconds deadline) {
  auto current = co_await agreed_view(catalog, group.current_view().group, deadline);
  if (!current) co_return move_error::unreachable;
  if (current->joint()) {
    bool finished = co_await finish_move(group, catalog, deadline);
    co_return finished ? move_error::lost_race : move_error::unreachable;
  }
  if (current->includes(wanted.arriving.id)) co_return move_error::already_member;
  if (!current->includes(wanted.leaving)) co_return move_error::not_a_voter;
  auto voters = current->voters;
  for (auto& voter : voters)
    if (voter.id == wanted.leaving) voter = wanted.arriving;
  auto begun = co_await begin_move(group, catalog, std::move(voters), current->epoch, deadline);
  if (std::holds_alternative<move_error>(begun)) co_return begun;
  bool finished = co_await finish_move(group, catalog, deadline);
  if (!finished) co_return move_error::unreachable;
  co_return group.current_view();
}

}  // namespace herontally::reconfiguration
