// Faults that replace, roll, reconfigure and upset parts of a site.
#include "simulator/faults_state.h"

namespace simulator {

void faults::state::replace(const std::string& role, int& count) {
  // One machine with a disk at a time, and all others whole: more is beyond what must be survived.
  if (count >= 1) return;
  auto names = target.of_role(role);
  for (auto& name : names)
    if (!w().find(name).up || w().find(name).frozen) return;
  ++count;
  auto name = pick(names);
  auto zone = w().find(name).zone;
  w().kill(name, disk_loss::all, true);
  if (w().draw(2)) {
    tell("disk of " + name + " lost; it comes back empty");
    boot_later(name, span(0.2, 3));
    return;
  }
  std::string fresh = role == "control_node" ? "core-new" : "store-new";
  tell(name + " replaced by empty " + fresh);
  gone.insert(name);
  target.take_away(name);
  later(span(0.2, 4),
        [self = shared_from_this(), role, fresh, zone] { self->target.add(role, fresh, zone); });
}

void faults::state::roll_engine() {
  auto names = target.of_role("engine");
  std::erase_if(names, [this](auto& name) { return !w().find(name).up || gone.contains(name); });
  auto name = pick(names);
  if (name.empty()) return;
  tell("roll " + name);
  gone.insert(name);
  target.roll_engine(name, name.rfind("model", 0) == 0 ? target.options().weights : "");
}

// New weights come with new engines, one after another, and with a state that names them.
void faults::state::change_weights() {
  auto& weights = target.options().weights;
  weights = weights == "v1" ? "v2" : "v1";
  tell("weights become " + weights);
  target.callers().spawn(target.apply_until_done());
  microseconds wait = 0;
  for (auto& name : target.of_role("engine")) {
    if (name.rfind("model", 0) != 0 || gone.contains(name)) continue;
    gone.insert(name);
    later(wait, [self = shared_from_this(), name, weights] { self->target.roll_engine(name, weights); });
    wait += 300 * rt::millisecond;
  }
}

rt::task<> faults::state::apply(std::string core) { co_await target.apply_next(std::move(core)); }

void faults::state::race_operators() {
  tell("operators race");
  for (auto& core : target.of_role("control_node"))
    for (int each = 0; each < 2; ++each) target.callers().spawn(apply(core));
}

void faults::state::configure() {
  tell("configure");
  target.callers().spawn(apply(pick(target.of_role("control_node"))));
}

void faults::state::evacuate() {
  auto zone = pick({"zone-a", "zone-b", "zone-c"});
  // Once per run and zone: two overlapping evacuations would leave open which of them counts.
  if (!evacuated.insert(zone).second) return;
  tell("evacuate " + zone);
  target.callers().spawn(target.change_zone(zone, true));
  later(span(6, 12), [self = shared_from_this(), zone] {
    self->target.callers().spawn(self->target.change_zone(zone, false));
  });
}

void faults::state::upset_engine() {
  auto name = pick(target.of_role("engine"));
  auto how = pick({"lose-answers", "lender-pause", "lender-cut", "lender-garble"});
  tell(name + " " + how);
  target.misbehave(name, how);
  later(span(2, 8), [self = shared_from_this(), name] { self->target.misbehave(name, "well"); });
}

// One edge machine hears nothing any more, while the state is changed and clients still reach its proxy.
void faults::state::make_stale() {
  auto agent = pick(target.of_role("agent"));
  tell("configuration updates cut off from " + agent);
  auto others = ours();
  std::erase_if(others, [&](auto& name) { return target.role_of(name) == "proxy" || name == agent; });
  for (auto& other : others) {
    w().cut(agent, other);
    w().cut(other, agent);
  }
  later(500 * rt::millisecond, [self = shared_from_this()] {
    self->target.callers().spawn(self->apply(self->pick(self->target.of_role("control_node"))));
  });
  later(span(6, 9), [self = shared_from_this(), agent, others] {
    for (auto& other : others) {
      self->w().heal(agent, other);
      self->w().heal(other, agent);
    }
  });
}

// A proxy sleeps long enough for its programs to go on elsewhere, and then wakes.
void faults::state::doze() {
  auto name = pick(target.of_role("proxy"));
  if (!w().find(name).up || w().find(name).frozen) return;
  tell("doze " + name);
  w().freeze(name);
  later(span(4, 9), [self = shared_from_this(), name] { self->w().wake(name); });
}

void faults::state::upset_disk() {
  auto name = pick(target.of_role(w().draw(3) ? "storage_node" : "control_node"));
  if (gone.contains(name)) return;
  auto how = w().draw(3);
  tell("disk of " + name + (how == 0 ? " slow" : how == 1 ? " full" : " failing"));
  auto& disk = w().find(name).disk;
  if (how == 0) disk.sync_time = 150 * rt::millisecond;
  if (how == 1) disk.full = true;
  if (how == 2) disk.failing = true;
  later(span(1, 6), [self = shared_from_this(), name] {
    auto& healed = self->w().find(name).disk;
    healed.sync_time = 300;
    healed.full = healed.failing = false;
  });
}

}  // namespace simulator
