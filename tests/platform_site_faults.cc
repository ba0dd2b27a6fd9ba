// The kinds of faults and how each is injected.
#include "platform_site_faults.h"

#include <algorithm>
#include <set>

namespace herontally::platform_simulator {

const std::vector<std::string>& fault_kinds() {
  static const std::vector<std::string> kinds{
      "edge_kill",    "edge_power",         "edge_freeze", "edge_roll",    "edge_cut",       "edge_oneway",
      "core_kill",    "core_power",         "core_freeze", "core_roll",    "core_cut",       "core_wipe",
      "core_replace", "store_kill",         "store_power", "store_freeze", "store_roll",     "store_cut",
      "store_wipe",   "store_replace",      "store_add",   "store_retire", "engine_release", "engine_crash",
      "engine_chill", "engine_mischief",    "evacuate",    "change",       "amend",          "race",
      "invalid",      "acknowledged_power", "all_power",   "all_kill",     "disk_lost",      "zone_power",
      "core_isolated"};
  return kinds;
}

const std::vector<std::string>& named_fault_kinds() {
  static const std::vector<std::string> kinds{"core_wipe_many", "halves"};
  return kinds;
}

static std::string one_of(site& target, const std::vector<std::string>& names) {
  return names[target.world().draw(names.size())];
}

static void inject_machine_fault(site& target, const std::string& role, const std::string& what) {
  auto& world = target.world();
  auto names = target.machines_of_role(role);
  // A machine has one fault at a time.
  std::erase_if(names, [&](auto& each) { return target.rule_oracle().has_fault(each); });
  if (names.empty()) return;
  auto name = one_of(target, names);
  // Cores and stores hold data that must be copied back from others: only one has a fault at a time, for a
  // short time.
  auto span = (500 + static_cast<microseconds>(world.draw(3000))) * millisecond;
  target.log_event(what + " " + name);
  auto later = [&world, span](std::function<void()> work) { world.at(world.now() + span, std::move(work)); };
  if (what == "kill" || what == "power" || what == "wipe") {
    auto loss = what == "kill"    ? simulator::disk_loss::none
                : what == "power" ? simulator::disk_loss::unsynced
                                  : simulator::disk_loss::all;
    target.kill(name, loss, what != "kill");
    later([&target, name] { target.boot(name); });
  } else if (what == "freeze") {
    target.freeze(name, true);
    later([&target, name] { target.freeze(name, false); });
  } else if (what == "cut" || what == "oneway") {
    target.cut_network(name, what == "cut");
    later([&target, name] { target.heal(name); });
  } else if (what == "roll") {
    target.restart_with_notice(name);
  } else if (what == "replace") {
    target.kill(name, simulator::disk_loss::all, true);
    later([&target, name, role] {
      auto zone = target.zone_of(name);
      target.remove_machine(name);
      target.boot(target.add(role, zone));
    });
  }
}

static task<> change_and_cut(site* target) {
  co_await target->change(target->next_version(target->acknowledged_version), false);
  // The core that acknowledged may lose power right after the acknowledgement.
  target->world().at(target->world().now(), [target] { inject_machine_fault(*target, "core", "power"); });
}

static task<> evacuate_for(site* target, std::string zone) {
  // With two contradicting calls in progress at once it would be undefined which one takes effect.
  if (!target->evacuations.insert(zone).second) co_return;
  auto runtime = target->world().runtime_of("operator");
  co_await target->change_evacuation(zone, true);
  co_await runtime.sleep(9 * second);
  bool ended = co_await target->change_evacuation(zone, false);
  if (ended) target->evacuations.erase(zone);
}

void change(site& target, const std::string& kind) {
  auto runtime = target.world().runtime_of("operator");
  auto next = target.next_version(target.acknowledged_version);
  if (kind == "invalid") {
    auto body = json::parse(next.body);
    body["routing"][0]["backend"] = "nowhere";
    next.body = body.dump();
    next.valid = false;
  }
  auto spawn = [&](version sent, bool partial) {
    runtime.spawn([](site* self, version sent, bool partial) -> task<> {
      co_await self->change(sent, partial);
    }(&target, sent, partial));
  };
  spawn(next, kind == "amend");
  if (kind == "race") spawn(target.next_version(target.acknowledged_version), true);
}

// All machines of a zone that have no fault lose power and start again together.
static void lose_zone(site& target) {
  auto& world = target.world();
  std::string zone = target.random_zone();
  target.log_event("power of " + zone);
  std::vector<std::string> lost;
  for (auto* role : {"core", "store", "edge"})
    for (auto& name : target.machines_of_role(role))
      if (target.zone_of(name) == zone && !target.rule_oracle().has_fault(name)) lost.push_back(name);
  for (auto& name : lost) target.kill(name, simulator::disk_loss::unsynced, true);
  world.at(world.now() + 1500 * millisecond, [&target, lost] {
    for (auto& name : lost) target.boot(name);
  });
}

// As many cores as may be lost at once lose their disks and start again together, each without any knowledge
// of the others.
static void wipe_many_cores(site& target) {
  auto& world = target.world();
  auto cores = target.machines_of_role("core");
  std::set<std::string> lost;
  while (lost.size() < static_cast<std::size_t>(target.losses())) lost.insert(one_of(target, cores));
  for (auto& name : lost) {
    target.log_event("wipe " + name);
    target.kill(name, simulator::disk_loss::all, true);
  }
  world.at(world.now() + 900 * millisecond, [&target, lost] {
    for (auto& name : lost) target.boot(name);
  });
}

// Separates a core from the other cores and the stores for a long time, while operators go on sending
// changes, also to that core.
static void isolate_core(site& target) {
  auto& world = target.world();
  auto name = one_of(target, target.machines_of_role("core"));
  if (target.rule_oracle().has_fault(name)) return;
  target.log_event("isolated " + name);
  target.isolate_from_data_nodes(name);
  for (int each = 1; each <= 5; ++each)
    world.at(world.now() + each * 4 * second,
             [&target, each] { change(target, each % 2 ? "race" : "change"); });
  world.at(world.now() + isolation, [&target, name] { target.heal(name); });
}

void inject_fault(site& target, const std::string& kind) {
  auto runtime = target.world().runtime_of("operator");
  auto line = kind.find('_');
  auto role = kind.substr(0, line);
  auto what = line == std::string::npos ? "" : kind.substr(line + 1);
  if (kind == "store_add") {
    target.boot(target.add("store", target.random_zone()));
  } else if (kind == "store_retire") {
    if (target.machines_of_role("store").size() < 4) target.boot(target.add("store", target.random_zone()));
    runtime.spawn(target.retire(one_of(target, target.machines_of_role("store"))));
  } else if (kind == "zone_power") {
    lose_zone(target);
  } else if (kind == "core_wipe_many") {
    wipe_many_cores(target);
  } else if (kind == "core_isolated") {
    isolate_core(target);
  } else if (role == "edge" || role == "core" || role == "store") {
    inject_machine_fault(target, role, what);
  } else if (kind == "engine_mischief") {
    target.misbehaviour_per_thousand = 60;
    target.world().at(target.world().now() + 3 * second, [&target] { target.misbehaviour_per_thousand = 0; });
  } else if (role == "engine") {
    auto machine = one_of(target, target.engines());
    target.log_event(kind + " " + machine);
    if (what == "release") target.replace_engine(machine);
    if (what == "crash") target.crash_engine(machine);
    if (what == "chill") target.make_engine_cold(machine);
  } else if (kind == "evacuate") {
    runtime.spawn(evacuate_for(&target, target.random_zone()));
  } else if (kind == "acknowledged_power") {
    runtime.spawn(change_and_cut(&target));
  } else {
    change(target, kind);
  }
}

// Different random machines that keep data.
static std::set<std::string> draw_losses(site& target, int count) {
  std::vector<std::string> holders = target.machines_of_role("core");
  for (auto& name : target.machines_of_role("store")) holders.push_back(name);
  std::set<std::string> lost;
  while (lost.size() < static_cast<std::size_t>(count)) lost.insert(one_of(target, holders));
  return lost;
}

void inject_closing_fault(site& target, const std::string& kind, int losses) {
  auto& world = target.world();
  target.log_event("closing fault: " + kind);
  target.rule_oracle().closing_fault();
  std::vector<std::string> all;
  for (auto* role : {"edge", "core", "store"})
    for (auto& name : target.machines_of_role(role)) all.push_back(name);
  auto lost = draw_losses(target, kind == "disk_lost" ? losses : 0);
  for (auto& name : lost) target.log_event("the disk of " + name + " is lost");
  for (auto& name : all)
    target.kill(name,
                lost.count(name)     ? simulator::disk_loss::all
                : kind == "all_kill" ? simulator::disk_loss::none
                                     : simulator::disk_loss::unsynced,
                kind != "all_kill");
  world.run_for(2 * second);
  for (auto& name : all) target.boot(name);
  target.rule_oracle().machines_back();
}

}  // namespace herontally::platform_simulator
