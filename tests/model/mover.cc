#include "model/clients.h"
#include "model/cluster.h"
#include "reconfiguration/group_move.h"
#include "reconfiguration/view_install.h"

namespace herontally::model {

namespace {

using runtime::millisecond;
using runtime::second;

constexpr runtime::microseconds pause_least = 50 * millisecond;
constexpr std::uint64_t pause_more = 300 * millisecond;
constexpr runtime::microseconds look_timeout = 300 * millisecond, view_timeout = 1 * second;
constexpr runtime::microseconds move_timeout = 6 * second;
constexpr int looks_until_lost = 2;
constexpr std::uint64_t passes_for_each_unneeded_move = 2, passes_for_each_abandoned_move = 6;

// What one storage machine answers when it is asked who it is; nothing when it doesn't.
struct machine_seen {
  consensus::voter_info place;
  bool empty = false;
  bool has_view = false;
};

struct mover {
  shared_context context;
  consensus::proposer group;
  std::int64_t epoch = 0;
  std::map<std::string, machine_seen> seen;  // by node
  std::map<std::string, int> silent;         // looks without an answer, by voter
};
using shared_mover = std::shared_ptr<mover>;

runtime::task<> look_at(shared_mover self, std::string node, std::string address,
                        runtime::mailbox<bool> box) {
  rpc::identify_request request{group_name};
  auto result = co_await self->group.endpoint().call(address, std::move(request), look_timeout);
  auto* reply = std::get_if<rpc::identify_reply>(&result);
  if (reply && !reply->voter.empty()) {
    bool empty = reply->empty && reply->view.empty();
    self->seen[node] = machine_seen{{reply->voter, address, node, "zone"}, empty, !reply->view.empty()};
  }
  box.push(true);
}

runtime::task<> look_around(shared_mover self) {
  auto runtime = self->group.endpoint().runtime();
  runtime::mailbox<bool> box(runtime);
  self->seen.clear();
  auto& names = self->context->storage_names;
  for (std::size_t index = 0; index < names.size(); ++index)
    runtime.spawn(look_at(self, names[index], self->context->addresses[index], box));
  for (std::size_t heard = 0; heard < names.size(); ++heard) co_await box.pop(2 * look_timeout);
}

// Lost at once when another identity answers in its place; after some silence otherwise.
bool is_lost(mover& self, const consensus::voter_info& voter) {
  auto found = self.seen.find(voter.node);
  bool answers = found != self.seen.end();
  if (answers && found->second.place.id != voter.id) return true;
  int& looks = self.silent[voter.id];
  looks = answers ? 0 : looks + 1;
  return looks >= looks_until_lost;
}

std::vector<consensus::voter_info> spares(const mover& self, const consensus::view& agreed) {
  std::vector<consensus::voter_info> list;
  for (auto& [node, each] : self.seen)
    if (each.empty && !agreed.includes(each.place.id)) list.push_back(each.place);
  return list;
}

std::optional<consensus::voter_info> take_any(mover& self, std::vector<consensus::voter_info>& from) {
  if (from.empty()) return std::nullopt;
  auto chosen = from.begin() + static_cast<std::ptrdiff_t>(self.group.endpoint().runtime().draw(from.size()));
  auto place = *chosen;
  from.erase(chosen);
  return place;
}

// The voters that the group should have: lost ones are replaced, and now and then one that is well.
std::vector<consensus::voter_info> wanted_voters(mover& self, const consensus::view& agreed) {
  auto wanted = agreed.voters;
  auto free = spares(self, agreed);
  bool replaced = false;
  for (auto& voter : wanted) {
    if (!is_lost(self, voter)) continue;
    auto arriving = take_any(self, free);
    if (!arriving) continue;
    voter = *arriving;
    replaced = true;
  }
  bool unneeded = !replaced && self.context->moving &&
                  self.group.endpoint().runtime().draw(passes_for_each_unneeded_move) == 0;
  auto arriving = unneeded ? take_any(self, free) : std::nullopt;
  if (arriving) wanted[self.group.endpoint().runtime().draw(wanted.size())] = *arriving;
  return wanted;
}

// Now and then an open move is given up without need.
bool gives_up(mover& self, const consensus::view& agreed) {
  return agreed.joint() && self.context->moving &&
         self.group.endpoint().runtime().draw(passes_for_each_abandoned_move) == 0;
}

runtime::task<> finish(shared_mover self) {
  auto deadline = self->group.endpoint().runtime().now() + move_timeout;
  bool done = co_await reconfiguration::finish_move(self->group, self->group, deadline);
  self->context->moves_finished += done ? 1 : 0;
}

// A machine that a move has left out while it was out of reach is told, so that it wipes itself.
void tell_outdated(mover& self, const consensus::view& agreed) {
  if (agreed.joint()) return;
  // Only once a quorum has the view installed: until then the joint view before it may need what they hold.
  auto tell = [](consensus::proposer group, consensus::voter_info place,
                 consensus::view agreed) -> runtime::task<> {
    auto endpoint = group.endpoint();
    bool installed =
        co_await reconfiguration::install_chosen(group, agreed, endpoint.runtime().now() + view_timeout);
    if (installed) co_await reconfiguration::install_at(endpoint, place, agreed);
  };
  for (auto& [node, each] : self.seen) {
    bool outdated = each.has_view && !agreed.includes(each.place.id);
    if (outdated) self.group.endpoint().runtime().spawn(tell(self.group, each.place, agreed));
  }
}

runtime::task<> pass(shared_mover self) {
  auto runtime = self->group.endpoint().runtime();
  auto agreed = co_await reconfiguration::agreed_view(self->group, group_name, runtime.now() + view_timeout);
  if (!agreed || agreed->number == 0) co_return;
  co_await look_around(self);
  tell_outdated(*self, *agreed);
  auto wanted = wanted_voters(*self, *agreed);
  if (gives_up(*self, *agreed)) wanted = agreed->previous_voters;
  if (!consensus::same_voters(wanted, agreed->voters)) {
    auto begun = co_await reconfiguration::begin_move(self->group, self->group, wanted, self->epoch,
                                                      runtime.now() + move_timeout);
    bool superseded = begun.index() == 1 && std::get<1>(begun) == reconfiguration::move_error::superseded;
    // As a duty holder does that learns of another one: its next duty has a higher epoch.
    if (superseded) self->epoch = ++self->context->epoch;
    if (begun.index() == 1) co_return;
    agreed = std::get<0>(begun);
  }
  bool open = agreed->joint() || agreed->number > self->group.current_view().number;
  if (open) co_await finish(self);
}

}  // namespace

consensus::proposer make_proposer(const shared_context& context, const std::string& machine) {
  consensus::proposer made(make_port(*context->world, machine), group_name);
  made.set_seeds([context] { return context->addresses; });
  return made;
}

runtime::task<> move_forever(shared_context context, consensus::proposer group) {
  auto runtime = group.endpoint().runtime();
  auto self = std::make_shared<mover>(mover{context, group, ++context->epoch, {}, {}});
  while (true) {
    co_await runtime.sleep(pause_least + static_cast<runtime::microseconds>(runtime.draw(pause_more)));
    co_await pass(self);
  }
}

}  // namespace herontally::model
