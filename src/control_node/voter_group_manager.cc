#include "control_node/voter_group_manager.h"

#include <algorithm>

namespace herontally::control_node {

using consensus::view;
using consensus::voter_info;

namespace {

constexpr microseconds agreement_timeout = second;
constexpr int max_planning_rounds = 4;
constexpr microseconds no_timeout = -1;

task<std::optional<rpc::identify_reply>> identify(rpc::endpoint endpoint, std::string address,
                                                  std::string group) {
  rpc::identify_request request{std::move(group)};
  auto result = co_await endpoint.call(std::move(address), std::move(request), voter_identify_timeout);
  auto* reply = std::get_if<rpc::identify_reply>(&result);
  if (!reply || reply->voter.empty()) co_return std::nullopt;
  co_return *reply;
}

// Without a lost or a retiring voter a plan can only grow the group or spread it better, which can wait until
// every voter answers. A replacement can't wait.
bool needs_no_replacement(const std::vector<voter_observation>& observed) {
  return std::all_of(observed.begin(), observed.end(), [](auto& observation) {
    return observation.condition == voter_condition::present && !observation.retiring;
  });
}

bool all_answered(const std::vector<voter_observation>& observed) {
  return std::all_of(observed.begin(), observed.end(),
                     [](auto& observation) { return observation.answered; });
}

std::vector<std::string> nodes_of(const std::vector<voter_info>& voters) {
  std::vector<std::string> nodes;
  nodes.reserve(voters.size());
  for (auto& voter : voters) nodes.push_back(voter.node);
  return nodes;
}

}  // namespace

// A voter is lost if it is unreachable for longer than the replacement delay: the membership, by the probes
// of several nodes, holds its node for dead or gone, and it doesn't answer this node either. It is also lost
// if its machine answers under another identity, since then its disk was lost.
task<voter_observation> voter_group_manager::observe(voter_info voter, bool retiring) {
  auto self = shared_from_this();
  auto shared = self->context_;
  voter_observation observation{voter, voter_condition::present, retiring};
  auto answer = co_await identify(shared->endpoint, voter.address, self->name_);
  auto& since = self->unreachable_since_[voter.id];
  if (answer) {
    since = 0;
    observation.answered = true;
    if (answer->voter != voter.id) observation.condition = voter_condition::lost;
    co_return observation;
  }
  auto member = shared->members.find(voter.node);
  bool live = member && member->is_live();
  if (live) since = 0;
  if (!live && since == 0) since = shared->runtime.now();
  bool lost = since > 0 && shared->runtime.now() - since > replacement_delay;
  if (lost) observation.condition = voter_condition::lost;
  co_return observation;
}

task<> voter_group_manager::push_observation(voter_info voter, bool retiring,
                                             runtime::mailbox<voter_observation> results) {
  auto self = shared_from_this();
  auto observation = co_await self->observe(std::move(voter), retiring);
  results.push(std::move(observation));
}

std::set<std::string> voter_group_manager::retiring_nodes() const {
  auto config = context_->current_config();
  if (!config || role_ != rpc::node_role::store) return {};
  return configuration::shared_list(config->document, configuration::retiring_storage);
}

task<std::vector<voter_observation>> voter_group_manager::observe_voters(view agreed_view) {
  auto self = shared_from_this();
  auto runtime = self->context_->runtime;
  auto retiring = self->retiring_nodes();
  runtime::mailbox<voter_observation> results(runtime);
  auto voters = agreed_view.all_voters();
  for (auto& voter : voters)
    runtime.spawn(self->push_observation(voter, retiring.contains(voter.node), results));
  std::vector<voter_observation> observed;
  while (observed.size() < voters.size()) {
    auto observation = co_await results.pop(no_timeout);
    if (observation) observed.push_back(std::move(*observation));
  }
  // In the order of the view, so that the plan doesn't depend on the order of the answers.
  std::vector<voter_observation> ordered;
  for (auto& voter : voters)
    for (auto& observation : observed)
      if (observation.voter.id == voter.id) ordered.push_back(observation);
  co_return ordered;
}

// Machines of the role that are alive, aren't retiring and run no present voter of the group. Their
// identities aren't known yet.
std::vector<voter_info> voter_group_manager::spare_candidates(
    const std::vector<voter_observation>& observed) const {
  auto excluded_nodes = retiring_nodes();
  for (auto& observation : observed)
    if (observation.condition == voter_condition::present) excluded_nodes.insert(observation.voter.node);
  std::vector<voter_info> spares;
  for (auto& member : context_->members.live(role_)) {
    if (member.status != rpc::member_status::alive || excluded_nodes.contains(member.name)) continue;
    spares.push_back({unidentified_prefix + member.name, member.inner, member.name, member.zone});
  }
  return spares;
}

// Fills in the identities of the spares that the plan chose. A machine that can't join (it is unreachable, or
// holds records of an earlier view) is removed from the spares. True if there was one: the caller must plan
// again.
task<bool> voter_group_manager::identify_spares(std::shared_ptr<pending_plan> plan, view agreed_view) {
  auto self = shared_from_this();
  bool any_rejected = false;
  for (auto& voter : plan->target) {
    if (!voter.id.starts_with(unidentified_prefix)) continue;
    std::string unidentified = voter.id;
    auto answer = co_await identify(self->context_->endpoint, voter.address, agreed_view.group);
    bool can_join = answer && answer->empty && answer->view.empty();
    if (can_join) {
      voter.id = answer->voter;
      continue;
    }
    any_rejected = true;
    std::erase_if(plan->spares, [&](auto& spare) { return spare.id == unidentified; });
    bool was_removed =
        answer && !answer->view.empty() && !agreed_view.joint() && !agreed_view.includes(answer->voter);
    if (!was_removed) continue;
    voter.id = answer->voter;
    co_await self->wipe_removed_voter(voter, agreed_view);
  }
  co_return any_rejected;
}

// Installs the view at a voter that the view removed while it was down; the voter then wipes itself and
// becomes a spare. Until a quorum has the view installed, the joint view before it may still need the voter's
// records.
task<> voter_group_manager::wipe_removed_voter(voter_info voter, view agreed_view) {
  auto self = shared_from_this();
  auto deadline = self->context_->runtime.now() + agreement_timeout;
  bool installed = co_await reconfiguration::install_chosen(self->group_, agreed_view, deadline);
  if (installed) co_await reconfiguration::install_at(self->context_->endpoint, voter, agreed_view);
}

// The voters that the group should have now, all with their identities; nothing if no round of planning came
// to a plan whose spares can all join.
task<std::optional<std::vector<voter_info>>> voter_group_manager::plan(view agreed_view) {
  auto self = shared_from_this();
  auto observed = co_await self->observe_voters(agreed_view);
  if (!agreed_view.joint() && needs_no_replacement(observed) && !all_answered(observed))
    co_return agreed_view.voters;
  auto plan = std::make_shared<pending_plan>();
  plan->spares = self->spare_candidates(observed);
  for (int round = 0; round < max_planning_rounds; ++round) {
    plan->target =
        plan_voters(agreed_view, observed, plan->spares, loss_budget_from(self->context_->node_settings));
    bool again = co_await self->identify_spares(plan, agreed_view);
    if (again) continue;
    if (consensus::same_voters(plan->target, agreed_view.voters)) self->report_lost(observed);
    co_return plan->target;
  }
  co_return std::nullopt;
}

// Called when the plan keeps the view's voters: no spare can replace those that are lost. Warns once for
// each set of them.
void voter_group_manager::report_lost(const std::vector<voter_observation>& observed) {
  std::vector<std::string> lost;
  for (auto& observation : observed)
    if (observation.condition == voter_condition::lost) lost.push_back(observation.voter.node);
  auto& logger = context_->logger;
  logger.gauge("herontally_voters_lost{group=\"" + name_ + "\"}", static_cast<double>(lost.size()));
  if (lost == reported_lost_) return;
  reported_lost_ = lost;
  if (!lost.empty())
    logger.warn("voters are lost and no spare has taken their place", {{"group", name_}, {"nodes", lost}});
}

task<bool> voter_group_manager::begin_move(view agreed_view, std::vector<voter_info> target) {
  auto self = shared_from_this();
  auto shared = self->context_;
  auto& role = shared->voter_groups_role;
  // Another owner has acted since this node claimed the role; every move of this node would be refused until
  // it claims the role anew.
  if (agreed_view.epoch > role.epoch()) {
    self->report_refused_move(agreed_view, reconfiguration::move_error::superseded);
    role.step_down(agreed_view.epoch);
    co_return false;
  }
  shared->logger.info("moving a group of voters", {{"group", self->name_},
                                                   {"view", agreed_view.number},
                                                   {"from", nodes_of(agreed_view.voters)},
                                                   {"to", nodes_of(target)}});
  auto result = co_await reconfiguration::begin_move(self->group_, shared->catalog, std::move(target),
                                                     role.epoch(), shared->runtime.now() + move_step_timeout);
  auto* error = std::get_if<reconfiguration::move_error>(&result);
  if (error) self->report_refused_move(agreed_view, *error);
  if (error && *error == reconfiguration::move_error::superseded) role.step_down();
  co_return error == nullptr;
}

void voter_group_manager::report_refused_move(const view& agreed_view,
                                              reconfiguration::move_error error) const {
  auto& logger = context_->logger;
  logger.count("herontally_moves_refused_total{group=\"" + name_ + "\"}");
  logger.warn("a move of a group of voters was refused", {{"group", name_},
                                                          {"why", reconfiguration::describe(error)},
                                                          {"view", agreed_view.number},
                                                          {"view_epoch", agreed_view.epoch},
                                                          {"epoch", context_->voter_groups_role.epoch()}});
}

task<> voter_group_manager::review() {
  auto self = shared_from_this();
  auto shared = self->context_;
  auto agreed_view = co_await reconfiguration::agreed_view(shared->catalog, self->name_,
                                                           shared->runtime.now() + agreement_timeout);
  if (!agreed_view || agreed_view->number == 0) co_return;
  if (self->group_.current_view().number == 0) self->group_.learn_view(*agreed_view);
  // Before any move, so that a group that was bootstrapped too small is reported at once.
  self->shortfall_.update(agreed_view->voters);
  auto target = co_await self->plan(*agreed_view);
  bool voters_change = target && !target->empty() && !consensus::same_voters(*target, agreed_view->voters);
  bool move_finished = !agreed_view->joint() && agreed_view->number <= self->group_.current_view().number;
  if (!voters_change && move_finished) co_return;
  if (voters_change) {
    bool begun = co_await self->begin_move(*agreed_view, *target);
    if (!begun) co_return;
  }
  bool done = co_await reconfiguration::finish_move(self->group_, shared->catalog,
                                                    shared->runtime.now() + move_step_timeout);
  shared->logger.info("group of voters moved",
                      {{"group", self->name_}, {"view", self->group_.current_view().number}, {"done", done}});
}

// If two nodes act as owner at once, their moves conflict in the view's register, which accepts only one.
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
