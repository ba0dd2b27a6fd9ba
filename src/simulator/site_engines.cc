// Parts of simulator::site: its engines, the stand-in platform that lists them, and the platform's warning
// before it stops a process.
#include "simulator/site_state.h"

namespace simulator {

std::string site::add_engine(const partner_shape& partner, const std::string& kind, const std::string& zone,
                             const std::string& weights) {
  auto& self = *state_;
  std::string name = (kind == "model" ? "model-" : "app-") + std::to_string(self.next_engine++);
  auto& entry = self.add_machine("engine", name, zone);
  auto& engine = entry.engine;
  engine.name = name;
  engine.kind = kind;
  engine.partner = partner.name;
  engine.serves = kind == "model" ? partner.model : partner.application;
  engine.zone = zone;
  engine.http = entry.http;
  engine.weights = weights;
  engine.most_running = kind == "model" ? self.options.most_running : 16;
  engine.prefill_tokens_per_second = self.options.prefill_tokens_per_second;
  engine.token_milliseconds = self.options.token_milliseconds;
  engine.call_milliseconds = self.options.call_milliseconds;
  self.engines.push_back({{"name", name},
                          {"kind", kind},
                          {"partner", partner.name},
                          {"serves", engine.serves},
                          {"address", entry.http},
                          {"zone", zone},
                          {"state", "running"},
                          {"weights", weights}});
  return name;
}

void site::state::publish_engines() {
  auto& machine = sim_world.find("platform");
  if (machine.up)
    std::any_cast<std::shared_ptr<ht::platform_stand_in::node>>(machine.node)->set_engines(engines);
}

void site::remove_engine(const std::string& name) {
  json rest = json::array();
  for (auto& entry : state_->engines)
    if (entry["name"] != name) rest.push_back(entry);
  state_->engines = rest;
  state_->publish_engines();
}

void site::roll_engine(const std::string& name, const std::string& weights) {
  auto& self = *state_;
  for (auto& entry : self.engines)
    if (entry["name"] == name) entry["state"] = "leaving";
  auto old = self.machines.at(name);
  partner_shape partner;
  for (auto& each : self.options.partners)
    if (each.name == old.engine.partner) partner = each;
  auto replacement = add_engine(partner, old.engine.kind, old.zone, weights);
  boot(replacement);
  self.publish_engines();
  std::weak_ptr<state> weak = state_;
  auto now = self.sim_world.now();
  auto* owner = this;
  // The engine is warned while requests may still be under way and is killed some seconds later. About half
  // of the engines accept requests until the kill, so that only the nodes under test can keep requests away
  // from them.
  bool drains_itself = self.sim_world.draw(2);
  self.sim_world.at(now + 4 * rt::second, [weak, owner, name, drains_itself] {
    auto here = weak.lock();
    if (here && drains_itself) owner->misbehave(name, "drain");
  });
  self.sim_world.at(now + 7 * rt::second, [weak, owner, name] {
    auto here = weak.lock();
    if (!here) return;
    here->sim_world.kill(name, disk_loss::all);
    here->machines.erase(name);
    owner->remove_engine(name);
  });
}

void site::upset_platform(bool silent, double late_milliseconds) {
  auto& machine = state_->sim_world.find("platform");
  if (!machine.up) return;
  auto node = std::any_cast<std::shared_ptr<ht::platform_stand_in::node>>(machine.node);
  node->upset(silent, late_milliseconds);
}

void site::misbehave(const std::string& engine, const std::string& how) {
  auto& machine = state_->sim_world.find(engine);
  if (machine.up && state_->machines.contains(engine))
    std::any_cast<std::shared_ptr<ht::engine_stand_in::node>>(machine.node)->behave(how);
}

void site::speak(const std::string& name, int version) { state_->protocol_versions[name] = version; }

void site::warn(const std::string& name) {
  auto& self = *state_;
  auto& machine = self.sim_world.find(name);
  if (!machine.up) return;
  auto life = machine.life;
  auto end = [this, name, life] {
    auto& here = state_->sim_world.find(name);
    if (here.up && here.life == life) state_->sim_world.kill(name, disk_loss::none);
  };
  auto leave = [](auto node, std::function<void()> over) -> rt::task<> {
    co_await node->leave();
    over();
  };
  auto runtime = self.sim_world.runtime_of(name);
  // The kill runs as an event of its own, because a task can't end the process that it runs in.
  std::function<void()> over = [this, end] { state_->sim_world.at(state_->sim_world.now(), end); };
  auto role = role_of(name);
  if (role == "control_node")
    runtime.spawn(leave(std::any_cast<std::shared_ptr<ht::control_node::node>>(machine.node), over));
  if (role == "storage_node")
    runtime.spawn(leave(std::any_cast<std::shared_ptr<ht::storage_node::node>>(machine.node), over));
  if (role == "agent")
    runtime.spawn(leave(std::any_cast<std::shared_ptr<ht::agent::node>>(machine.node), over));
  if (role == "proxy")
    runtime.spawn(leave(std::any_cast<std::shared_ptr<ht::proxy::node>>(machine.node), over));
  self.sim_world.at(self.sim_world.now() + 3 * rt::second, end);
}

}  // namespace simulator
