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

constexpr microseconds look_period = 250 * rt::millisecond;
// A disk that takes longer for a sync than this counts as in trouble.
constexpr microseconds longest_calm_sync = 20 * rt::millisecond;

bool is_disk_well(const sim_disk& disk) {
  return !disk.full && !disk.failing && !disk.crashed && disk.crash_after < 0 &&
         disk.sync_time <= longest_calm_sync;
}

// A machine as it is now; `voter` is null while its process hasn't opened its disk or isn't well.
struct machine_seen {
  std::string name;
  std::uint64_t life = 0;
  const struct voter* voter = nullptr;
  bool operator==(const machine_seen& other) const {
    return name == other.name && life == other.life && (voter == nullptr) == (other.voter == nullptr);
  }
};
using machines_seen = std::vector<machine_seen>;

const machine_seen* find(const machines_seen& machines, const std::string& name) {
  for (auto& each : machines)
    if (each.name == name) return &each;
  return nullptr;
}

// Whether the voter runs under the identity and the view that the group has agreed on.
bool is_present(const machines_seen& machines, const view& agreed, const voter_info& place) {
  auto* machine = find(machines, place.node);
  return machine && machine->voter && machine->voter->id() == place.id &&
         machine->voter->current_view().number == agreed.number;
}

view newest_view(const machines_seen& machines) {
  view newest;
  for (auto& each : machines)
    if (each.voter && each.voter->current_view().number > newest.number) newest = each.voter->current_view();
  return newest;
}

bool has_quorum(const machines_seen& machines) {
  auto newest = newest_view(machines);
  return newest.quorum([&](const std::string& id) {
    return std::any_of(machines.begin(), machines.end(),
                       [&](auto& each) { return each.voter && each.voter->id() == id; });
  });
}

bool all_well(const machines_seen& machines) {
  return std::all_of(machines.begin(), machines.end(), [](auto& each) { return each.voter != nullptr; });
}

// What the group lacks; empty if it is whole.
std::string shortfall(const machines_seen& machines, const ht::control_node::loss_budget& budget) {
  auto agreed = newest_view(machines);
  if (!has_quorum(machines)) return "it has no quorum";
  std::string number = "view " + std::to_string(agreed.number);
  if (agreed.joint()) return number + " is a joint one";
  std::size_t present = 0, well = 0;
  std::string lost;
  for (auto& each : machines) well += each.voter ? 1 : 0;
  for (auto& place : agreed.voters) {
    bool here = is_present(machines, agreed, place);
    present += here ? 1 : 0;
    if (!here) lost += " " + place.node;
  }
  bool spare = well > present;
  if (!lost.empty() && spare) return number + " lacks" + lost;
  auto lacking = ht::control_node::shortfall_of(agreed.voters, budget);
  // With every machine well the group is as large as it will ever be.
  bool complete = all_well(machines);
  if (lacking.missing_voters > 0 && (well >= budget.voters() || complete))
    return number + " has " + std::to_string(agreed.voters.size()) + " voters of " +
           std::to_string(budget.voters());
  if (lacking.over_zone_limit > 0 && complete)
    return number + " has " + std::to_string(lacking.over_zone_limit) + " voters too many in a zone";
  return "";
}

}  // namespace

struct control_oracle::state : std::enable_shared_from_this<control_oracle::state> {
  world& where;
  watched_site site;
  machines_seen cores, stores;
  microseconds calm_since = 0;                       // since when no machine went or came
  std::map<std::string, microseconds> short_since;   // by group; -1: it is whole
  std::map<std::string, std::int64_t> newest_epoch;  // by role
  // Owners under a superseded epoch, by node, life, role and epoch.
  std::map<std::string, microseconds> superseded_since;

  state(world& world_of, watched_site of) : where(world_of), site(std::move(of)) {}

  bool is_well(const std::string& name, const std::vector<std::string>& all) const {
    auto& machine = where.find(name);
    bool reached = std::none_of(all.begin(), all.end(), [&](auto& other) {
      return where.is_cut(name, other) || where.is_cut(other, name);
    });
    return machine.up && !machine.frozen && machine.node.has_value() && reached && is_disk_well(machine.disk);
  }
  template <class Node>
  machines_seen look_at(const std::vector<std::string>& names, const std::vector<std::string>& all) const {
    machines_seen seen;
    for (auto& name : names) {
      auto& machine = where.find(name);
      auto* node = is_well(name, all) ? std::any_cast<std::shared_ptr<Node>>(&machine.node) : nullptr;
      bool opened = node && !(*node)->voter().id().empty();
      seen.push_back({name, machine.life, opened ? &(*node)->voter() : nullptr});
    }
    return seen;
  }
  void look();
  static void look_forever(world& where, std::weak_ptr<state> weak);
  void judge_group(const std::string& group, const machines_seen& machines);
  void judge_roles();
  void judge_owner(const machine_seen& core, const ht::singleton::role_status& role);
};

void control_oracle::state::judge_group(const std::string& group, const machines_seen& machines) {
  auto lacking = shortfall(machines, site.budget);
  auto& since = short_since.try_emplace(group, -1).first->second;
  if (lacking.empty()) {
    since = -1;
    return;
  }
  if (since < calm_since) since = where.now();
  if (where.now() - since <= ht::control_node::repair_bound()) return;
  site.report("WHOLE", "group " + group + " isn't whole after " +
                           std::to_string((where.now() - since) / rt::millisecond) + " ms: " + lacking);
  // Once for each bound.
  since = where.now();
}

void control_oracle::state::judge_owner(const machine_seen& core, const ht::singleton::role_status& role) {
  auto key = core.name + "/" + std::to_string(core.life) + "/" + role.role + "/" + std::to_string(role.epoch);
  if (role.owned && role.epoch_refused)
    site.report("ROLE", core.name + " goes on in the role " + role.role + " under epoch " +
                            std::to_string(role.epoch) + ", which was refused");
  auto& newest = newest_epoch[role.role];
  newest = std::max(newest, role.epoch);
  if (!role.owned || role.epoch == newest) {
    superseded_since.erase(key);
    return;
  }
  auto& since = superseded_since.try_emplace(key, where.now()).first->second;
  since = std::max(since, calm_since);
  if (where.now() - since <= ht::control_node::supersession_bound()) return;
  site.report("ROLE", core.name + " goes on in the role " + role.role + " under epoch " +
                          std::to_string(role.epoch) + " though " + std::to_string(newest) + " was claimed");
  since = where.now();
}

void control_oracle::state::judge_roles() {
  for (auto& core : cores) {
    if (!core.voter) continue;
    auto node = std::any_cast<std::shared_ptr<ht::control_node::node>>(where.find(core.name).node);
    for (auto& role : node->roles()) judge_owner(core, role);
  }
}

void control_oracle::state::look() {
  auto core_names = site.cores(), store_names = site.stores();
  auto all = core_names;
  all.insert(all.end(), store_names.begin(), store_names.end());
  auto seen_cores = look_at<ht::control_node::node>(core_names, all);
  auto seen_stores = look_at<ht::storage_node::node>(store_names, all);
  bool calm = seen_cores == cores && seen_stores == stores;
  cores = std::move(seen_cores);
  stores = std::move(seen_stores);
  // A quorum that is missing while every machine is up and in touch is lost for good.
  bool enough = (has_quorum(cores) || all_well(cores)) && (has_quorum(stores) || all_well(stores));
  if (!calm || !enough) calm_since = where.now();
  judge_group("core", cores);
  judge_group("store", stores);
  judge_roles();
}

control_oracle::control_oracle(world& where, watched_site site)
    : state_(std::make_shared<state>(where, std::move(site))) {}
control_oracle::~control_oracle() = default;

void control_oracle::start() { state::look_forever(state_->where, state_); }

void control_oracle::state::look_forever(world& where, std::weak_ptr<state> weak) {
  auto here = weak.lock();
  if (!here) return;
  here->look();
  where.at(where.now() + look_period, [&where, weak] { look_forever(where, weak); });
}

}  // namespace simulator
