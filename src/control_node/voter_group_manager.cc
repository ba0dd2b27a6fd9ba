#include "control_node/voter_group_manager.h"

#include <algorithm>

namespace herontally::control_node {

using consensus::view;
using consensus::voter_info;

namespace {

constexpr microseconds agreement_timeout = second;
constexpr int planning_rounds = 4;
constexpr microseconds no_timeout = -1;

task<std::optional<rpc::identify_reply>> identify(rpc::endpoint endpoint, std::string address,
                                                  std::string group) {
  rpc::identify_request request{std::move(group)};
  auto result = co_await endpoint.call(std::move(address), std::move(request), voter_identify_timeout);
  auto* reply = std::get_if<rpc::identify_reply>(&result);
  if (!reply || reply->voter.empty()) co_return std::nullopt;
  co_return *reply;
}

// Growth and a better spread can wait for a moment in which every voter answers; replacing a lost or a
// retiring one can't.
bool may_wait(const std::vector<voter_observation>& observed) {
  return std::all_of(observed.begin(), observed.end(),
                     [](auto& seen) { return seen.condition == voter_condition::present && !seen.retiring; });
}

bool all_answered(const std::vector<voter_observation>& observed) {
  return std::all_of(observed.begin(), observed.end(), [](auto& seen) { return seen.answered; });
}

std::vector<std::string> nodes_of(const std::vector<voter_info>& voters) {
  std::vector<std::string> nodes;
  nodes.reserve(voters.size());
  for (auto& voter : voters) nodes.push_back(voter.node);
  return nodes;
}

}  // namespace

// Lost are those that the membership has given up, over several nodes' probes, and that don't answer this
// node; and those whose machine answers under another identity: its disk was lost.
task<voter_observation> voter_group_manager::observe(voter_info voter, bool retiring) {
  auto self = shared_from_this();
  auto shared = self->context_;
  voter_observation seen{voter, voter_condition::present, retiring};
  auto answer = co_await identify(shared->endpoint, voter.address, self->name_);
  auto& since = self->silent_since_[voter.id];
  if (answer) {
    since = 0;
    seen.answered = true;
    if (answer->voter != voter.id) seen.condition = voter_condition::lost;
    co_return seen;
  }
  auto member = shared->members.find(voter.node);
  bool live = member && member->is_live();
  if (live) since = 0;
  if (!live && since == 0) since = shared->runtime.now();
  bool lost = since > 0 && shared->runtime.now() - since > replacement_delay;
  if (lost) seen.condition = voter_condition::lost;
  co_return seen;
}

task<> voter_group_manager::report_observation(voter_info voter, bool retiring,
                                               runtime::mailbox<voter_observation> results) {
  auto self = shared_from_this();
  auto seen = co_await self->observe(std::move(voter), retiring);
  results.push(std::move(seen));
}

std::set<std::string> voter_group_manager::retiring_nodes() const {
  auto config = context_->current_config();
  if (!config || role_ != rpc::node_role::store) return {};
  return configuration::shared_names(config->document, configuration::retiring_storage);
}

task<std::vector<voter_observation>> voter_group_manager::observe_voters(view agreed) {
  auto self = shared_from_this();
  auto runtime = self->context_->runtime;
  auto retiring = self->retiring_nodes();
  runtime::mailbox<voter_observation> results(runtime);
  auto voters = agreed.all_voters();
  for (auto& voter : voters)
    runtime.spawn(self->report_observation(voter, retiring.contains(voter.node), results));
  std::vector<voter_observation> observed;
  while (observed.size() < voters.size()) {
    auto seen = co_await results.pop(no_timeout);
    if (seen) observed.push_back(std::move(*seen));
  }
  // In the order of the view, so that a plan doesn't depend on who answered first.
  std::vector<voter_observation> ordered;
  for (auto& voter : voters)
    for (auto& seen : observed)
      if (seen.voter.id == voter.id) ordered.push_back(seen);
  co_return ordered;
}

// Machines of the role that hold no voter of the group; their identities are still to be asked for.
std::vector<voter_info> voter_group_manager::possible_spares(
    const std::vector<voter_observation>& observed) const {
  auto unfit = retiring_nodes();
  for (auto& seen : observed)
    if (seen.condition == voter_condition::present) unfit.insert(seen.voter.node);
  std::vector<voter_info> spares;
  for (auto& member : context_->members.live(role_)) {
    if (member.status != rpc::member_status::alive || unfit.contains(member.name)) continue;
    spares.push_back({unidentified_prefix + member.name, member.inner, member.name, member.zone});
  }
  return spares;
}

// Fills in the identities of the spares that the plan chose. A machine that can't join (it is out of reach,
// or holds records of an earlier view) is taken off the list, and true returned: plan again.
task<bool> voter_group_manager::identify_chosen(std::shared_ptr<draft> plan, view agreed) {
  auto self = shared_from_this();
  bool any_unfit = false;
  for (auto& voter : plan->wanted) {
    if (!voter.id.starts_with(unidentified_prefix)) continue;
    std::string unidentified = voter.id;
    auto answer = co_await identify(self->context_->endpoint, voter.address, agreed.group);
    bool fit = answer && answer->empty && answer->view.empty();
    if (fit) {
      voter.id = answer->voter;
      continue;
    }
    any_unfit = true;
    std::erase_if(plan->spares, [&](auto& spare) { return spare.id == unidentified; });
    bool outdated = answer && !answer->view.empty() && !agreed.joint() && !agreed.includes(answer->voter);
    if (!outdated) continue;
    voter.id = answer->voter;
    co_await self->dismiss(voter, agreed);
  }
  co_return any_unfit;
}

// A machine that was left out of a view while it was away gets that view installed: it wipes itself and is a
// spare. Until a quorum has the view installed, the joint view before it may still need what the machine
// holds.
task<> voter_group_manager::dismiss(voter_info voter, view agreed) {
  auto self = shared_from_this();
  auto deadline = self->context_->runtime.now() + agreement_timeout;
  bool installed = co_await reconfiguration::install_chosen(self->group_, agreed, deadline);
  if (installed) co_await reconfiguration::install_at(self->context_->endpoint, voter, agreed);
}

// The voters that the group should have now, all with their identities; nothing if that can't be said.
task<std::optional<std::vector<voter_info>>> voter_group_manager::plan(view agreed) {
  auto self = shared_from_this();
  auto observed = co_await self->observe_voters(agreed);
  if (!agreed.joint() && may_wait(observed) && !all_answered(observed)) co_return agreed.voters;
  auto plan = std::make_shared<draft>();
  plan->spares = self->possible_spares(observed);
  for (int round = 0; round < planning_rounds; ++round) {
    plan->wanted = plan_voters(agreed, observed, plan->spares, budget_of(self->context_->place));
    bool again = co_await self->identify_chosen(plan, agreed);
    if (again) continue;
    if (consensus::same_voters(plan->wanted, agreed.voters)) self->report_lost(observed);
    co_return plan->wanted;
  }
  co_return std::nullopt;
}

// Lost voters that are still in the view when the group is reviewed again have found no spare. One warning
// for each set of them.
void voter_group_manager::report_lost(const std::vector<voter_observation>& observed) {
  std::vector<std::string> lost;
  for (auto& seen : observed)
    if (seen.condition == voter_condition::lost) lost.push_back(seen.voter.node);
  auto& logger = context_->logger;
  logger.gauge("herontally_voters_lost{group=\"" + name_ + "\"}", static_cast<double>(lost.size()));
  if (lost == reported_lost_) return;
  reported_lost_ = lost;
  if (!lost.empty())
    logger.warn("voters are lost and no spare has taken their place", {{"group", name_}, {"nodes", lost}});
}

task<bool> voter_group_manager::begin_move(view agreed, std::vector<voter_info> wanted) {
  auto self = shared_from_this();
  auto shared = self->context_;
  auto& role = shared->voter_groups_role;
  // Another owner has acted since our claim, and every move of ours would be refused until we claim anew.
  if (agreed.epoch > role.epoch()) {
    self->report_refusal(agreed, reconfiguration::move_error::superseded);
    role.step_down(agreed.epoch);
    co_return false;
  }
  shared->logger.info("moving a group of voters", {{"group", self->name_},
                                                   {"view", agreed.number},
                                                   {"from", nodes_of(agreed.voters)},
                                                   {"to", nodes_of(wanted)}});
  auto begun = co_await reconfiguration::begin_move(self->group_, shared->catalog, std::move(wanted),
                                                    role.epoch(), shared->runtime.now() + move_step);
  auto* why = std::get_if<reconfiguration::move_error>(&begun);
  if (why) self->report_refusal(agreed, *why);
  if (why && *why == reconfiguration::move_error::superseded) role.step_down();
  co_return why == nullptr;
}

void voter_group_manager::report_refusal(const view& agreed, reconfiguration::move_error why) const {
  auto& logger = context_->logger;
  logger.count("herontally_moves_refused_total{group=\"" + name_ + "\"}");
  logger.warn("a move of a group of voters was refused", {{"group", name_},
                                                          {"why", reconfiguration::describe(why)},
                                                          {"view", agreed.number},
                                                          {"view_epoch", agreed.epoch},
                                                          {"epoch", context_->voter_groups_role.epoch()}});
}

task<> voter_group_manager::review() {
  auto self = shared_from_this();
  auto shared = self->context_;
  auto agreed = co_await reconfiguration::agreed_view(shared->catalog, self->name_,
                                                      shared->runtime.now() + agreement_timeout);
  if (!agreed || agreed->number == 0) co_return;
  if (self->group_.current_view().number == 0) self->group_.learn(*agreed);
  // Before any move, so that a group that was founded too small is reported at once.
  self->shortfall_.take(agreed->voters);
  auto wanted = co_await self->plan(*agreed);
  bool other = wanted && !wanted->empty() && !consensus::same_voters(*wanted, agreed->voters);
  bool settled = !agreed->joint() && agreed->number <= self->group_.current_view().number;
  if (!other && settled) co_return;
  if (other) {
    bool begun = co_await self->begin_move(*agreed, *wanted);
    if (!begun) co_return;
  }
  bool done =
      co_await reconfiguration::finish_move(self->group_, shared->catalog, shared->runtime.now() + move_step);
  shared->logger.info("group of voters moved",
                      {{"group", self->name_}, {"view", self->group_.current_view().number}, {"done", done}});
}

// Two owners at once would only collide in the register, which settles it.
task<> voter_group_manager::run() {
  auto self = shared_from_this();
  while (true) {
    co_await self->context_->runtime.sleep(group_review_period);
    if (!self->is_owner()) continue;
    if (self->directory_) co_await self->directory_->publish();
    co_await self->review();
  }
}

}  // namespace herontally::control_node
