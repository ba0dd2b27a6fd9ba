// Faults that meet each other or a certain moment, and those of machines that come and go.
#include "rpc/protocol_version.h"
#include "simulator/faults_state.h"

namespace simulator {

// A spare is added, a machine retired, and then either all goes well, or the spare is lost on the way, or
// another change races.
void faults::state::retire_storage() {
  if (stores_replaced >= 1) return;
  auto names = target.of_role("storage_node");
  for (auto& name : names)
    if (!w().find(name).up || w().find(name).frozen) return;
  ++stores_replaced;
  auto leaving = pick(names);
  std::string spare = "store-spare";
  target.add("storage_node", spare, w().find(leaving).zone);
  auto how = w().draw(3);
  tell("retire " + leaving + (how == 1 ? ", its spare dies meanwhile" : how == 2 ? ", operators race" : ""));
  target.callers().spawn([](std::shared_ptr<state> self, std::string name) -> rt::task<> {
    bool may_go = co_await self->target.retire(name);
    if (!may_go) co_return;
    // Notified that it may go, the operators switch it off for good.
    self->tell(name + " is retired and switched off");
    self->gone.insert(name);
    self->target.take_away(name);
    self->w().at(self->w().now(), [self, name] { self->w().kill(name, disk_loss::all, true); });
  }(shared_from_this(), leaving));
  if (how == 1)
    later(span(0.05, 1.5), [self = shared_from_this(), spare] {
      self->w().kill(spare, disk_loss::unsynced, true);
      self->boot_later(spare, self->span(1, 5));
    });
  if (how == 2) later(span(0, 0.5), [self = shared_from_this()] { self->race_operators(); });
}

void faults::state::add_machine() {
  std::string role = pick({"proxy", "control_node", "storage_node"});
  std::string name = (role == "proxy"          ? "edge-x"
                      : role == "control_node" ? "core-x"
                                               : "store-x") +
                     std::to_string(++spares);
  tell("add " + name);
  target.add(role, name, pick({"zone-a", "zone-b", "zone-c"}));
}

void faults::state::upset_platform() {
  auto how = w().draw(3);
  tell(how == 0 ? "platform silent" : how == 1 ? "platform very late" : "platform flaps");
  if (how == 0) target.upset_platform(true, 400);
  if (how == 1) target.upset_platform(false, 2500);
  if (how == 2) {
    // It comes and goes, some of the times while an engine is leaving.
    for (int each = 0; each < 6; ++each)
      later(microseconds{each} * 700 * rt::millisecond,
            [self = shared_from_this(), each] { self->target.upset_platform(each % 2 == 0, 400); });
    roll_engine();
  }
  later(span(5, 8), [self = shared_from_this()] { self->target.upset_platform(false, 400); });
}

void faults::state::warn_one() {
  auto name = pick(ours());
  if (!w().find(name).up || w().find(name).frozen) return;
  tell("warn " + name);
  target.warn(name);
  boot_later(name, span(3.1, 6));
}

void faults::state::roll_all() {
  tell("roll all engines, one after another");
  microseconds wait = 0;
  for (auto& name : target.of_role("engine")) {
    if (gone.contains(name)) continue;
    gone.insert(name);
    later(wait, [self = shared_from_this(), name] {
      if (self->target.role_of(name).empty()) return;
      self->target.roll_engine(
          name, self->w().find(name).up && name.rfind("model", 0) == 0 ? self->target.options().weights : "");
    });
    wait += span(0.8, 1.6);
  }
}

// A machine with a disk is swapped for an empty one, and while that is filled a whole zone loses its power.
void faults::state::replace_and_lose_zone() {
  if (w().draw(2))
    replace("storage_node", stores_replaced);
  else
    replace("control_node", cores_replaced);
  later(span(0.3, 9), [self = shared_from_this()] { self->lose_zone(); });
}

// Process after process is warned, stopped and started under a neighbouring version, and later back again.
void faults::state::upgrade() {
  // The site as a whole never spans more than two neighbouring versions.
  if (versions_apart) return;
  versions_apart = true;
  bool older = w().draw(2);
  tell(older ? "from the version before to this one, and back" : "to the version after this one, and back");
  microseconds wait = 0;
  for (int way = 0; way < 2; ++way) {
    auto names = ours();
    std::shuffle(names.begin(), names.end(), w().random());
    for (auto& name : names) {
      int version = way == 1 ? 0 : herontally::rpc::protocol_version + (older ? -1 : 1);
      later(wait, [self = shared_from_this(), name, version] {
        if (self->gone.contains(name) || !self->w().find(name).up || self->w().find(name).frozen) return;
        self->target.speak(name, version);
        self->target.warn(name);
        self->boot_later(name, 3200 * rt::millisecond);
      });
      wait += span(0.5, 1.2);
    }
  }
}

// Bytes that had been synced change on the disk of a machine that is down.
void faults::state::corrupt_disk() {
  bool store = w().draw(2);
  auto& count = store ? stores_replaced : cores_replaced;
  auto names = target.of_role(store ? "storage_node" : "control_node");
  for (auto& name : names)
    if (!w().find(name).up || w().find(name).frozen || count >= 1) return;
  ++count;
  auto name = pick(names);
  tell("disk of " + name + " corrupted");
  w().kill(name, disk_loss::none);
  auto& files = w().find(name).disk.files;
  for (auto& [file, content] : files) {
    if (content.current.size() < 40 || w().draw(2)) continue;
    content.current[w().draw(content.current.size() - 20)] ^= 0x55;
    content.synced = content.current;
  }
  boot_later(name, span(0.2, 3));
}

void faults::state::send_twice() {
  tell("messages arrive twice, and late");
  w().net().twice = 0.05;
  later(span(2, 6), [self = shared_from_this()] { self->w().net().twice = 0; });
}

// At each stage of a pull: when it arrives at the lender, when it begins at the borrower, some time later.
void faults::state::fail_lender() {
  auto stage = pick({"arrive-pull", "borrow"});
  auto how = w().draw(4);
  auto wait = span(0, 0.02);
  tell("strike at " + stage +
       (how == 0   ? ": power"
        : how == 1 ? ": freeze"
        : how == 2 ? ": kill"
                   : ": roll"));
  target.trap(stage, [self = shared_from_this(), how, wait](const std::string& engine) {
    self->later(wait, [self, how, engine] {
      if (self->gone.contains(engine) || self->target.role_of(engine).empty()) return;
      if (how == 0) self->w().kill(engine, disk_loss::all, true);
      if (how == 1) self->w().freeze(engine);
      if (how == 2) self->w().kill(engine, disk_loss::none);
      if (how == 3) {
        self->gone.insert(engine);
        self->target.roll_engine(engine, engine.rfind("model", 0) == 0 ? self->target.options().weights : "");
        return;
      }
      self->later(self->span(0.5, 6), [self, engine] { self->w().wake(engine); });
      if (how != 1) self->boot_later(engine, self->span(0.5, 5));
    });
  });
}

// Power goes the moment something was acknowledged: at one machine with a disk, or at all of them.
void faults::state::lose_power_after_reply() {
  bool all = w().draw(2);
  tell(std::string("power goes at the next reply, at ") + (all ? "all disks" : "one disk"));
  on_next_reply = [self = shared_from_this(), all] {
    std::vector<std::string> names;
    for (auto* role : {"control_node", "storage_node"})
      for (auto& name : self->target.of_role(role))
        if (!self->gone.contains(name)) names.push_back(name);
    if (!all) names = {self->pick(names)};
    for (auto& name : names) {
      self->w().kill(name, disk_loss::unsynced, true);
      self->boot_later(name, self->span(0.1, 1));
    }
  };
}

// A proxy freezes right after one of its next messages, whatever it waits for then, while something changes
// that it should have heard of.
void faults::state::freeze_at_await() {
  auto name = pick(target.of_role("proxy"));
  if (!w().find(name).up || w().find(name).frozen) return;
  w().find(name).sends_until_freeze = 1 + static_cast<int>(w().draw(40));
  auto change = w().draw(4);
  tell("freeze " + name + " at an await");
  later(span(0, 0.3), [self = shared_from_this(), change] {
    if (change == 0) self->roll_engine();
    if (change == 1) self->evacuate();
    if (change == 2) self->configure();
    if (change == 3) self->change_weights();
  });
  // Long enough to be given up by others, and at times short enough for its own deadlines to still hold.
  later(w().draw(2) ? span(4, 9) : span(1.2, 3), [self = shared_from_this(), name] {
    self->w().find(name).sends_until_freeze = 0;
    self->w().wake(name);
  });
}

}  // namespace simulator
