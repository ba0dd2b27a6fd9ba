// The periodic inspection of cores and stores, and the checks of the rules in the header.
#include "simulator/control_oracle.h"

#include <algorithm>

#include "control_node/node.h"
#include "control_node/repair_bound.h"
#include "storage_node/node.h"

namespace simulator {

namespace ht = herontally;
namespace rt = herontally::runtime;
using ht::consensus::view;
using ht::consensus::voter_info;
using ht::replication::voter;

namespace {

constexpr microseconds inspection_period = 250 * rt::millisecond;
// A disk whose syncs take longer counts as unhealthy.
constexpr microseconds max_healthy_sync_time = 20 * rt::millisecond;

bool is_disk_healthy(const sim_disk& disk) {
  return !disk.full && !disk.failing && !disk.crashed && disk.crash_after < 0 &&
         disk.sync_time <= max_healthy_sync_time;
}

// A machine at the time of an inspection. `voter` is null while its process hasn't opened its disk, or while
// the machine isn't healthy (see is_healthy).
struct machine_snapshot {
  std::string name;
  std::uint64_t life = 0;
  const struct voter* voter = nullptr;
  bool operator==(const machine_snapshot& other) const {
    return name == other.name && life == other.life && (voter == nullptr) == (other.voter == nullptr);
  }
};
using machine_snapshots = std::vector<machine_snapshot>;

const machine_snapshot* find(const machine_snapshots& machines, const std::string& name) {
  for (auto& each : machines)
    if (each.name == name) return &each;
  return nullptr;
}

// Whether the voter runs under the identity and the view that the group has agreed on.
bool is_present(const machine_snapshots& machines, const view& agreed, const voter_info& member) {
  auto* machine = find(machines, member.node);
  return machine && machine->voter && machine->voter->id() == member.id &&
         machine->voter->current_view().number == agreed.number;
}

view newest_view(const machine_snapshots& machines) {
  view newest;
  for (auto& each : machines)
    if (each.voter && each.voter->current_view().number > newest.number) newest = each.voter->current_view();
  return newest;
}

bool has_quorum(const machine_snapshots& machines) {
  auto newest = newest_view(machines);
  return newest.quorum([&](const std::string& id) {
    return std::any_of(machines.begin(), machines.end(),
                       [&](auto& each) { return each.voter && each.voter->id() == id; });
  });
}

bool all_healthy(const machine_snapshots& machines) {
  return std::all_of(machines.begin(), machines.end(), [](auto& each) { return each.voter != nullptr; });
}

// Why the group isn't whole; empty if it is.
std::string group_defect(const machine_snapshots& machines, const ht::control_node::loss_budget& budget) {
  auto agreed = newest_view(machines);
  if (!has_quorum(machines)) return "it has no quorum";
  std::string number = "view " + std::to_string(agreed.number);
  if (agreed.joint()) return number + " is joint";
  std::size_t present = 0, healthy = 0;
  std::string lost;
  for (auto& each : machines) healthy += each.voter ? 1 : 0;
  for (auto& member : agreed.voters) {
    bool here = is_present(machines, agreed, member);
    present += here ? 1 : 0;
    if (!here) lost += " " + member.node;
  }
  bool has_spare = healthy > present;
  if (!lost.empty() && has_spare) return number + " lacks" + lost;
  auto lacking = ht::control_node::shortfall_of(agreed.voters, budget);
  // With every machine healthy the group can't grow any further.
  bool complete = all_healthy(machines);
  if (lacking.missing_voters > 0 && (healthy >= budget.voters() || complete))
    return number + " has " + std::to_string(agreed.voters.size()) + " voters of " +
           std::to_string(budget.voters());
  if (lacking.over_zone_limit > 0 && complete)
    return number + " has " + std::to_string(lacking.over_zone_limit) + " voters too many in a zone";
  return "";
}

}  // namespace

struct control_oracle::state : std::enable_shared_from_this<control_oracle::state> {
  world& sim_world;
  watched_site site;
  machine_snapshots cores, stores;
  microseconds stable_since = 0;  // the last time a machine failed or returned, or a quorum was missing
  std::map<std::string, microseconds> incomplete_since;  // by group; -1: it is whole
  std::map<std::string, std::int64_t> newest_epoch;      // by role
  // Owners under a superseded epoch, by node, process, role and epoch: since when.
  std::map<std::string, microseconds> superseded_since;

  state(world& world_of, watched_site of) : sim_world(world_of), site(std::move(of)) {}

  bool is_healthy(const std::string& name, const std::vector<std::string>& all) const {
    auto& machine = sim_world.find(name);
    bool reachable = std::none_of(all.begin(), all.end(), [&](auto& other) {
      return sim_world.is_cut(name, other) || sim_world.is_cut(other, name);
    });
    return machine.up && !machine.frozen && machine.node.has_value() && reachable &&
           is_disk_healthy(machine.disk);
  }
  template <class Node>
  machine_snapshots snapshot_of(const std::vector<std::string>& names,
                                const std::vector<std::string>& all) const {
    machine_snapshots seen;
    for (auto& name : names) {
      auto& machine = sim_world.find(name);
      auto* node = is_healthy(name, all) ? std::any_cast<std::shared_ptr<Node>>(&machine.node) : nullptr;
      bool opened = node && !(*node)->voter().id().empty();
      seen.push_back({name, machine.life, opened ? &(*node)->voter() : nullptr});
    }
    return seen;
  }
  void inspect();
  static void inspect_periodically(world& sim_world, std::weak_ptr<state> weak);
  void check_group(const std::string& group, const machine_snapshots& machines);
  void check_roles();
  void check_owner(const machine_snapshot& core, const ht::singleton::role_status& role);
};

void control_oracle::state::check_group(const std::string& group, const machine_snapshots& machines) {
  auto defect = group_defect(machines, site.budget);
  auto& since = incomplete_since.try_emplace(group, -1).first->second;
  if (defect.empty()) {
    since = -1;
    return;
  }
  if (since < stable_since) since = sim_world.now();
  if (sim_world.now() - since <= ht::control_node::repair_bound()) return;
  site.report("WHOLE", "group " + group + " isn't whole after " +
                           std::to_string((sim_world.now() - since) / rt::millisecond) + " ms: " + defect);
  // Reports again only after another repair bound.
  since = sim_world.now();
}

void control_oracle::state::check_owner(const machine_snapshot& core,
                                        const ht::singleton::role_status& role) {
  auto key = core.name + "/" + std::to_string(core.life) + "/" + role.role + "/" + std::to_string(role.epoch);
  if (role.owned && role.epoch_refused)
    site.report("ROLE", core.name + " continues in the role " + role.role + " under epoch " +
                            std::to_string(role.epoch) + ", which was refused");
  auto& newest = newest_epoch[role.role];
  newest = std::max(newest, role.epoch);
  if (!role.owned || role.epoch == newest) {
    superseded_since.erase(key);
    return;
  }
  auto& since = superseded_since.try_emplace(key, sim_world.now()).first->second;
  since = std::max(since, stable_since);
  if (sim_world.now() - since <= ht::control_node::supersession_bound()) return;
  site.report("ROLE", core.name + " continues in the role " + role.role + " under epoch " +
                          std::to_string(role.epoch) + " although " + std::to_string(newest) +
                          " was claimed");
  since = sim_world.now();
}

void control_oracle::state::check_roles() {
  for (auto& core : cores) {
    if (!core.voter) continue;
    auto node = std::any_cast<std::shared_ptr<ht::control_node::node>>(sim_world.find(core.name).node);
    for (auto& role : node->roles()) check_owner(core, role);
  }
}

void control_oracle::state::inspect() {
  auto core_names = site.cores(), store_names = site.stores();
  auto all = core_names;
  all.insert(all.end(), store_names.begin(), store_names.end());
  auto current_cores = snapshot_of<ht::control_node::node>(core_names, all);
  auto current_stores = snapshot_of<ht::storage_node::node>(store_names, all);
  bool stable = current_cores == cores && current_stores == stores;
  cores = std::move(current_cores);
  stores = std::move(current_stores);
  // A quorum that is missing while every machine is healthy won't come back, so that it doesn't restart the
  // repair time.
  bool enough = (has_quorum(cores) || all_healthy(cores)) && (has_quorum(stores) || all_healthy(stores));
  if (!stable || !enough) stable_since = sim_world.now();
  check_group("core", cores);
  check_group("store", stores);
  check_roles();
}

control_oracle::control_oracle(world& sim_world, watched_site site)
    : state_(std::make_shared<state>(sim_world, std::move(site))) {}
control_oracle::~control_oracle() = default;

void control_oracle::start() { state::inspect_periodically(state_->sim_world, state_); }

void control_oracle::state::inspect_periodically(world& sim_world, std::weak_ptr<state> weak) {
  auto here = weak.lock();
  if (!here) return;
  here->inspect();
  sim_world.at(sim_world.now() + inspection_period,
               [&sim_world, weak] { inspect_periodically(sim_world, weak); });
}

}  // namespace simulator
