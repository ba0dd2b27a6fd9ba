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
  // The enum declares the statuses in order of severity: alive, suspect and then the ended ones.
  return update.status > known.status;
}

namespace {

// A `times_sent` above every transmission limit: the update isn't sent any more.
constexpr int no_more_transmissions = 1 << 20;

// How often each node passes an update on. A multiple of log2 of the number of members reaches every member
// with near certainty.
int transmissions_per_update(std::size_t members) {
  return 3 * static_cast<int>(std::ceil(std::log2(static_cast<double>(members + 2))));
}

std::uint64_t checksum_of(const member& member) {
  if (!member.is_live()) return 0;
  constexpr unsigned char separator = 0xff;
  std::uint64_t hash = hashing::fnv_offset_basis;
  auto mix = [&hash](const std::string& text) {
    hash = hashing::fnv1a_step(hashing::fnv1a(text, hash), separator);
  };
  mix(member.name);
  mix(rpc::wire_name(member.status));
  mix(std::to_string(member.incarnation));
  mix(std::to_string(member.refutations));
  return hash;
}

}  // namespace

void member_list::state::put(const member& member) {
  auto [position, inserted] = entries.try_emplace(member.name);
  auto& known = position->second;
  if (inserted) {
    known.position = names.size();
    names.push_back(member.name);
  } else {
    live_checksum -= known.checksum;
    pending.erase({known.times_sent, member.name});
    by_version.erase(known.version);
  }
  known.member = member;
  known.times_sent = 0;
  known.since = endpoint.runtime().now();
  known.version = ++version;
  index(position->first, known);
}

void member_list::state::index(const std::string& name, entry& updated) {
  updated.checksum = checksum_of(updated.member);
  live_checksum += updated.checksum;
  pending.insert({updated.times_sent, name});
  by_version[updated.version] = name;
  if (updated.member.status == member_status::alive)
    not_alive.erase(name);
  else
    not_alive.insert(name);
}

void member_list::state::remove(const std::string& name) {
  auto found = entries.find(name);
  if (found == entries.end()) return;
  auto& removed = found->second;
  live_checksum -= removed.checksum;
  pending.erase({removed.times_sent, name});
  not_alive.erase(name);
  by_version.erase(removed.version);
  // The last name moves into the freed position, so that a removal doesn't shift the others.
  entries.at(names.back()).position = removed.position;
  std::swap(names[removed.position], names.back());
  names.pop_back();
  entries.erase(found);
  ++version;
}

// If another member reports this running incarnation as not alive, a higher refutation number overrides it.
void member_list::state::refute(const member& suspicion) {
  bool concerns_self = suspicion.incarnation == self.incarnation &&
                       suspicion.status != member_status::alive && suspicion.refutations >= self.refutations;
  if (!concerns_self || leaving) return;
  self.refutations = suspicion.refutations + 1;
  put(self);
}

void member_list::state::apply(const member& update) {
  bool recognized =
      update.status != member_status::unrecognized && update.role != rpc::node_role::unrecognized;
  if (!recognized) {
    endpoint.logger().count("herontally_members_unrecognized_total");
    endpoint.logger().warn("ignored a member update with an unrecognized status or role",
                           {{"member", update.name}});
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
  if (!endpoint.logger().logs_info()) return;
  endpoint.logger().info(
      "member changed",
      {{"member", update.name}, {"status", rpc::wire_name(update.status)}, {"zone", update.zone}});
}

void member_list::state::apply_all(const std::vector<member>& updates) {
  bool full_exchange = updates.size() > max_updates_per_message;
  raise_transmission_limit();
  for (auto& update : updates) {
    auto before = version;
    apply(update);
    if (full_exchange && version != before && update.name != self.name) stop_disseminating(update.name);
  }
}

void member_list::state::stop_disseminating(const std::string& name) {
  auto& known = entries.at(name);
  pending.erase({known.times_sent, name});
  known.times_sent = no_more_transmissions;
}

void member_list::state::suspect(const std::string& name, std::int64_t incarnation) {
  auto found = entries.find(name);
  if (found == entries.end()) return;
  auto update = found->second.member;
  if (update.status != member_status::alive || update.incarnation != incarnation) return;
  update.status = member_status::suspect;
  apply(update);
}

void member_list::state::expire_members() {
  auto now = endpoint.runtime().now();
  std::vector<member> dead;
  std::vector<std::string> expired;
  examined += not_alive.size();
  for (auto& name : not_alive) {
    auto& known = entries.at(name);
    auto age = now - known.since;
    if (known.member.status == member_status::suspect && age > options.suspicion_timeout) {
      dead.push_back(known.member);
      dead.back().status = member_status::dead;
    }
    if (!known.member.is_live() && age > options.retention) expired.push_back(name);
  }
  for (auto& name : expired) remove(name);
  for (auto& update : dead) apply(update);
}

std::int64_t member_list::state::checksum() const { return static_cast<std::int64_t>(live_checksum | 1); }

void member_list::state::count_examined() const {
  endpoint.logger().count("herontally_member_entries_examined_total", static_cast<double>(examined));
  examined = 0;
}

// When the list grows, each update needs more transmissions. Updates that had reached the limit of a smaller
// list become pending again.
void member_list::state::raise_transmission_limit() {
  int limit = transmissions_per_update(entries.size());
  if (limit <= max_transmissions) return;
  max_transmissions = limit;
  examined += entries.size();
  for (auto& [name, each] : entries)
    if (each.times_sent < limit) pending.insert({each.times_sent, name});
}

std::vector<member> member_list::state::all_updates() {
  examined += entries.size();
  std::vector<member> updates;
  pending.clear();
  for (auto& [name, each] : entries) {
    ++each.times_sent;
    if (each.times_sent < max_transmissions) pending.insert({each.times_sent, name});
    updates.push_back(each.member);
  }
  return updates;
}

std::vector<member> member_list::state::choose_updates(bool full) {
  raise_transmission_limit();
  if (full) return all_updates();
  std::vector<pending_update> chosen;
  for (auto next = pending.begin(); next != pending.end() && chosen.size() < max_updates_per_message; ++next)
    chosen.push_back(*next);
  examined += chosen.size();
  std::vector<member> updates;
  for (auto& each : chosen) {
    auto& known = entries.at(each.name);
    updates.push_back(known.member);
    pending.erase(each);
    ++known.times_sent;
    if (known.times_sent < max_transmissions) pending.insert({known.times_sent, each.name});
  }
  return updates;
}

std::vector<member> member_list::state::updates_beyond(const std::vector<member>& rows) {
  std::map<std::string_view, const member*> theirs;
  for (auto& row : rows) theirs.emplace(row.name, &row);
  examined += entries.size();
  std::vector<member> updates;
  for (auto& [name, each] : entries) {
    auto found = theirs.find(name);
    if (found == theirs.end() || supersedes(each.member, *found->second)) updates.push_back(each.member);
  }
  return updates;
}

std::string member_list::state::random_address() {
  auto& chosen = entries.at(names[endpoint.runtime().draw(names.size())]);
  return chosen.member.name == self.name ? std::string() : chosen.member.inner;
}

std::vector<std::string> member_list::state::random_alive_addresses(std::size_t limit,
                                                                    const std::string& except) {
  // Draws are random over all entries, so several may be needed for each address where few members are alive.
  constexpr std::size_t max_draws_per_address = 8;
  std::set<std::string> chosen;
  for (std::size_t draw = 0; draw < limit * max_draws_per_address && chosen.size() < limit; ++draw) {
    auto& name = names[endpoint.runtime().draw(names.size())];
    bool other = name != self.name && name != except;
    if (other && !not_alive.contains(name)) chosen.insert(name);
    ++examined;
  }
  std::vector<std::string> addresses;
  addresses.reserve(chosen.size());
  for (auto& name : chosen) addresses.push_back(entries.at(name).member.inner);
  return addresses;
}

member_list::member_list(rpc::endpoint endpoint, member self, std::vector<std::string> seeds,
                         probe_options options)
    : state_(std::make_shared<state>(std::move(endpoint), std::move(self), std::move(seeds), options)) {
  // The wall clock orders the incarnations of a node by their start.
  if (state_->self.incarnation == 0) state_->self.incarnation = state_->endpoint.runtime().wall();
  state_->first_version = state_->version = state_->self.incarnation;
  state_->put(state_->self);
}

void member_list::start() {
  auto self = state_;
  self->endpoint.serve<rpc::probe_request>(
      [self](rpc::probe_request request) { return self->serve_probe(std::move(request)); });
  self->endpoint.runtime().spawn(self->run_failure_detector());
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

std::optional<std::vector<member>> member_list::changed_since(std::int64_t version) const {
  if (version < state_->first_version || version > state_->version) return std::nullopt;
  std::vector<member> changed;
  auto next = state_->by_version.upper_bound(version);
  for (; next != state_->by_version.end(); ++next) changed.push_back(state_->entries.at(next->second).member);
  return changed;
}

std::int64_t member_list::version() const { return state_->version; }

std::vector<member> members_from_text(const std::string& text) {
  auto document = nlohmann::json::parse(text, nullptr, false);
  if (!document.is_array()) return {};
  try {
    return document.get<std::vector<member>>();
  } catch (const nlohmann::json::exception&) {
    // An unreadable list counts as an empty one.
    return {};
  }
}

member self_entry(const settings::settings& node_settings, rpc::node_role role) {
  member entry;
  entry.name = node_settings.name;
  entry.role = role;
  entry.zone = node_settings.zone;
  entry.inner = node_settings.inner;
  entry.http = node_settings.http;
  return entry;
}

}  // namespace herontally::membership
