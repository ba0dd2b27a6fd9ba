#include "control_node/group_founder.h"

#include <algorithm>

namespace herontally::control_node {

using consensus::view;
using consensus::voter_info;

namespace {

constexpr microseconds check_period = 100 * millisecond;
// Each seed starts this much later than the seed before it, so that usually only one does the work. Nothing
// else depends on it.
constexpr microseconds start_stagger = 2 * second;
constexpr microseconds bootstrap_timeout = 3 * second;
constexpr microseconds retry_delay = 2 * second;
// A call that installs a view has ended, or its process has, before this time.
constexpr microseconds late_installation_time = 4 * second;
constexpr microseconds completion_check_period = 500 * millisecond;
constexpr microseconds identify_timeout = 500 * millisecond;
constexpr microseconds write_timeout = 2 * second;
constexpr microseconds missing_group_report_period = 5 * second;

// How long the number of storage machines must have stayed the same before a first view is made of them:
// shorter if the voters cover the loss budget, longest if they can't tolerate any loss.
microseconds required_stable_time(const std::vector<voter_info>& founders, const loss_budget& budget) {
  constexpr std::size_t min_fault_tolerant_size = 3;
  bool complete = shortfall_of(founders, budget) == voter_shortfall{};
  if (complete) return 500 * millisecond;
  return founders.size() >= min_fault_tolerant_size ? 2 * second : 6 * second;
}

}  // namespace

// The seeds of the first start as voters; nothing until the membership knows them all. The first view must be
// the same whichever core writes it, so it contains only what every core is certain to know alike.
std::optional<std::vector<voter_info>> group_founder::initial_core_voters() const {
  std::vector<voter_info> founders;
  for (auto& address : voter_.claim().seeds) {
    voter_info founder{"", address, "", ""};
    for (auto& member : context_->members.all()) {
      if (member.role != rpc::node_role::core || member.inner != address) continue;
      founder.node = member.name;
      founder.zone = member.zone;
    }
    if (founder.node.empty()) return std::nullopt;
    founders.push_back(founder);
  }
  // A group of an even size tolerates no more losses than one with a voter less.
  if (!founders.empty() && founders.size() % 2 == 0) founders.pop_back();
  return founders;
}

// Nothing if a seed can't be reached, or has the claim of another first start.
task<std::optional<group_founder::claim_survey>> group_founder::survey_claims() {
  auto self = shared_from_this();
  auto claim = self->voter_.claim();
  claim_survey survey;
  for (auto& address : claim.seeds) {
    rpc::founding_claim_request request{core_group};
    auto result = co_await self->context_->endpoint.call(address, std::move(request), identify_timeout);
    auto* reply = std::get_if<rpc::founding_claim_reply>(&result);
    bool has_claim = reply && reply->seeds == claim.seeds;
    if (!reply || (!has_claim && !reply->seeds.empty())) {
      auto* reason = reply ? "a seed has another claim" : "a seed can't be reached";
      self->founding_log_.failed(std::string(reason) + ": " + address);
      co_return std::nullopt;
    }
    (has_claim ? survey.with_claim : survey.without_claim).push_back(address);
  }
  co_return survey;
}

task<bool> group_founder::has_no_view(std::string address) {
  auto self = shared_from_this();
  rpc::identify_request request{core_group};
  auto result = co_await self->context_->endpoint.call(address, std::move(request), identify_timeout);
  auto* reply = std::get_if<rpc::identify_reply>(&result);
  co_return reply && !reply->voter.empty() && reply->empty && reply->view.empty();
}

// A seed without the claim ended before it had stored that, or has lost its disk, which may have held the
// group's first view. It can't tell which. But no value was ever chosen under a first view that a majority of
// its voters don't have installed, so that a majority with the claim and without a view may found the group,
// together with empty seeds. This must hold for a while, since calls of a founder that has ended may still be
// under way and install its view.
task<bool> group_founder::confirm_claims(std::vector<voter_info> founders) {
  auto self = shared_from_this();
  auto now = self->context_->runtime.now();
  auto confirmed_since = std::exchange(self->majority_confirmed_since_, -1);
  auto survey = co_await self->survey_claims();
  if (!survey) co_return false;
  if (survey->without_claim.empty()) co_return true;
  std::size_t confirmed = 0;
  for (auto& address : survey->with_claim) {
    bool founds = std::any_of(founders.begin(), founders.end(),
                              [&](const voter_info& founder) { return founder.address == address; });
    if (!founds) continue;
    bool unused = co_await self->has_no_view(address);
    confirmed += unused ? 1 : 0;
  }
  bool others_empty = true;
  for (auto& address : survey->without_claim)
    others_empty = co_await self->has_no_view(address) && others_empty;
  if (confirmed * 2 <= founders.size() || !others_empty) {
    self->founding_log_.failed("a seed has no claim from the first start: " + survey->without_claim.front());
    co_return false;
  }
  self->majority_confirmed_since_ = confirmed_since < 0 ? now : confirmed_since;
  self->founding_log_.failed("waiting, since a seed has no claim: " + survey->without_claim.front());
  co_return now - self->majority_confirmed_since_ >= late_installation_time;
}

task<> group_founder::try_bootstrap_core_group(std::vector<voter_info> founders) {
  auto self = shared_from_this();
  auto shared = self->context_;
  bool confirmed = co_await self->confirm_claims(founders);
  if (!confirmed) {
    co_await shared->runtime.sleep(retry_delay);
    co_return;
  }
  auto result = co_await reconfiguration::bootstrap_group(shared->endpoint, core_group, founders,
                                                          shared->runtime.now() + bootstrap_timeout);
  if (auto* first = std::get_if<view>(&result)) {
    shared->catalog.learn_view(*first);
    shared->logger.info("core group founded", {{"voters", first->voters.size()},
                                               {"needed", loss_budget_from(shared->node_settings).voters()}});
    co_return;
  }
  // Other cores have a different view already. Its manager adds this core like any new machine.
  bool refused = std::get<reconfiguration::move_error>(result) != reconfiguration::move_error::unreachable;
  if (refused) co_await shared->runtime.sleep(retry_delay);
}

// Without a claim this core waits to be added to a group, as every machine that joins later.
//
// Several cores that bootstrap at once, or one that fails half-way, can't create a second group: all have the
// same seeds, and a voter keeps its identity from its first start on, so all of them write the same first
// view. A voter installs a first view only while it has none and never replaces it by another first view; a
// core that finds a voter with another view gives up. So the next core completes a partly installed view with
// the same content. The staggered start isn't needed for this to hold.
task<> group_founder::found_core_group() {
  auto self = shared_from_this();
  auto shared = self->context_;
  auto& seeds = self->voter_.claim().seeds;
  auto position = std::find(seeds.begin(), seeds.end(), shared->node_settings.inner);
  if (position == seeds.end()) co_return;
  auto start_delay = (position - seeds.begin()) * start_stagger;
  microseconds all_known_since = -1;
  while (self->voter_.current_view().number == 0) {
    co_await shared->runtime.sleep(check_period);
    // A voter that a view has left out has no claim any more.
    if (self->voter_.claim().seeds.empty()) co_return;
    auto founders = self->initial_core_voters();
    if (!founders) continue;
    auto now = shared->runtime.now();
    if (all_known_since < 0) all_known_since = now;
    if (now - all_known_since < start_delay || self->voter_.current_view().number > 0) continue;
    co_await self->try_bootstrap_core_group(*founders);
  }
}

// Why no configuration can be read or changed yet: on a machine that waits, nothing else tells.
task<> group_founder::report_missing_group() {
  auto self = shared_from_this();
  auto shared = self->context_;
  while (true) {
    co_await shared->runtime.sleep(missing_group_report_period);
    if (shared->catalog.current_view().number > 0) co_return;
    shared->logger.warn("no core group is known",
                        {{"has_claim", !self->voter_.claim().seeds.empty()},
                         {"cores_known", shared->members.live(rpc::node_role::core).size()},
                         {"seeds", shared->node_settings.seeds}});
  }
}

// Writes the installed first view into its register, since the core that installed it may have failed before
// it did so. Moves begin only from a view in the register: while there is none, no move can have been made,
// and the installed view is the first and only one.
task<bool> group_founder::write_core_view() {
  auto self = shared_from_this();
  auto shared = self->context_;
  auto first = shared->catalog.current_view();
  if (first.number != 1) co_return first.number > 1;
  auto written = co_await shared->catalog.change(reconfiguration::view_register_key(core_group),
                                                 reconfiguration::set_first_view_if_absent(first),
                                                 shared->runtime.now() + second, true);
  co_return written.value.has_value();
}

// Fills in the identities of the storage machines. Empty if one of them doesn't answer, holds data or has a
// view already.
task<std::vector<voter_info>> group_founder::identify_empty_machines(std::vector<voter_info> machines) {
  auto self = shared_from_this();
  std::vector<voter_info> no_voters;
  for (auto& machine : machines) {
    rpc::identify_request request{store_group};
    auto result =
        co_await self->context_->endpoint.call(machine.address, std::move(request), identify_timeout);
    auto* reply = std::get_if<rpc::identify_reply>(&result);
    if (!reply || reply->voter.empty() || !reply->empty || !reply->view.empty()) co_return no_voters;
    machine.id = reply->voter;
  }
  co_return machines;
}

// Empty storage machines for the first view, spread over zones: as many as the loss budget asks for or, after
// a longer wait, as many as there are. The group grows later, but tolerates no loss while it has a single
// voter, which is why a small group waits longest.
task<std::vector<voter_info>> group_founder::initial_storage_voters() {
  auto self = shared_from_this();
  auto shared = self->context_;
  std::vector<voter_info> machines, no_voters;
  for (auto& member : shared->members.live(rpc::node_role::store)) {
    if (member.status != rpc::member_status::alive) continue;
    machines.push_back({unidentified_prefix + member.name, member.inner, member.name, member.zone});
  }
  if (machines.size() != self->storage_count_) {
    self->storage_count_ = machines.size();
    self->storage_count_stable_since_ = shared->runtime.now();
  }
  std::vector<voter_observation> no_observations;
  auto budget = loss_budget_from(shared->node_settings);
  auto founders = plan_voters(view{}, no_observations, machines, budget);
  auto stable_time = shared->runtime.now() - self->storage_count_stable_since_;
  if (machines.empty() || stable_time < required_stable_time(founders, budget)) co_return no_voters;
  co_return co_await self->identify_empty_machines(std::move(founders));
}

// Writes the storage group's first view into its register and returns the view that the register then
// contains; nothing if that can't be done now.
task<std::optional<view>> group_founder::write_first_storage_view() {
  auto self = shared_from_this();
  auto shared = self->context_;
  auto voters = co_await self->initial_storage_voters();
  if (voters.empty()) co_return std::nullopt;
  view first;
  first.group = store_group;
  first.number = 1;
  first.voters = voters;
  auto written = co_await shared->catalog.change(reconfiguration::view_register_key(store_group),
                                                 reconfiguration::set_first_view_if_absent(first),
                                                 shared->runtime.now() + write_timeout, true);
  if (!written.value) co_return std::nullopt;
  shared->logger.info(
      "storage group founded",
      {{"voters", voters.size()}, {"needed", loss_budget_from(shared->node_settings).voters()}});
  co_return consensus::view_from_text(*written.value);
}

// The view is written into the register first, only if that is empty, and installed at its voters afterwards.
// So of two owners of the role the second one finds the first one's view. An owner that fails between the two
// steps has installed nothing that the register doesn't contain, and the next owner continues. Installing
// first could give two different views to overlapping sets of machines.
task<bool> group_founder::bootstrap_storage_group() {
  auto self = shared_from_this();
  auto shared = self->context_;
  auto read = co_await shared->catalog.read(reconfiguration::view_register_key(store_group),
                                            shared->runtime.now() + second);
  if (!read.known()) co_return false;
  std::optional<view> agreed_view;
  if (read.value)
    agreed_view = consensus::view_from_text(*read.value);
  else
    agreed_view = co_await self->write_first_storage_view();
  if (!agreed_view) co_return false;
  // Later views are installed by the move that makes them.
  bool installed = agreed_view->number > 1;
  if (!installed)
    installed = co_await reconfiguration::install_chosen(shared->stores, *agreed_view,
                                                         shared->runtime.now() + second);
  shared->stores.learn_view(*agreed_view);
  co_return installed;
}

task<> group_founder::finish_founding() {
  auto self = shared_from_this();
  auto shared = self->context_;
  bool core_written = false, storage_founded = false;
  while (!core_written || !storage_founded) {
    co_await shared->runtime.sleep(completion_check_period);
    if (!shared->voter_groups_role.is_owner() || shared->leaving) continue;
    if (!core_written) core_written = co_await self->write_core_view();
    if (!storage_founded) storage_founded = co_await self->bootstrap_storage_group();
  }
}

}  // namespace herontally::control_node
