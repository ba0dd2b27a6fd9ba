#include "simulator/faults.h"

#include "simulator/faults_state.h"

namespace simulator {

// Everything of ours goes at once, some of it by power; all begins again, in any order.
void faults::state::total_loss() {
  tell("total loss");
  for (auto& name : ours()) {
    w().kill(name, w().draw(2) ? disk_loss::none : disk_loss::unsynced, true);
    boot_later(name, span(0, 0.8));
  }
}

faults::faults(site& target, oracle& judge, std::vector<std::string>& story)
    : state_(std::make_shared<state>(target, judge, story)) {}
faults::~faults() = default;
const std::set<std::string>& faults::gone() const { return state_->gone; }

const std::vector<std::string>& fault_kinds() {
  static const std::vector<std::string> kinds{
      "kill",     "freeze",  "cut",     "split",   "zone",   "store", "core",  "roll",    "race", "configure",
      "evacuate", "engine",  "disk",    "weights", "stale",  "doze",  "total", "retire",  "add",  "platform",
      "warn",     "rollall", "corrupt", "twice",   "lender", "reply", "await", "upgrade", "pair"};
  return kinds;
}

void faults::begin(const std::string& kind) {
  auto& self = *state_;
  if (kind == "kill") self.kill_one();
  if (kind == "freeze") self.freeze_one();
  if (kind == "cut") self.cut_some();
  if (kind == "split") self.split_core();
  if (kind == "zone") self.lose_zone();
  if (kind == "store") self.replace("storage_node", self.stores_replaced);
  if (kind == "core") self.replace("control_node", self.cores_replaced);
  if (kind == "roll") self.roll_engine();
  if (kind == "weights") self.change_weights();
  if (kind == "race") self.race_operators();
  if (kind == "configure") self.configure();
  if (kind == "evacuate") self.evacuate();
  if (kind == "stale") self.make_stale();
  if (kind == "doze") self.doze();
  if (kind == "engine") self.upset_engine();
  if (kind == "disk") self.upset_disk();
  if (kind == "total") self.total_loss();
  if (kind == "retire") self.retire_storage();
  if (kind == "add") self.add_machine();
  if (kind == "platform") self.upset_platform();
  if (kind == "warn") self.warn_one();
  if (kind == "rollall") self.roll_all();
  if (kind == "corrupt") self.corrupt_disk();
  if (kind == "twice") self.send_twice();
  if (kind == "upgrade") self.upgrade();
  if (kind == "pair") self.replace_and_lose_zone();
  if (kind == "lender") self.fail_lender();
  if (kind == "reply") self.lose_power_after_reply();
  if (kind == "await") self.freeze_at_await();
}

void faults::reply_received() {
  if (!state_->on_next_reply) return;
  auto action = std::exchange(state_->on_next_reply, nullptr);
  action();
}

void faults::end_all() {
  auto& self = *state_;
  self.tell("peace");
  self.w().heal_all();
  self.w().net().twice = 0;
  self.on_next_reply = nullptr;
  self.target.upset_platform(false, 400);
  for (auto& name : self.w().names()) {
    auto& machine = self.w().find(name);
    machine.sends_until_freeze = 0;
    self.w().wake(name);
    machine.disk.full = machine.disk.failing = false;
    machine.disk.sync_time = 300;
    if (!self.gone.contains(name) && !self.target.role_of(name).empty()) self.target.boot(name);
  }
  for (auto& name : self.target.of_role("engine")) self.target.misbehave(name, "well");
}

}  // namespace simulator
