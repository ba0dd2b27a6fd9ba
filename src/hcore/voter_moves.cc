// Keeps the groups of voters as they should be: moves that were begun are finished, lost voters replaced,
// retiring ones emptied, groups grown and spread over zones. Each group has a task of its own, so that a move
// of one that can't go on holds up nothing of the other.
#include <algorithm>

#include "hcore/node_state.h"

namespace herontally::hcore {

// From when the membership gives a voter up, and it doesn't answer us either, until a spare takes its place.
// A machine that is gone for good mustn't be waited for: until it is replaced the group has one loss less to
// bear. One that only restarts, and finds itself replaced, is a spare.
constexpr microseconds replacement_delay = second;
constexpr microseconds review_period = 500 * millisecond;
constexpr microseconds identify_timeout = 400 * millisecond;
// One step of a review; what it leaves undone is planned anew, by what is known then.
constexpr microseconds move_step = 3 * second;
constexpr microseconds agreement_timeout = second;
constexpr int planning_rounds = 4;

static task<std::optional<rpc::identify_reply>> identify(rpc::endpoint endpoint, std::string address,
                                                         std::string group) {
  rpc::identify_request request{std::move(group)};
  auto result = co_await endpoint.call(std::move(address), std::move(request), identify_timeout);
  auto* reply = std::get_if<rpc::identify_reply>(&result);
  if (!reply || reply->voter.empty()) co_return std::nullopt;
  co_return *reply;
}

// Lost are those that the membership has given up, over several nodes' probes, and that don't answer this
// node; and those whose machine answers under another identity: its disk was lost.
task<voter_observation> node::state::observe_voter(consensus::voter_info place, std::string group,
                                                   bool retiring) {
  auto self = shared_from_this();
  voter_observation seen{place, voter_condition::present, retiring};
  auto answer = co_await identify(self->endpoint, place.address, group);
  auto& since = self->gone_since["voter/" + place.id];
  if (answer) {
    since = 0;
    seen.answered = true;
    if (answer->voter != place.id) seen.condition = voter_condition::lost;
    co_return seen;
  }
  auto row = self->known.find(place.node);
  bool live = row && (row->status == rpc::member_status::alive || row->status == rpc::member_status::suspect);
  if (live) since = 0;
  if (!live && since == 0) since = self->runtime.now();
  bool lost = since > 0 && self->runtime.now() - since > replacement_delay;
  if (lost) seen.condition = voter_condition::lost;
  co_return seen;
}

task<std::vector<voter_observation>> node::state::observe_voters(consensus::view agreed,
                                                                 rpc::node_role role) {
  auto self = shared_from_this();
  auto content = self->current();
  std::set<std::string> retiring;
  if (content && role == rpc::node_role::store) retiring = desired::state_of(*content).retiring_storage;
  runtime::mailbox<voter_observation> results(self->runtime);
  auto places = agreed.all_voters();
  for (auto& place : places) {
    auto report = [](std::shared_ptr<state> self, consensus::voter_info place, std::string group,
                     bool retiring, runtime::mailbox<voter_observation> results) -> task<> {
      auto seen = co_await self->observe_voter(std::move(place), std::move(group), retiring);
      results.push(std::move(seen));
    };
    self->runtime.spawn(report(self, place, agreed.group, retiring.count(place.node) > 0, results));
  }
  std::vector<voter_observation> observed;
  while (observed.size() < places.size()) {
    auto seen = co_await results.pop(-1);
    if (seen) observed.push_back(std::move(*seen));
  }
  // In the order of the view, so that a plan doesn't depend on who answered first.
  std::vector<voter_observation> ordered;
  for (auto& place : places)
    for (auto& seen : observed)
      if (seen.place.id == place.id) ordered.push_back(seen);
  co_return ordered;
}

// Machines of the role that hold no place in the group, with an empty identity still to be asked for.
std::vector<consensus::voter_info> node::state::possible_spares(
    const std::vector<voter_observation>& observed, rpc::node_role role) const {
  auto content = current();
  std::set<std::string> unfit;
  if (content && role == rpc::node_role::store) unfit = desired::state_of(*content).retiring_storage;
  for (auto& seen : observed)
    if (seen.condition == voter_condition::present) unfit.insert(seen.place.node);
  std::vector<consensus::voter_info> spares;
  for (auto& row : known.live(role)) {
    if (row.status != rpc::member_status::alive || unfit.count(row.name)) continue;
    spares.push_back({unidentified_prefix + row.name, row.inner, row.name, row.zone});
  }
  return spares;
}

// Fills in the identities of the spares that the plan chose. A machine that can't join (it is out of reach,
// or holds records of an earlier view) is taken off the list, and true returned: plan again.
task<bool> node::state::identify_chosen(consensus::proposer group, std::vector<consensus::voter_info>* wanted,
                                        std::vector<consensus::voter_info>* spares, consensus::view agreed) {
  auto self = shared_from_this();
  bool any_unfit = false;
  for (auto& place : *wanted) {
    if (place.id.rfind(unidentified_prefix, 0) != 0) continue;
    std::string unidentified = place.id;
    auto answer = co_await identify(self->endpoint, place.address, agreed.group);
    bool fit = answer && answer->empty && answer->view.empty();
    if (fit) {
      place.id = answer->voter;
      continue;
    }
    any_unfit = true;
    std::erase_if(*spares, [&](auto& spare) { return spare.id == unidentified; });
    bool outdated = answer && !answer->view.empty() && !agreed.joint() && !agreed.includes(answer->voter);
    if (!outdated) continue;
    place.id = answer->voter;
    co_await self->dismiss(group, place, agreed);
  }
  co_return any_unfit;
}

// A machine that was left out of a view while it was away is told so: it wipes itself and is a spare. Until a
// quorum has the view installed, the joint view before it may still need what the machine holds.
task<> node::state::dismiss(consensus::proposer group, consensus::voter_info place, consensus::view agreed) {
  auto self = shared_from_this();
  bool installed =
      co_await reconfiguration::install_chosen(group, agreed, self->runtime.now() + agreement_timeout);
  if (installed) co_await reconfiguration::install_at(self->endpoint, place, agreed);
}

// Growth and a better spread can wait for a moment in which every voter answers; replacing a lost or a
// retiring one can't.
static bool may_wait(const std::vector<voter_observation>& observed) {
  return std::all_of(observed.begin(), observed.end(),
                     [](auto& seen) { return seen.condition == voter_condition::present && !seen.retiring; });
}
static bool all_answered(const std::vector<voter_observation>& observed) {
  return std::all_of(observed.begin(), observed.end(), [](auto& seen) { return seen.answered; });
}

// The voters that the group should have now, all with their identities.
task<std::optional<std::vector<consensus::voter_info>>> node::state::plan_group(consensus::proposer group,
                                                                                consensus::view agreed,
                                                                                rpc::node_role role) {
  auto self = shared_from_this();
  auto observed = co_await self->observe_voters(agreed, role);
  if (!agreed.joint() && may_wait(observed) && !all_answered(observed)) co_return agreed.voters;
  auto spares = self->possible_spares(observed, role);
  for (int round = 0; round < planning_rounds; ++round) {
    auto wanted = plan_voters(agreed, observed, spares, self->budget());
    bool again = co_await self->identify_chosen(group, &wanted, &spares, agreed);
    if (!again) co_return wanted;
  }
  co_return std::nullopt;
}

loss_budget node::state::budget() const { return {place.machine_losses, place.zone_losses}; }

// One warning for each way in which a group falls short, and a gauge to go with it.
void node::state::report_shortfall(const consensus::view& agreed) {
  auto short_of = shortfall_of(agreed.voters, budget());
  logger.gauge("herontally_voters_lacking{group=\"" + agreed.group + "\"}",
               static_cast<double>(short_of.voters));
  logger.gauge("herontally_voters_crowded{group=\"" + agreed.group + "\"}",
               static_cast<double>(short_of.crowded));
  auto& told = shortfalls[agreed.group];
  if (told == short_of) return;
  told = short_of;
  if (short_of == voter_shortfall{}) return;
  logger.warn("a group of voters can't bear all losses that it should",
              {{"group", agreed.group}, {"lacking", short_of.voters}, {"crowded", short_of.crowded}});
}

static std::vector<std::string> nodes_of(const std::vector<consensus::voter_info>& places) {
  std::vector<std::string> nodes;
  for (auto& place : places) nodes.push_back(place.node);
  return nodes;
}

task<> node::state::review_group(consensus::proposer group, std::string name, rpc::node_role role) {
  auto self = shared_from_this();
  auto agreed =
      co_await reconfiguration::agreed_view(self->catalog, name, self->runtime.now() + agreement_timeout);
  if (!agreed || agreed->number == 0) co_return;
  if (group.current_view().number == 0) group.learn(*agreed);
  auto wanted = co_await self->plan_group(group, *agreed, role);
  if (wanted && !wanted->empty() && !consensus::same_voters(*wanted, agreed->voters)) {
    self->logger.info("moving a group of voters", {{"group", name},
                                                   {"view", agreed->number},
                                                   {"from", nodes_of(agreed->voters)},
                                                   {"to", nodes_of(*wanted)}});
    auto begun = co_await reconfiguration::begin_move(
        group, self->catalog, *wanted, self->voters_duty.epoch(), self->runtime.now() + move_step);
    if (std::holds_alternative<reconfiguration::move_error>(begun)) co_return;
  } else if (!agreed->joint() && agreed->number <= group.current_view().number) {
    self->report_shortfall(*agreed);
    co_return;
  }
  bool done = co_await reconfiguration::finish_move(group, self->catalog, self->runtime.now() + move_step);
  self->logger.info("group of voters moved",
                    {{"group", name}, {"view", group.current_view().number}, {"done", done}});
}

task<> node::state::keep_group(consensus::proposer group, std::string name, rpc::node_role role) {
  auto self = shared_from_this();
  while (true) {
    co_await self->runtime.sleep(review_period);
    // Two holders at once would only collide in the register, which settles it.
    if (!self->voters_duty.mine() || self->leaving) continue;
    if (role == rpc::node_role::store) co_await self->publish_storage();
    co_await self->review_group(group, name, role);
  }
}

task<> node::state::keep_founding() {
  auto self = shared_from_this();
  while (self->surroundings && !(self->core_written && self->stores_founded)) {
    co_await self->runtime.sleep(review_period);
    if (!self->voters_duty.mine() || self->leaving) continue;
    co_await self->finish_founding();
  }
}

}  // namespace herontally::hcore
