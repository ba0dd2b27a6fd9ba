// Faults that are combined with others or wait for a certain moment, and those of machines that join, leave
// or are upgraded.
#include "rpc/protocol_version.h"
#include "simulator/faults_state.h"

namespace simulator {

// Adds a spare storage node and retires another one; in two of three cases the spare is killed or
// configuration changes are applied meanwhile.
void fault_injector::state::retire_storage() {
  if (stores_replaced >= 1) return;
  auto names = target.of_role("storage_node");
  for (auto& name : names)
    if (!sim().find(name).up || sim().find(name).frozen) return;
  ++stores_replaced;
  auto leaving = random_of(names);
  std::string spare = "store-spare";
  target.add("storage_node", spare, sim().find(leaving).zone);
  auto how = sim().draw(3);
  log_fault("retire " + leaving +
            (how == 1   ? ", its spare is killed meanwhile"
             : how == 2 ? ", operators apply configurations meanwhile"
                        : ""));
  target.callers().spawn([](std::shared_ptr<state> self, std::string name) -> rt::task<> {
    bool may_go = co_await self->target.retire(name);
    if (!may_go) co_return;
    // The operators learn that the retirement is complete and switch the machine off for good.
    self->log_fault(name + " is retired and switched off");
    self->removed.insert(name);
    self->target.take_away(name);
    self->sim().at(self->sim().now(), [self, name] { self->sim().kill(name, disk_loss::all, true); });
  }(shared_from_this(), leaving));
  if (how == 1)
    run_after(random_duration(0.05, 1.5), [self = shared_from_this(), spare] {
      self->sim().kill(spare, disk_loss::unsynced, true);
      self->boot_later(spare, self->random_duration(1, 5));
    });
  if (how == 2) run_after(random_duration(0, 0.5), [self = shared_from_this()] { self->race_operators(); });
}

void fault_injector::state::add_machine() {
  std::string role = random_of({"proxy", "control_node", "storage_node"});
  std::string name = (role == "proxy"          ? "edge-x"
                      : role == "control_node" ? "core-x"
                                               : "store-x") +
                     std::to_string(++spares);
  log_fault("add " + name);
  target.add(role, name, random_of({"zone-a", "zone-b", "zone-c"}));
}

void fault_injector::state::degrade_platform() {
  auto how = sim().draw(3);
  log_fault(how == 0   ? "platform does not answer"
            : how == 1 ? "platform reports changes 2.5 s late"
                       : "platform stops and resumes answering");
  if (how == 0) target.upset_platform(true, 400);
  if (how == 1) target.upset_platform(false, 2500);
  if (how == 2) {
    // It stops and resumes answering every 0.7 s, in part while an engine is leaving.
    for (int each = 0; each < 6; ++each)
      run_after(microseconds{each} * 700 * rt::millisecond,
                [self = shared_from_this(), each] { self->target.upset_platform(each % 2 == 0, 400); });
    roll_engine();
  }
  run_after(random_duration(5, 8), [self = shared_from_this()] { self->target.upset_platform(false, 400); });
}

void fault_injector::state::warn_node() {
  auto name = random_of(site_nodes());
  if (!sim().find(name).up || sim().find(name).frozen) return;
  log_fault("termination notice to " + name);
  target.warn(name);
  boot_later(name, random_duration(3.1, 6));
}

void fault_injector::state::roll_all_engines() {
  log_fault("roll all engines, one after another");
  microseconds wait = 0;
  for (auto& name : target.of_role("engine")) {
    if (removed.contains(name)) continue;
    removed.insert(name);
    run_after(wait, [self = shared_from_this(), name] {
      if (self->target.role_of(name).empty()) return;
      self->target.roll_engine(name, self->sim().find(name).up && name.rfind("model", 0) == 0
                                         ? self->target.options().weights
                                         : "");
    });
    wait += random_duration(0.8, 1.6);
  }
}

// Replaces a machine with a disk; while the empty one catches up, a whole zone loses its power.
void fault_injector::state::replace_and_lose_zone() {
  if (sim().draw(2))
    replace("storage_node", stores_replaced);
  else
    replace("control_node", cores_replaced);
  run_after(random_duration(0.3, 9), [self = shared_from_this()] { self->lose_zone(); });
}

// Restarts one node after another, on termination notice, with the previous or next RPC protocol version,
// then all of them with the current one.
void fault_injector::state::upgrade() {
  // Once per run: a site never runs more than two adjacent versions at a time.
  if (upgrade_started) return;
  upgrade_started = true;
  bool older = sim().draw(2);
  log_fault(older ? "all nodes to the previous RPC version and back"
                  : "all nodes to the next RPC version and back");
  microseconds wait = 0;
  for (int way = 0; way < 2; ++way) {
    auto names = site_nodes();
    std::shuffle(names.begin(), names.end(), sim().random());
    for (auto& name : names) {
      int version = way == 1 ? 0 : herontally::rpc::protocol_version + (older ? -1 : 1);
      run_after(wait, [self = shared_from_this(), name, version] {
        if (self->removed.contains(name) || !self->sim().find(name).up || self->sim().find(name).frozen)
          return;
        self->target.speak(name, version);
        self->target.warn(name);
        self->boot_later(name, 3200 * rt::millisecond);
      });
      wait += random_duration(0.5, 1.2);
    }
  }
}

// Kills a machine with a disk and flips bits in one synced byte of some of its files.
void fault_injector::state::corrupt_disk() {
  bool store = sim().draw(2);
  auto& count = store ? stores_replaced : cores_replaced;
  auto names = target.of_role(store ? "storage_node" : "control_node");
  for (auto& name : names)
    if (!sim().find(name).up || sim().find(name).frozen || count >= 1) return;
  ++count;
  auto name = random_of(names);
  log_fault("disk of " + name + " corrupted");
  sim().kill(name, disk_loss::none);
  auto& files = sim().find(name).disk.files;
  for (auto& [file, content] : files) {
    if (content.current.size() < 40 || sim().draw(2)) continue;
    content.current[sim().draw(content.current.size() - 20)] ^= 0x55;
    content.synced = content.current;
  }
  boot_later(name, random_duration(0.2, 3));
}

void fault_injector::state::duplicate_messages() {
  log_fault("some messages between nodes arrive again, up to 2 s later");
  sim().net().twice = 0.05;
  run_after(random_duration(2, 6), [self = shared_from_this()] { self->sim().net().twice = 0; });
}

// Fails the engine that next reaches a stage of a KV cache pull, up to 20 ms later: the lender when the pull
// arrives, or the borrower when it begins one.
void fault_injector::state::fail_during_pull() {
  auto stage = random_of({"arrive-pull", "borrow"});
  auto how = sim().draw(4);
  auto wait = random_duration(0, 0.02);
  log_fault("at the next " + stage +
            (how == 0   ? ": power failure"
             : how == 1 ? ": freeze"
             : how == 2 ? ": kill"
                        : ": roll"));
  target.trap(stage, [self = shared_from_this(), how, wait](const std::string& engine) {
    self->run_after(wait, [self, how, engine] {
      if (self->removed.contains(engine) || self->target.role_of(engine).empty()) return;
      if (how == 0) self->sim().kill(engine, disk_loss::all, true);
      if (how == 1) self->sim().freeze(engine);
      if (how == 2) self->sim().kill(engine, disk_loss::none);
      if (how == 3) {
        self->removed.insert(engine);
        self->target.roll_engine(engine, engine.rfind("model", 0) == 0 ? self->target.options().weights : "");
        return;
      }
      self->run_after(self->random_duration(0.5, 6), [self, engine] { self->sim().wake(engine); });
      if (how != 1) self->boot_later(engine, self->random_duration(0.5, 5));
    });
  });
}

// Power fails right after the next acknowledgement, at one machine with a disk or at all of them.
void fault_injector::state::lose_power_after_reply() {
  bool all = sim().draw(2);
  log_fault(std::string("power failure at the next reply, of ") + (all ? "all disks" : "one disk"));
  on_next_reply = [self = shared_from_this(), all] {
    std::vector<std::string> names;
    for (auto* role : {"control_node", "storage_node"})
      for (auto& name : self->target.of_role(role))
        if (!self->removed.contains(name)) names.push_back(name);
    if (!all) names = {self->random_of(names)};
    for (auto& name : names) {
      self->sim().kill(name, disk_loss::unsynced, true);
      self->boot_later(name, self->random_duration(0.1, 1));
    }
  };
}

// Freezes a proxy right after one of its next 40 messages to storage nodes, whatever it awaits then, while
// engines, zones, the configuration or weights change without its notice.
void fault_injector::state::freeze_proxy_after_message() {
  auto name = random_of(target.of_role("proxy"));
  if (!sim().find(name).up || sim().find(name).frozen) return;
  sim().find(name).sends_until_freeze = 1 + static_cast<int>(sim().draw(40));
  auto change = sim().draw(4);
  log_fault("freeze " + name + " after one of its next messages to storage nodes");
  run_after(random_duration(0, 0.3), [self = shared_from_this(), change] {
    if (change == 0) self->roll_engine();
    if (change == 1) self->evacuate();
    if (change == 2) self->configure();
    if (change == 3) self->change_weights();
  });
  // Either long enough for others to regard it as failed, or short enough for its own deadlines to still
  // hold.
  run_after(sim().draw(2) ? random_duration(4, 9) : random_duration(1.2, 3),
            [self = shared_from_this(), name] {
              self->sim().find(name).sends_until_freeze = 0;
              self->sim().wake(name);
            });
}

}  // namespace simulator
