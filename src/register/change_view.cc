#include "register/change_view.h"

#include "register/fill_group.h"
#include "register/view_install.h"
#include "runtime/breaks.h"

namespace herontally::reg {

using runtime::microseconds;
using runtime::task;

task<std::optional<view>> agreed_view(proposer catalog, std::string group, microseconds deadline) {
  auto result = co_await catalog.read(view_key_of(group), deadline);
  bool known = result.end == change_end::settled || result.end == change_end::declined;
  if (!known || !result.value) co_return std::nullopt;
  co_return view_from(*result.value);
}

// Writes the next view over the one with the number before it, and over no other.
static task<bool> choose(proposer catalog, view next, microseconds deadline) {
  std::int64_t expected = next.number - 1;
  auto mutate = [next, expected](const std::optional<std::string>& current) -> std::optional<std::string> {
    view now = current ? view_from(*current) : view{};
    bool other = now.number != expected && !broken("view_number");
    bool superseded = now.epoch > next.epoch;
    if (other || superseded) return std::nullopt;
    return view_text(next);
  };
  auto result = co_await catalog.change(view_key_of(next.group), mutate, deadline, true);
  co_return result.value&& view_from(*result.value) == next;
}

// A joining voter that holds records may hold stale ones, which could win a later round.
static task<std::optional<move_error>> check_joining(wire::port port, std::string group, voter_place place) {
  wire::identify_ask question{std::move(group)};
  auto seen = co_await port.ask(place.address, std::move(question), membership_timeout);
  auto* receipt = std::get_if<wire::identify_receipt>(&seen);
  if (!receipt || receipt->voter != place.id) co_return move_error::unreachable;
  if (!receipt->empty || !receipt->view.empty()) co_return move_error::not_empty;
  co_return std::nullopt;
}

// Why a joint view may be amended: each of its rounds had a majority of the voters before, and so has each
// round of the amended view, so that the two never choose apart. Its new voters fetch again under the amended
// view's own number, from voters that take nothing under the earlier one any more.
static view next_towards(const view& current, std::vector<voter_place> wanted, std::int64_t epoch) {
  view next = current;
  next.number += 1;
  next.epoch = std::max(current.epoch, epoch);
  if (!current.joint()) next.before = current.voters;
  next.voters = std::move(wanted);
  if (view::same_members(next.voters, next.before)) next.before.clear();
  return next;
}

task<std::variant<view, move_error>> begin_move(proposer group, proposer catalog,
                                                std::vector<voter_place> wanted, std::int64_t epoch,
                                                microseconds deadline) {
  auto current = co_await agreed_view(catalog, group.current().group, deadline);
  if (!current || wanted.empty()) co_return move_error::unreachable;
  if (epoch != 0 && current->epoch > epoch) co_return move_error::superseded;
  if (view::same_members(wanted, current->voters)) co_return *current;
  for (auto& place : wanted) {
    if (current->has(place.id)) continue;
    auto unfit = co_await check_joining(group.port(), current->group, place);
    if (unfit) co_return *unfit;
  }
  view next = next_towards(*current, std::move(wanted), epoch);
  bool chosen = co_await choose(catalog, next, deadline);
  if (!chosen) co_return move_error::lost_race;
  co_return next;
}

static task<bool> end_joint(proposer group, proposer catalog, view joint, microseconds deadline) {
  bool filled = co_await fill_group(group, joint, deadline);
  if (!filled) co_return false;
  view last = joint;
  last.number += 1;
  last.before.clear();
  bool chosen = co_await choose(catalog, last, deadline);
  if (!chosen) co_return false;
  co_return co_await install_everywhere(group, last, joint.leaving(), deadline);
}

task<bool> finish_move(proposer group, proposer catalog, microseconds deadline) {
  auto current = co_await agreed_view(catalog, group.current().group, deadline);
  if (!current) co_return false;
  // Chosen, but perhaps not yet installed by a quorum; installing again is harmless.
  bool to_install = current->joint() || current->number > group.current().number;
  if (!to_install) co_return true;
  std::vector<voter_place> nobody;
  bool installed = co_await install_everywhere(group, *current, nobody, deadline);
  if (!installed || !current->joint()) co_return installed;
  co_return co_await end_joint(group, catalog, *current, deadline);
}

task<std::variant<view, move_error>> replace_voter(proposer group, proposer catalog, replacement wanted,
                                                   microseconds deadline) {
  auto current = co_await agreed_view(catalog, group.current().group, deadline);
  if (!current) co_return move_error::unreachable;
  if (current->joint()) {
    bool finished = co_await finish_move(group, catalog, deadline);
    co_return finished ? move_error::lost_race : move_error::unreachable;
  }
  if (current->has(wanted.arriving.id)) co_return move_error::already_there;
  if (!current->has(wanted.leaving)) co_return move_error::not_a_voter;
  auto voters = current->voters;
  for (auto& place : voters)
    if (place.id == wanted.leaving) place = wanted.arriving;
  auto begun = co_await begin_move(group, catalog, std::move(voters), current->epoch, deadline);
  if (std::holds_alternative<move_error>(begun)) co_return begun;
  bool finished = co_await finish_move(group, catalog, deadline);
  if (!finished) co_return move_error::unreachable;
  co_return group.current();
}

}  // namespace herontally::reg
