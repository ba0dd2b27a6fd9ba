#include "membership/member_list.h"

#include <algorithm>
#include <cmath>

#include "hashing/fnv.h"
#include "membership/member_list_state.h"

namespace herontally::membership {

using rpc::member;
using rpc::member_status;

bool supersedes(const member& update, const member& known) {
  if (update.incarnation != known.incarnation) return update.incarnation > known.incarnation;
  if (update.refutations != known.refutations) return update.refutations > known.refutations;
  // The statuses are declared from the best to the worst.
  return update.status > known.status;
}

void member_list::state::put(const member& member) {
  entries[member.name] = entry{member, 0, endpoint.runtime().now()};
  ++version;
}

// Somebody suspects this incarnation of ours, which goes on: say so with a higher number.
void member_list::state::refute(const member& suspicion) {
  bool concerns_us = suspicion.incarnation == self.incarnation && suspicion.status != member_status::alive &&
                     suspicion.refutations >= self.refutations;
  if (!concerns_us || leaving) return;
  self.refutations = suspicion.refutations + 1;
  put(self);
}

void member_list::state::apply(const member& update) {
  bool readable = update.status != member_status::unrecognized && update.role != rpc::node_role::unrecognized;
  if (!readable) {
    endpoint.logger().count("herontally_members_unrecognized_total");
    endpoint.logger().warn("update of a member that this version can't read", {{"member", update.name}});
    return;
  }
  if (update.name == self.name) return refute(update);
  auto found = entries.find(update.name);
  if (found != entries.end() && !supersedes(update, found->second.member)) return;
  bool changed = found == entries.end() || found->second.member.is_live() != update.is_live() ||
                 found->second.member.incarnation != update.incarnation;
  put(update);
  if (!changed) return;
  if (on_change) on_change(update);
  endpoint.logger().info(
      "member", {{"member", update.name}, {"status", rpc::wire_name(update.status)}, {"zone", update.zone}});
}

void member_list::state::suspect(const std::string& name, std::int64_t incarnation) {
  auto found = entries.find(name);
  if (found == entries.end()) return;
  auto update = found->second.member;
  if (update.status != member_status::alive || update.incarnation != incarnation) return;
  update.status = member_status::suspect;
  apply(update);
}

void member_list::state::expire() {
  auto now = endpoint.runtime().now();
  std::vector<member> dead;
  for (auto next = entries.begin(); next != entries.end();) {
    ++visited;
    auto& [member, times_sent, since] = next->second;
    if (member.status == member_status::suspect && now - since > options.suspicion_timeout) {
      dead.push_back(member);
      dead.back().status = member_status::dead;
    }
    bool forgotten = !member.is_live() && now - since > options.retention;
    if (forgotten) ++version;
    next = forgotten ? entries.erase(next) : std::next(next);
  }
  for (auto& update : dead) apply(update);
}

std::int64_t member_list::state::checksum() const {
  constexpr unsigned char separator = 0xff;
  std::uint64_t hash = hashing::fnv_offset_basis;
  auto mix = [&hash](const std::string& text) {
    hash = hashing::fnv1a_step(hashing::fnv1a(text, hash), separator);
  };
  for (auto& [name, each] : entries) {
    ++visited;
    if (!each.member.is_live()) continue;
    mix(name);
    mix(rpc::wire_name(each.member.status));
    mix(std::to_string(each.member.incarnation));
    mix(std::to_string(each.member.refutations));
  }
  return static_cast<std::int64_t>(hash | 1);
}

void member_list::state::report_visits() const {
  endpoint.logger().count("herontally_member_entries_visited_total", static_cast<double>(visited));
  visited = 0;
}

std::vector<member> member_list::state::choose_updates(bool full) {
  // An update is passed on this often, which reaches everybody with near certainty.
  int max_times = 3 * static_cast<int>(std::ceil(std::log2(static_cast<double>(entries.size() + 2))));
  std::vector<entry*> candidates;
  visited += entries.size();
  for (auto& [name, each] : entries)
    if (full || each.times_sent < max_times) candidates.push_back(&each);
  // What was sent least often goes first.
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](entry* left, entry* right) { return left->times_sent < right->times_sent; });
  if (!full && candidates.size() > max_updates_per_message) candidates.resize(max_updates_per_message);
  std::vector<member> updates;
  for (auto* each : candidates) {
    ++each->times_sent;
    updates.push_back(each->member);
  }
  return updates;
}

member_list::member_list(rpc::endpoint endpoint, member self, std::vector<std::string> seeds,
                         probe_options options)
    : state_(std::make_shared<state>(std::move(endpoint), std::move(self), std::move(seeds), options)) {
  // A node's incarnations are ordered by the time at which they began.
  if (state_->self.incarnation == 0) state_->self.incarnation = state_->endpoint.runtime().wall();
  state_->version = state_->self.incarnation;
  state_->put(state_->self);
}

void member_list::start() {
  auto self = state_;
  self->endpoint.serve<rpc::probe_request>(
      [self](rpc::probe_request request) { return self->serve_probe(std::move(request)); });
  self->endpoint.runtime().spawn(self->probe_forever());
}

task<> member_list::leave() {
  constexpr int max_announcements = 4;
  auto self = state_;
  self->leaving = true;
  self->self.status = member_status::left;
  self->put(self->self);
  int announced = 0;
  for (auto& peer : all()) {
    bool reachable = peer.name != self->self.name && peer.status == member_status::alive;
    if (!reachable || announced++ >= max_announcements) continue;
    co_await self->probe(peer.inner, false, self->options.direct_timeout);
  }
}

std::vector<member> member_list::all() const {
  std::vector<member> members;
  for (auto& [name, each] : state_->entries) members.push_back(each.member);
  return members;
}

std::vector<member> member_list::live(rpc::node_role role) const {
  std::vector<member> members;
  for (auto& [name, each] : state_->entries)
    if (each.member.is_live() && each.member.role == role) members.push_back(each.member);
  return members;
}

std::optional<member> member_list::find(const std::string& name) const {
  auto found = state_->entries.find(name);
  if (found == state_->entries.end()) return std::nullopt;
  return found->second.member;
}

const member& member_list::self() const { return state_->self; }

bool member_list::has_ended(const std::string& name, std::int64_t incarnation) const {
  auto found = find(name);
  if (!found) return false;
  return found->incarnation > incarnation || (found->incarnation == incarnation && !found->is_live());
}

void member_list::on_change(std::function<void(const member&)> handler) {
  state_->on_change = std::move(handler);
}
void member_list::apply_updates(const std::vector<member>& updates) {
  for (auto& update : updates) state_->apply(update);
}

std::int64_t member_list::version() const { return state_->version; }

std::vector<member> members_from_text(const std::string& text) {
  auto document = nlohmann::json::parse(text, nullptr, false);
  if (!document.is_array()) return {};
  try {
    return document.get<std::vector<member>>();
  } catch (const nlohmann::json::exception&) {
    // A list that can't be read counts as none.
    return {};
  }
}

member own_entry(const settings::settings& place, rpc::node_role role) {
  member entry;
  entry.name = place.name;
  entry.role = role;
  entry.zone = place.zone;
  entry.inner = place.inner;
  entry.http = place.http;
  return entry;
}

}  // namespace herontally::membership
