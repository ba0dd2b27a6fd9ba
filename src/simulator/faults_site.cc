// Faults that replace, roll, reconfigure or degrade single parts of a site.
#include "simulator/faults_state.h"

namespace simulator {

void fault_injector::state::replace(const std::string& role, int& count) {
  // At most one machine of this role in a run, and only while all its others are up: the system is not
  // required to survive more.
  if (count >= 1) return;
  auto names = target.of_role(role);
  for (auto& name : names)
    if (!sim().find(name).up || sim().find(name).frozen) return;
  ++count;
  auto name = random_of(names);
  auto zone = sim().find(name).zone;
  sim().kill(name, disk_loss::all, true);
  if (sim().draw(2)) {
    log_fault("disk of " + name + " lost; it boots empty");
    boot_later(name, random_duration(0.2, 3));
    return;
  }
  std::string replacement = role == "control_node" ? "core-new" : "store-new";
  log_fault(name + " replaced by empty " + replacement);
  removed.insert(name);
  target.take_away(name);
  run_after(random_duration(0.2, 4), [self = shared_from_this(), role, replacement, zone] {
    self->target.add(role, replacement, zone);
  });
}

void fault_injector::state::roll_engine() {
  auto names = target.of_role("engine");
  std::erase_if(names, [this](auto& name) { return !sim().find(name).up || removed.contains(name); });
  auto name = random_of(names);
  if (name.empty()) return;
  log_fault("roll " + name);
  removed.insert(name);
  target.roll_engine(name, name.rfind("model", 0) == 0 ? target.options().weights : "");
}

// Applies a configuration with other model weights and replaces the model engines one after another by new
// ones that serve them.
void fault_injector::state::change_weights() {
  auto& weights = target.options().weights;
  weights = weights == "v1" ? "v2" : "v1";
  log_fault("weights become " + weights);
  target.callers().spawn(target.apply_until_done());
  microseconds wait = 0;
  for (auto& name : target.of_role("engine")) {
    if (name.rfind("model", 0) != 0 || removed.contains(name)) continue;
    removed.insert(name);
    run_after(wait, [self = shared_from_this(), name, weights] { self->target.roll_engine(name, weights); });
    wait += 300 * rt::millisecond;
  }
}

rt::task<> fault_injector::state::apply(std::string core) { co_await target.apply_next(std::move(core)); }

void fault_injector::state::race_operators() {
  log_fault("operators apply configurations concurrently");
  for (auto& core : target.of_role("control_node"))
    for (int each = 0; each < 2; ++each) target.callers().spawn(apply(core));
}

void fault_injector::state::configure() {
  log_fault("apply the next configuration");
  target.callers().spawn(apply(random_of(target.of_role("control_node"))));
}

void fault_injector::state::evacuate() {
  auto zone = random_of({"zone-a", "zone-b", "zone-c"});
  // Once per run and zone: with two overlapping evacuations the oracle could not tell which one is in effect.
  if (!evacuated.insert(zone).second) return;
  log_fault("evacuate " + zone);
  target.callers().spawn(target.change_zone(zone, true));
  run_after(random_duration(6, 12), [self = shared_from_this(), zone] {
    self->target.callers().spawn(self->target.change_zone(zone, false));
  });
}

void fault_injector::state::degrade_engine() {
  auto name = random_of(target.of_role("engine"));
  auto how = random_of({"lose-answers", "lender-pause", "lender-cut", "lender-garble"});
  log_fault(name + " " + how);
  target.misbehave(name, how);
  run_after(random_duration(2, 8),
            [self = shared_from_this(), name] { self->target.misbehave(name, "well"); });
}

// Cuts one agent off from all nodes except the proxies while the configuration changes; clients still reach
// its proxy.
void fault_injector::state::cut_off_agent() {
  auto agent = random_of(target.of_role("agent"));
  log_fault("configuration updates cut off from " + agent);
  auto others = site_nodes();
  std::erase_if(others, [&](auto& name) { return target.role_of(name) == "proxy" || name == agent; });
  for (auto& other : others) {
    sim().cut(agent, other);
    sim().cut(other, agent);
  }
  run_after(500 * rt::millisecond, [self = shared_from_this()] {
    self->target.callers().spawn(self->apply(self->random_of(self->target.of_role("control_node"))));
  });
  run_after(random_duration(6, 9), [self = shared_from_this(), agent, others] {
    for (auto& other : others) {
      self->sim().heal(agent, other);
      self->sim().heal(other, agent);
    }
  });
}

// Freezes a proxy long enough (4 to 9 s) for other proxies to take over its programs, then wakes it.
void fault_injector::state::freeze_until_takeover() {
  auto name = random_of(target.of_role("proxy"));
  if (!sim().find(name).up || sim().find(name).frozen) return;
  log_fault("freeze " + name + " until other proxies take over");
  sim().freeze(name);
  run_after(random_duration(4, 9), [self = shared_from_this(), name] { self->sim().wake(name); });
}

void fault_injector::state::degrade_disk() {
  auto name = random_of(target.of_role(sim().draw(3) ? "storage_node" : "control_node"));
  if (removed.contains(name)) return;
  auto how = sim().draw(3);
  log_fault("disk of " + name + (how == 0 ? " slow" : how == 1 ? " full" : " failing"));
  auto& disk = sim().find(name).disk;
  if (how == 0) disk.sync_time = 150 * rt::millisecond;
  if (how == 1) disk.full = true;
  if (how == 2) disk.failing = true;
  run_after(random_duration(1, 6), [self = shared_from_this(), name] {
    auto& healed = self->sim().find(name).disk;
    healed.sync_time = 300;
    healed.full = healed.failing = false;
  });
}

}  // namespace simulator
