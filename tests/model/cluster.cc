#include "model/cluster.h"

#include "reconfiguration/group_move.h"

namespace herontally::model {

namespace {

constexpr int buckets = 2;
// Longer than it takes to propose a view, with some delays.
constexpr runtime::microseconds spare_loss_time = 1500 * runtime::millisecond;
constexpr std::int64_t disk_limit_bytes = 4 << 20;

std::string address_of(int number) { return "10.0.0." + std::to_string(number) + ":7000"; }

// A corrupt disk is a lost one: the identity that it had is noted.
runtime::task<> open_voter(std::shared_ptr<replication::voter> voter, std::string identity_before,
                           std::shared_ptr<std::set<std::string>> lost) {
  auto fault = co_await voter->open();
  if (fault) lost->insert(identity_before);
}

runtime::task<> repair(std::shared_ptr<replication::voter> voter) { co_await voter->repair_forever(); }

}  // namespace

rpc::endpoint make_port(simulator::world& world, const std::string& machine) {
  auto silent = [](auto&, auto&) {};
  return rpc::endpoint(world.runtime_of(machine), machine, logging::logger(machine, silent));
}

cluster::cluster(simulator::world& world, const run_options& options) : world_(world) {
  for (int number = 1; number <= options.voters + options.spares; ++number) {
    std::string name = group_name + std::to_string(number);
    names_.push_back(name);
    world_.machine(name, "zone");
    machines_[name].name = name;
    boot(name);
  }
}

std::vector<std::string> cluster::addresses() const {
  std::vector<std::string> list;
  for (std::size_t number = 1; number <= names_.size(); ++number)
    list.push_back(address_of(static_cast<int>(number)));
  return list;
}

std::vector<std::string> cluster::storage_names() const { return names_; }
storage_machine& cluster::storage(const std::string& name) { return machines_.at(name); }

std::vector<consensus::voter_info> cluster::founders(int count) const {
  std::vector<consensus::voter_info> places;
  auto all = addresses();
  for (std::size_t index = 0; index < static_cast<std::size_t>(count); ++index)
    places.push_back({"", all[index], names_[index], "zone"});
  return places;
}

void cluster::boot(const std::string& name) {
  auto& machine = machines_.at(name);
  if (world_.find(name).up) return;
  std::string identity_before = machine.voter ? machine.voter->id() : "";
  world_.boot(name);
  auto endpoint = make_port(world_, name);
  std::size_t position = static_cast<std::size_t>(std::stoi(name.substr(std::string(group_name).size()))) - 1;
  endpoint.listen(addresses()[position]);
  replication::voter_options choice;
  choice.group = group_name;
  choice.bucket_count = buckets;
  choice.limit_bytes = disk_limit_bytes;
  machine.voter = std::make_shared<replication::voter>(endpoint, choice);
  machine.losing_power = false;
  auto runtime = world_.runtime_of(name);
  runtime.spawn(open_voter(machine.voter, identity_before, lost_identities_));
  runtime.spawn(repair(machine.voter));
}

void cluster::kill(const std::string& name, simulator::disk_loss loss) {
  auto& machine = machines_.at(name);
  if (!world_.find(name).up) return;
  if (loss == simulator::disk_loss::all) {
    lost_identities_->insert(machine.voter->id());
    if (!relies_on(name)) spare_losses_.push_back(world_.now());
  }
  bool silent = loss != simulator::disk_loss::none;
  world_.kill(name, loss, silent);
}

bool cluster::impaired(const consensus::voter_info& place) const {
  auto& machine = machines_.at(place.node);
  auto& host = world_.find(place.node);
  bool away = !host.up || host.frozen || machine.isolated || machine.losing_power;
  return away || lost_identities_->count(place.id) > 0;
}

std::map<std::int64_t, std::vector<consensus::view>> cluster::views_seen() const {
  std::map<std::int64_t, std::vector<consensus::view>> seen;
  for (auto& [name, machine] : machines_) {
    if (!world_.find(name).up) continue;
    auto& installed = machine.voter->current_view();
    if (installed.number > 0) seen[installed.number].push_back(installed);
    auto accepted = machine.voter->accepted_value(reconfiguration::view_register_key(group_name));
    if (!accepted) continue;
    auto chosen = consensus::view_from_text(*accepted);
    if (chosen.number > 0) seen[chosen.number].push_back(chosen);
  }
  return seen;
}

std::vector<consensus::view> cluster::relied_on() const {
  // Views before the newest one that a quorum of its voters runs under can't take part any more.
  std::int64_t base = 0;
  auto seen = views_seen();
  for (auto& [number, views] : seen) {
    for (auto& each : views) {
      std::set<std::string> installed;
      for (auto& [name, machine] : machines_) {
        bool runs = world_.find(name).up && machine.voter->current_view().number >= number;
        if (runs) installed.insert(machine.voter->id());
      }
      if (each.quorum([&](const std::string& id) { return installed.count(id) > 0; })) base = number;
    }
  }
  std::vector<consensus::view> list;
  for (auto entry = seen.lower_bound(base); entry != seen.end(); ++entry)
    list.insert(list.end(), entry->second.begin(), entry->second.end());
  return list;
}

bool cluster::relies_on(const std::string& name) const {
  for (auto& each : relied_on())
    for (auto& place : each.all_voters())
      if (place.node == name) return true;
  return false;
}

std::size_t cluster::recent_spare_losses() const {
  std::size_t recent = 0;
  for (auto moment : spare_losses_) recent += world_.now() - moment < spare_loss_time ? 1 : 0;
  return recent;
}

bool cluster::may_lose(const std::string& name) const {
  // A spare counts as well: it may be a voter of the view that is chosen just now.
  std::size_t spares_away = recent_spare_losses() + (relies_on(name) ? 0 : 1);
  for (auto& each : relied_on()) {
    for (auto* set : {&each.voters, &each.previous_voters}) {
      std::size_t away = spares_away;
      for (auto& place : *set) away += place.node == name || impaired(place) ? 1 : 0;
      if (!set->empty() && away * 2 >= set->size()) return false;
    }
  }
  return true;
}

consensus::view cluster::newest_view() const {
  auto seen = views_seen();
  return seen.empty() ? consensus::view{} : seen.rbegin()->second.front();
}

bool cluster::move_open() const {
  std::int64_t newest = 0;
  bool open = false;
  for (auto& [name, machine] : machines_) {
    auto& installed = machine.voter->current_view();
    if (!world_.find(name).up || installed.number < newest) continue;
    newest = installed.number;
    open = !installed.previous_voters.empty();
  }
  return open;
}

std::vector<std::string> cluster::describe() const {
  std::vector<std::string> lines;
  for (auto& [name, machine] : machines_) {
    auto& voter = *machine.voter;
    std::string line = name + " is " + voter.id() + (world_.find(name).up ? "" : " (down)") + ", view " +
                       std::to_string(voter.current_view().number) + ":";
    for (auto& place : voter.current_view().voters) line += " " + place.node + "=" + place.id;
    if (!voter.current_view().previous_voters.empty()) line += " before:";
    for (auto& place : voter.current_view().previous_voters) line += " " + place.node + "=" + place.id;
    lines.push_back(line);
  }
  return lines;
}

bool cluster::spares_usable() const {
  auto newest = newest_view();
  for (auto& [name, machine] : machines_) {
    bool votes = newest.includes(machine.voter->id());
    if (!votes && machine.voter->current_view().number > 0) return false;
  }
  return true;
}

bool cluster::whole() const {
  auto newest = newest_view();
  if (newest.number == 0 || !newest.previous_voters.empty()) return false;
  for (auto& place : newest.voters) {
    if (impaired(place)) return false;
    auto& voter = *machines_.at(place.node).voter;
    if (voter.id() != place.id || voter.current_view() != newest) return false;
  }
  return true;
}

}  // namespace herontally::model
