#include "model/cluster.h"

#include "reconfiguration/group_move.h"

namespace herontally::model {

namespace {

constexpr int bucket_count = 2;
// Longer than it takes to propose a view when some of its messages are delayed.
constexpr runtime::microseconds spare_loss_window = 1500 * runtime::millisecond;
constexpr std::int64_t disk_limit_bytes = 4 << 20;

std::string storage_address(int number) { return "10.0.0." + std::to_string(number) + ":7000"; }

// A disk that can't be read counts as lost, with the identity that it held.
runtime::task<> open_voter(std::shared_ptr<replication::voter> voter, std::string identity_before,
                           std::shared_ptr<std::set<std::string>> lost) {
  auto fault = co_await voter->open();
  if (fault) lost->insert(identity_before);
}

runtime::task<> repair(std::shared_ptr<replication::voter> voter) { co_await voter->repair_forever(); }

}  // namespace

rpc::endpoint make_endpoint(simulator::world& world, const std::string& machine) {
  auto discard = [](auto&, auto&) {};
  return rpc::endpoint(world.runtime_of(machine), machine, logging::logger(machine, discard));
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
    list.push_back(storage_address(static_cast<int>(number)));
  return list;
}

std::vector<std::string> cluster::storage_names() const { return names_; }
storage_machine& cluster::storage(const std::string& name) { return machines_.at(name); }

std::vector<consensus::voter_info> cluster::founding_voters(int count) const {
  std::vector<consensus::voter_info> founders;
  auto all = addresses();
  for (std::size_t index = 0; index < static_cast<std::size_t>(count); ++index)
    founders.push_back({"", all[index], names_[index], "zone"});
  return founders;
}

void cluster::boot(const std::string& name) {
  auto& machine = machines_.at(name);
  if (world_.find(name).up) return;
  std::string identity_before = machine.voter ? machine.voter->id() : "";
  world_.boot(name);
  auto endpoint = make_endpoint(world_, name);
  std::size_t position = static_cast<std::size_t>(std::stoi(name.substr(std::string(group_name).size()))) - 1;
  endpoint.listen(addresses()[position]);
  replication::voter_options options;
  options.group = group_name;
  options.bucket_count = bucket_count;
  options.limit_bytes = disk_limit_bytes;
  machine.voter = std::make_shared<replication::voter>(endpoint, options);
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
    if (!votes_in_use(name)) spare_loss_times_.push_back(world_.now());
  }
  bool power_lost = loss != simulator::disk_loss::none;
  world_.kill(name, loss, power_lost);
}

bool cluster::impaired(const consensus::voter_info& voter) const {
  auto& machine = machines_.at(voter.node);
  auto& host = world_.find(voter.node);
  bool unavailable = !host.up || host.frozen || machine.isolated || machine.losing_power;
  return unavailable || lost_identities_->count(voter.id) > 0;
}

std::map<std::int64_t, std::vector<consensus::view>> cluster::known_views() const {
  std::map<std::int64_t, std::vector<consensus::view>> known;
  for (auto& [name, machine] : machines_) {
    if (!world_.find(name).up) continue;
    auto& installed = machine.voter->current_view();
    if (installed.number > 0) known[installed.number].push_back(installed);
    auto accepted = machine.voter->accepted_value(reconfiguration::view_register_key(group_name));
    if (!accepted) continue;
    auto chosen = consensus::view_from_text(*accepted);
    if (chosen.number > 0) known[chosen.number].push_back(chosen);
  }
  return known;
}

std::vector<consensus::view> cluster::views_in_use() const {
  // Once a quorum of a view's voters has it installed, the views before it can no longer decide anything.
  std::int64_t base = 0;
  auto known = known_views();
  for (auto& [number, views] : known) {
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
  for (auto entry = known.lower_bound(base); entry != known.end(); ++entry)
    list.insert(list.end(), entry->second.begin(), entry->second.end());
  return list;
}

bool cluster::votes_in_use(const std::string& name) const {
  for (auto& each : views_in_use())
    for (auto& voter : each.all_voters())
      if (voter.node == name) return true;
  return false;
}

std::size_t cluster::recent_spare_losses() const {
  std::size_t recent = 0;
  for (auto moment : spare_loss_times_) recent += world_.now() - moment < spare_loss_window ? 1 : 0;
  return recent;
}

bool cluster::tolerates_loss(const std::string& name) const {
  // A spare counts as well: it may be a voter of a view that is being chosen now.
  std::size_t spares_away = recent_spare_losses() + (votes_in_use(name) ? 0 : 1);
  for (auto& each : views_in_use()) {
    for (auto* set : {&each.voters, &each.previous_voters}) {
      std::size_t unavailable = spares_away;
      for (auto& voter : *set) unavailable += voter.node == name || impaired(voter) ? 1 : 0;
      if (!set->empty() && unavailable * 2 >= set->size()) return false;
    }
  }
  return true;
}

consensus::view cluster::newest_view() const {
  auto known = known_views();
  return known.empty() ? consensus::view{} : known.rbegin()->second.front();
}

bool cluster::move_in_progress() const {
  std::int64_t newest = 0;
  bool joint = false;
  for (auto& [name, machine] : machines_) {
    auto& installed = machine.voter->current_view();
    if (!world_.find(name).up || installed.number < newest) continue;
    newest = installed.number;
    joint = !installed.previous_voters.empty();
  }
  return joint;
}

std::vector<std::string> cluster::describe() const {
  std::vector<std::string> lines;
  for (auto& [name, machine] : machines_) {
    auto& voter = *machine.voter;
    std::string line = name + " is " + voter.id() + (world_.find(name).up ? "" : " (down)") + ", view " +
                       std::to_string(voter.current_view().number) + ":";
    for (auto& each : voter.current_view().voters) line += " " + each.node + "=" + each.id;
    if (!voter.current_view().previous_voters.empty()) line += " previous:";
    for (auto& each : voter.current_view().previous_voters) line += " " + each.node + "=" + each.id;
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

bool cluster::all_voters_in_place() const {
  auto newest = newest_view();
  if (newest.number == 0 || !newest.previous_voters.empty()) return false;
  for (auto& expected : newest.voters) {
    if (impaired(expected)) return false;
    auto& voter = *machines_.at(expected.node).voter;
    if (voter.id() != expected.id || voter.current_view() != newest) return false;
  }
  return true;
}

}  // namespace herontally::model
