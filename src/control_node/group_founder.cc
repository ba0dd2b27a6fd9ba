#include "control_node/group_founder.h"

#include <algorithm>

namespace herontally::control_node {

using consensus::view;
using consensus::voter_info;

namespace {

constexpr microseconds check_period = 100 * millisecond;
// Founders begin one after the other by their position among the seeds, which only spares work.
constexpr microseconds turn_time = 2 * second;
constexpr microseconds found_timeout = 3 * second;
constexpr microseconds retry_pause = 2 * second;
constexpr microseconds finish_period = 500 * millisecond;
constexpr microseconds identify_timeout = 500 * millisecond;
constexpr microseconds write_timeout = 2 * second;

// How long the number of storage machines must have stayed the same before a first view is made of them.
microseconds settle_time(const std::vector<voter_info>& founders, const loss_budget& budget) {
  constexpr std::size_t fewest_safe = 3;
  bool complete = shortfall_of(founders, budget) == voter_shortfall{};
  if (complete) return 500 * millisecond;
  return founders.size() >= fewest_safe ? 2 * second : 6 * second;
}

}  // namespace

// The seeds as voters. Nothing until the membership knows them all: a first view must be the same whoever
// writes it, so that it holds nothing but what every founder is certain to see alike.
std::optional<std::vector<voter_info>> group_founder::core_founders() const {
  std::vector<voter_info> founders;
  for (auto& address : context_->place.seeds) {
    voter_info founder{"", address, "", ""};
    for (auto& member : context_->members.all()) {
      if (member.role != rpc::node_role::core || member.inner != address) continue;
      founder.node = member.name;
      founder.zone = member.zone;
    }
    if (founder.node.empty()) return std::nullopt;
    founders.push_back(founder);
  }
  // An even group bears no more losses than the odd one below it.
  if (!founders.empty() && founders.size() % 2 == 0) founders.pop_back();
  return founders;
}

task<> group_founder::try_found_core(std::vector<voter_info> founders) {
  auto self = shared_from_this();
  auto shared = self->context_;
  auto begun = co_await reconfiguration::begin_group(shared->endpoint, core_group, founders,
                                                     shared->runtime.now() + found_timeout);
  if (auto* first = std::get_if<view>(&begun)) {
    shared->catalog.learn(*first);
    shared->logger.info("core group founded",
                        {{"voters", first->voters.size()}, {"needed", budget_of(shared->place).voters()}});
    co_return;
  }
  // Others have a view that isn't ours: this core is let in like any newcomer.
  bool refused = std::get<reconfiguration::move_error>(begun) != reconfiguration::move_error::unreachable;
  if (refused) co_await shared->runtime.sleep(retry_pause);
}

// Why several founders, or one that dies half-way, make no second group: all have the same seeds, and a voter
// keeps its identity from its first start on, so that all write the very same first view. A voter installs a
// first view only while it has none, never another one over it; a founder that meets a voter with another
// view gives up. So a half-laid view is finished by whoever comes next, with the same content. Turns carry no
// part of the argument.
task<> group_founder::found_core_group() {
  auto self = shared_from_this();
  auto shared = self->context_;
  auto& seeds = shared->place.seeds;
  auto position = std::find(seeds.begin(), seeds.end(), shared->place.inner);
  if (!shared->place.founding || position == seeds.end()) co_return;
  auto turn = (position - seeds.begin()) * turn_time;
  microseconds complete_since = -1;
  while (self->voter_.current_view().number == 0) {
    co_await shared->runtime.sleep(check_period);
    auto founders = self->core_founders();
    if (!founders) continue;
    auto now = shared->runtime.now();
    if (complete_since < 0) complete_since = now;
    if (now - complete_since < turn || self->voter_.current_view().number > 0) continue;
    co_await self->try_found_core(*founders);
  }
}

// A founder may have died before it wrote the view into the register. While no view is written there, no move
// can have been made, so that the installed one is the first and the only one. Moves begin from a written
// view only.
task<bool> group_founder::write_core_view() {
  auto self = shared_from_this();
  auto shared = self->context_;
  auto first = shared->catalog.current_view();
  if (first.number != 1) co_return first.number > 1;
  auto written = co_await shared->catalog.change(reconfiguration::view_register_key(core_group),
                                                 reconfiguration::first_view_if_none(first),
                                                 shared->runtime.now() + second, true);
  co_return written.value.has_value();
}

// Identifies storage machines, if each of them is empty. Nothing: one of them can't found a group now.
task<std::vector<voter_info>> group_founder::identify_empty(std::vector<voter_info> machines) {
  auto self = shared_from_this();
  std::vector<voter_info> none;
  for (auto& machine : machines) {
    rpc::identify_request request{store_group};
    auto result =
        co_await self->context_->endpoint.call(machine.address, std::move(request), identify_timeout);
    auto* reply = std::get_if<rpc::identify_reply>(&result);
    if (!reply || reply->voter.empty() || !reply->empty || !reply->view.empty()) co_return none;
    machine.id = reply->voter;
  }
  co_return machines;
}

// Empty storage machines for the first view: as many as the losses ask for, spread over zones, or what there
// is of them after a while. The group grows later on, but one copy alone bears nothing until then.
task<std::vector<voter_info>> group_founder::storage_founders() {
  auto self = shared_from_this();
  auto shared = self->context_;
  std::vector<voter_info> machines, none;
  for (auto& member : shared->members.live(rpc::node_role::store)) {
    if (member.status != rpc::member_status::alive) continue;
    machines.push_back({unidentified_prefix + member.name, member.inner, member.name, member.zone});
  }
  if (machines.size() != self->storage_seen_) {
    self->storage_seen_ = machines.size();
    self->storage_unchanged_since_ = shared->runtime.now();
  }
  std::vector<voter_observation> nobody;
  auto budget = budget_of(shared->place);
  auto founders = plan_voters(view{}, nobody, machines, budget);
  auto unchanged = shared->runtime.now() - self->storage_unchanged_since_;
  if (machines.empty() || unchanged < settle_time(founders, budget)) co_return none;
  co_return co_await self->identify_empty(std::move(founders));
}

// Writes the first view into the register; nothing if that can't be done now.
task<std::optional<view>> group_founder::first_storage_view() {
  auto self = shared_from_this();
  auto shared = self->context_;
  auto voters = co_await self->storage_founders();
  if (voters.empty()) co_return std::nullopt;
  view first;
  first.group = store_group;
  first.number = 1;
  first.voters = voters;
  auto written = co_await shared->catalog.change(reconfiguration::view_register_key(store_group),
                                                 reconfiguration::first_view_if_none(first),
                                                 shared->runtime.now() + write_timeout, true);
  if (!written.value) co_return std::nullopt;
  shared->logger.info("storage group founded",
                      {{"voters", voters.size()}, {"needed", budget_of(shared->place).voters()}});
  co_return consensus::view_from_text(*written.value);
}

// The view is written into the register first, over nothing only, and installed at its voters after that: two
// owners of the role write one after the other, and the second finds the first one's view. Whoever dies
// between the two steps has installed nothing that the register doesn't name, and the next one goes on.
// Installing first could lay two views over overlapping machines.
task<bool> group_founder::found_storage_group() {
  auto self = shared_from_this();
  auto shared = self->context_;
  auto read = co_await shared->catalog.read(reconfiguration::view_register_key(store_group),
                                            shared->runtime.now() + second);
  if (!read.known()) co_return false;
  std::optional<view> agreed;
  if (read.value)
    agreed = consensus::view_from_text(*read.value);
  else
    agreed = co_await self->first_storage_view();
  if (!agreed) co_return false;
  // Later views are installed by whoever moves them.
  bool installed = agreed->number > 1;
  if (!installed)
    installed =
        co_await reconfiguration::install_chosen(shared->stores, *agreed, shared->runtime.now() + second);
  shared->stores.learn(*agreed);
  co_return installed;
}

task<> group_founder::finish_founding() {
  auto self = shared_from_this();
  auto shared = self->context_;
  bool core_written = false, storage_founded = false;
  while (!core_written || !storage_founded) {
    co_await shared->runtime.sleep(finish_period);
    if (!shared->voter_groups_role.is_owner() || shared->leaving) continue;
    if (!core_written) core_written = co_await self->write_core_view();
    if (!storage_founded) storage_founded = co_await self->found_storage_group();
  }
}

}  // namespace herontally::control_node
