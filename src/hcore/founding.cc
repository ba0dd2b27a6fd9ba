// The first start: cores found their group from the seeds, then one of them founds the storage group.
#include <algorithm>

#include "hcore/node_state.h"

namespace herontally::hcore {

// The seeds as voters. Nothing until the membership knows them all: a first view must be the same whoever
// writes it, so that it holds nothing but what every founder is certain to see alike.
std::optional<std::vector<consensus::voter_info>> node::state::founders() const {
  std::vector<consensus::voter_info> places;
  for (auto& address : place.seeds) {
    consensus::voter_info founder{"", address, "", ""};
    for (auto& each : known.all())
      if (each.role == rpc::node_role::core && each.inner == address) {
        founder.node = each.name;
        founder.zone = each.zone;
      }
    if (founder.node.empty()) return std::nullopt;
    places.push_back(founder);
  }
  // An even group bears no more losses than the odd one below it.
  if (!places.empty() && places.size() % 2 == 0) places.pop_back();
  return places;
}

// Why several founders, or one that dies half-way, make no second group: all have the same seeds, and a
// voter keeps its identity from its first start on, so that all write the very same first view. A voter
// installs a first view only while it has none, never another one over it; a founder that meets a voter with
// another view gives up. So a half-laid view is finished by whoever comes next, with the same content. Turns
// only spare work: they carry no part of the argument.
task<> node::state::found_core() {
  auto self = shared_from_this();
  auto position = std::find(self->place.seeds.begin(), self->place.seeds.end(), self->place.inner);
  if (!self->place.founding || position == self->place.seeds.end()) co_return;
  auto turn = (position - self->place.seeds.begin()) * 2 * second;
  microseconds complete = -1;
  while (self->voter.current_view().number == 0) {
    co_await self->runtime.sleep(100 * millisecond);
    auto places = self->founders();
    if (!places) continue;
    if (complete < 0) complete = self->runtime.now();
    if (self->runtime.now() - complete < turn || self->voter.current_view().number > 0) continue;
    auto begun = co_await reconfiguration::begin_group(self->endpoint, "core", *places,
                                                       self->runtime.now() + 3 * second);
    if (auto* first = std::get_if<consensus::view>(&begun)) {
      self->catalog.learn(*first);
      self->logger.info("core group founded", {{"voters", first->voters.size()}});
    } else if (std::get<reconfiguration::move_error>(begun) != reconfiguration::move_error::unreachable) {
      // Others have a view that isn't ours: this core is let in like any newcomer.
      co_await self->runtime.sleep(2 * second);
    }
  }
}

// A founder may have died before it wrote the view down in the register. While no view is written there, no
// move can have been made, so that the installed one is the first and the only one.
task<> node::state::write_core_view() {
  auto self = shared_from_this();
  auto first = self->catalog.current_view();
  // Moves begin from a written view only.
  if (first.number > 1) self->core_written = true;
  if (first.number != 1) co_return;
  auto lay = [first](const std::optional<std::string>& current) -> std::optional<std::string> {
    return current ? std::nullopt : std::optional<std::string>(consensus::to_text(first));
  };
  auto written = co_await self->catalog.change(reconfiguration::view_register_key("core"), lay,
                                               self->runtime.now() + second, true);
  self->core_written = written.value.has_value();
}

// Live storage machines, identified once each is empty. Nothing: one of them can't found a group now.
task<std::vector<consensus::voter_info>> node::state::identify_founders(
    std::vector<consensus::voter_info> places) {
  auto self = shared_from_this();
  std::vector<consensus::voter_info> none;
  for (auto& place : places) {
    rpc::identify_request request{"store"};
    auto result = co_await self->endpoint.call(place.address, std::move(request), 500 * millisecond);
    auto* reply = std::get_if<rpc::identify_reply>(&result);
    if (!reply || reply->voter.empty() || !reply->empty || !reply->view.empty()) co_return none;
    place.id = reply->voter;
  }
  co_return places;
}

// Empty storage machines for the first view: as many as the losses ask for, spread over zones, or what there
// is of them after a while. The group grows later on, but one copy alone bears nothing until then.
task<std::vector<consensus::voter_info>> node::state::storage_founders() {
  auto self = shared_from_this();
  std::vector<consensus::voter_info> machines, none;
  for (auto& each : self->known.live(rpc::node_role::store)) {
    if (each.status != rpc::member_status::alive) continue;
    machines.push_back({unidentified_prefix + each.name, each.inner, each.name, each.zone});
  }
  if (machines.size() != self->storage_seen) {
    self->storage_seen = machines.size();
    self->storage_changed = self->runtime.now();
  }
  std::vector<voter_observation> nobody;
  auto founders = plan_voters(consensus::view{}, nobody, machines, self->budget());
  bool complete = shortfall_of(founders, self->budget()) == voter_shortfall{};
  auto settle_time = complete ? 500 * millisecond : founders.size() >= 3 ? 2 * second : 6 * second;
  if (machines.empty() || self->runtime.now() - self->storage_changed < settle_time) co_return none;
  co_return co_await self->identify_founders(std::move(founders));
}

// The view is written into the register first, over nothing only, and installed at its voters after that:
// two holders of the duty write one after the other, and the second finds the first one's view. Whoever dies
// between the two steps has installed nothing that the register doesn't name, and the next one goes on.
// Installing first could lay two views over overlapping machines.
task<bool> node::state::found_stores() {
  auto self = shared_from_this();
  auto key = reconfiguration::view_register_key("store");
  auto read = co_await self->catalog.read(key, self->runtime.now() + second);
  if (!read.known()) co_return false;
  auto text = read.value;
  if (!text) {
    auto voters = co_await self->storage_founders();
    if (voters.empty()) co_return false;
    consensus::view first;
    first.group = "store";
    first.number = 1;
    first.voters = voters;
    auto lay = [first](const std::optional<std::string>& current) -> std::optional<std::string> {
      return current ? std::nullopt : std::optional<std::string>(consensus::to_text(first));
    };
    auto written = co_await self->catalog.change(key, lay, self->runtime.now() + 2 * second, true);
    if (!written.value) co_return false;
    text = written.value;
    self->logger.info("storage group founded", {{"voters", voters.size()}});
  }
  auto agreed = consensus::view_from_text(*text);
  // Later views are installed by whoever moves them.
  bool installed = agreed.number > 1;
  if (!installed)
    installed = co_await reconfiguration::install_chosen(self->stores, agreed, self->runtime.now() + second);
  self->stores.learn(agreed);
  co_return installed;
}

// What the first start may have left undone.
task<> node::state::finish_founding() {
  auto self = shared_from_this();
  if (!self->core_written) co_await self->write_core_view();
  if (self->stores_founded) co_return;
  bool done = co_await self->found_stores();
  self->stores_founded = done;
}

}  // namespace herontally::hcore
