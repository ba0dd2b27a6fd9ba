// The movers of a run: replace lost voters as the owner of the group's role does in production, and also
// start and abandon moves without need.
#include "model/clients.h"
#include "model/cluster.h"
#include "reconfiguration/group_move.h"
#include "reconfiguration/view_install.h"

namespace herontally::model {

namespace {

using runtime::millisecond;
using runtime::second;

constexpr runtime::microseconds min_pause = 50 * millisecond;
constexpr std::uint64_t pause_range = 300 * millisecond;
constexpr runtime::microseconds probe_timeout = 300 * millisecond, view_timeout = 1 * second;
constexpr runtime::microseconds move_timeout = 6 * second;
constexpr int missed_probes_until_lost = 2;
// On average, one unneeded move in so many passes, and one abandoned move in so many passes that find one in
// progress.
constexpr std::uint64_t passes_per_unneeded_move = 2, passes_per_abandoned_move = 6;

// A storage machine's reply to an identify request.
struct identified_machine {
  consensus::voter_info info;
  bool empty = false;  // neither records nor a view
  bool has_view = false;
};

struct mover {
  shared_context context;
  consensus::proposer group;
  std::int64_t epoch = 0;
  std::map<std::string, identified_machine> machines;  // those that replied in this pass, by node
  std::map<std::string, int> missed_probes;            // in succession, by the voter's identity
};
using shared_mover = std::shared_ptr<mover>;

runtime::task<> probe_machine(shared_mover self, std::string node, std::string address,
                              runtime::mailbox<bool> finished_probes) {
  rpc::identify_request request{group_name};
  auto result = co_await self->group.endpoint().call(address, std::move(request), probe_timeout);
  auto* reply = std::get_if<rpc::identify_reply>(&result);
  if (reply && !reply->voter.empty()) {
    bool empty = reply->empty && reply->view.empty();
    self->machines[node] =
        identified_machine{{reply->voter, address, node, "zone"}, empty, !reply->view.empty()};
  }
  finished_probes.push(true);
}

runtime::task<> probe_machines(shared_mover self) {
  auto runtime = self->group.endpoint().runtime();
  runtime::mailbox<bool> finished_probes(runtime);
  self->machines.clear();
  auto& names = self->context->storage_names;
  for (std::size_t index = 0; index < names.size(); ++index)
    runtime.spawn(probe_machine(self, names[index], self->context->addresses[index], finished_probes));
  for (std::size_t received = 0; received < names.size(); ++received)
    co_await finished_probes.pop(2 * probe_timeout);
}

// A voter is lost as soon as its machine replies with another identity, and otherwise after several missed
// probes.
bool is_lost(mover& self, const consensus::voter_info& voter) {
  auto found = self.machines.find(voter.node);
  bool replied = found != self.machines.end();
  if (replied && found->second.info.id != voter.id) return true;
  int& missed = self.missed_probes[voter.id];
  missed = replied ? 0 : missed + 1;
  return missed >= missed_probes_until_lost;
}

std::vector<consensus::voter_info> spares(const mover& self, const consensus::view& agreed) {
  std::vector<consensus::voter_info> list;
  for (auto& [node, each] : self.machines)
    if (each.empty && !agreed.includes(each.info.id)) list.push_back(each.info);
  return list;
}

std::optional<consensus::voter_info> take_random(mover& self, std::vector<consensus::voter_info>& from) {
  if (from.empty()) return std::nullopt;
  auto chosen = from.begin() + static_cast<std::ptrdiff_t>(self.group.endpoint().runtime().draw(from.size()));
  auto info = *chosen;
  from.erase(chosen);
  return info;
}

// The voters that the group should have: lost ones are replaced and, if none is and at random, a healthy one.
std::vector<consensus::voter_info> target_voters(mover& self, const consensus::view& agreed) {
  auto target = agreed.voters;
  auto available = spares(self, agreed);
  bool replaced = false;
  for (auto& voter : target) {
    if (!is_lost(self, voter)) continue;
    auto arriving = take_random(self, available);
    if (!arriving) continue;
    voter = *arriving;
    replaced = true;
  }
  bool unneeded = !replaced && self.context->unneeded_moves &&
                  self.group.endpoint().runtime().draw(passes_per_unneeded_move) == 0;
  auto arriving = unneeded ? take_random(self, available) : std::nullopt;
  if (arriving) target[self.group.endpoint().runtime().draw(target.size())] = *arriving;
  return target;
}

// Abandons a move in progress without need, at random.
bool abandons_move(mover& self, const consensus::view& agreed) {
  return agreed.joint() && self.context->unneeded_moves &&
         self.group.endpoint().runtime().draw(passes_per_abandoned_move) == 0;
}

runtime::task<> finish_open_move(shared_mover self) {
  auto deadline = self->group.endpoint().runtime().now() + move_timeout;
  bool done = co_await reconfiguration::finish_move(self->group, self->group, deadline);
  self->context->completed_moves += done ? 1 : 0;
}

// Sends the agreed view to each machine that a move removed while it was unreachable, so that it wipes
// itself.
void notify_removed_machines(mover& self, const consensus::view& agreed) {
  if (agreed.joint()) return;
  // Only once a quorum has the view installed: until then the joint view before it may need the records on
  // them.
  auto notify = [](consensus::proposer group, consensus::voter_info removed,
                   consensus::view agreed) -> runtime::task<> {
    auto endpoint = group.endpoint();
    bool installed =
        co_await reconfiguration::install_chosen(group, agreed, endpoint.runtime().now() + view_timeout);
    if (installed) co_await reconfiguration::install_at(endpoint, removed, agreed);
  };
  for (auto& [node, each] : self.machines) {
    bool outdated = each.has_view && !agreed.includes(each.info.id);
    if (outdated) self.group.endpoint().runtime().spawn(notify(self.group, each.info, agreed));
  }
}

// One pass: probes the machines, then starts or finishes a move if one is needed.
runtime::task<> run_pass(shared_mover self) {
  auto runtime = self->group.endpoint().runtime();
  auto agreed = co_await reconfiguration::agreed_view(self->group, group_name, runtime.now() + view_timeout);
  if (!agreed || agreed->number == 0) co_return;
  co_await probe_machines(self);
  notify_removed_machines(*self, *agreed);
  auto target = target_voters(*self, *agreed);
  if (abandons_move(*self, *agreed)) target = agreed->previous_voters;
  if (!consensus::same_voters(target, agreed->voters)) {
    auto begun = co_await reconfiguration::begin_move(self->group, self->group, target, self->epoch,
                                                      runtime.now() + move_timeout);
    bool superseded = begun.index() == 1 && std::get<1>(begun) == reconfiguration::move_error::superseded;
    // As an owner of a role does that learns of a later owner: it claims the role again, with a higher epoch.
    if (superseded) self->epoch = ++self->context->epoch;
    if (begun.index() == 1) co_return;
    agreed = std::get<0>(begun);
  }
  bool in_progress = agreed->joint() || agreed->number > self->group.current_view().number;
  if (in_progress) co_await finish_open_move(self);
}

}  // namespace

consensus::proposer make_proposer(const shared_context& context, const std::string& machine) {
  consensus::proposer proposer(make_endpoint(*context->world, machine), group_name);
  proposer.set_seeds([context] { return context->addresses; });
  return proposer;
}

runtime::task<> run_mover(shared_context context, consensus::proposer group) {
  auto runtime = group.endpoint().runtime();
  auto self = std::make_shared<mover>(mover{context, group, ++context->epoch, {}, {}});
  while (true) {
    co_await runtime.sleep(min_pause + static_cast<runtime::microseconds>(runtime.draw(pause_range)));
    co_await run_pass(self);
  }
}

}  // namespace herontally::model
