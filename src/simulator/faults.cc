// The kinds of faults by name, and how all of them end.
#include "simulator/faults.h"

#include "simulator/faults_state.h"

namespace simulator {

// Every node except the engines and the platform is killed at once, some by a power failure; they boot again
// in random order.
void fault_injector::state::kill_all_nodes() {
  log_fault("kill all nodes");
  for (auto& name : site_nodes()) {
    sim().kill(name, sim().draw(2) ? disk_loss::none : disk_loss::unsynced, true);
    boot_later(name, random_duration(0, 0.8));
  }
}

fault_injector::fault_injector(site& target, oracle& checker, std::vector<std::string>& fault_log)
    : state_(std::make_shared<state>(target, checker, fault_log)) {}
fault_injector::~fault_injector() = default;
const std::set<std::string>& fault_injector::removed() const { return state_->removed; }

const std::vector<std::string>& fault_kinds() {
  static const std::vector<std::string> kinds{
      "kill",     "freeze",  "cut",     "split",   "zone",   "store", "core",  "roll",    "race", "configure",
      "evacuate", "engine",  "disk",    "weights", "stale",  "doze",  "total", "retire",  "add",  "platform",
      "warn",     "rollall", "corrupt", "twice",   "lender", "reply", "await", "upgrade", "pair"};
  return kinds;
}

void fault_injector::begin(const std::string& kind) {
  auto& self = *state_;
  if (kind == "kill") self.kill_node();
  if (kind == "freeze") self.freeze_node();
  if (kind == "cut") self.cut_node();
  if (kind == "split") self.split_core();
  if (kind == "zone") self.lose_zone();
  if (kind == "store") self.replace("storage_node", self.stores_replaced);
  if (kind == "core") self.replace("control_node", self.cores_replaced);
  if (kind == "roll") self.roll_engine();
  if (kind == "weights") self.change_weights();
  if (kind == "race") self.race_operators();
  if (kind == "configure") self.configure();
  if (kind == "evacuate") self.evacuate();
  if (kind == "stale") self.cut_off_agent();
  if (kind == "doze") self.freeze_until_takeover();
  if (kind == "engine") self.degrade_engine();
  if (kind == "disk") self.degrade_disk();
  if (kind == "total") self.kill_all_nodes();
  if (kind == "retire") self.retire_storage();
  if (kind == "add") self.add_machine();
  if (kind == "platform") self.degrade_platform();
  if (kind == "warn") self.warn_node();
  if (kind == "rollall") self.roll_all_engines();
  if (kind == "corrupt") self.corrupt_disk();
  if (kind == "twice") self.duplicate_messages();
  if (kind == "upgrade") self.upgrade();
  if (kind == "pair") self.replace_and_lose_zone();
  if (kind == "lender") self.fail_during_pull();
  if (kind == "reply") self.lose_power_after_reply();
  if (kind == "await") self.freeze_proxy_after_message();
}

void fault_injector::reply_received() {
  if (!state_->on_next_reply) return;
  auto action = std::exchange(state_->on_next_reply, nullptr);
  action();
}

void fault_injector::end_all() {
  auto& self = *state_;
  self.log_fault("all faults end");
  self.sim().heal_all();
  self.sim().net().twice = 0;
  self.on_next_reply = nullptr;
  self.target.upset_platform(false, 400);
  for (auto& name : self.sim().names()) {
    auto& machine = self.sim().find(name);
    machine.sends_until_freeze = 0;
    self.sim().wake(name);
    machine.disk.full = machine.disk.failing = false;
    machine.disk.sync_time = 300;
    if (!self.removed.contains(name) && !self.target.role_of(name).empty()) self.target.boot(name);
  }
  for (auto& name : self.target.of_role("engine")) self.target.misbehave(name, "well");
}

}  // namespace simulator
