// A site's engines, the platform that lists them, and its warning before it stops a process.
#include "simulator/site_state.h"

namespace simulator {

std::string site::add_engine(const partner_shape& of, const std::string& kind, const std::string& zone,
                             const std::string& weights) {
  auto& self = *state_;
  std::string name = (kind == "model" ? "model-" : "app-") + std::to_string(self.next_engine++);
  auto& spot = self.make("engine", name, zone);
  auto& engine = spot.engine;
  engine.name = name;
  engine.kind = kind;
  engine.partner = of.name;
  engine.serves = kind == "model" ? of.model : of.application;
  engine.zone = zone;
  engine.http = spot.http;
  engine.weights = weights;
  engine.most_running = kind == "model" ? self.choice.most_running : 16;
  engine.prefill_tokens_per_second = self.choice.prefill_tokens_per_second;
  engine.token_milliseconds = self.choice.token_milliseconds;
  engine.call_milliseconds = self.choice.call_milliseconds;
  self.engines.push_back({{"name", name},
                          {"kind", kind},
                          {"partner", of.name},
                          {"serves", engine.serves},
                          {"address", spot.http},
                          {"zone", zone},
                          {"state", "running"},
                          {"weights", weights}});
  return name;
}

void site::state::show_engines() {
  auto& machine = where.find("platform");
  if (machine.up)
    std::any_cast<std::shared_ptr<ht::platform_stand_in::node>>(machine.node)->set_engines(engines);
}

void site::remove_engine(const std::string& name) {
  json rest = json::array();
  for (auto& entry : state_->engines)
    if (entry["name"] != name) rest.push_back(entry);
  state_->engines = rest;
  state_->show_engines();
}

void site::roll_engine(const std::string& name, const std::string& weights) {
  auto& self = *state_;
  for (auto& entry : self.engines)
    if (entry["name"] == name) entry["state"] = "leaving";
  auto old = self.places.at(name);
  partner_shape of;
  for (auto& each : self.choice.partners)
    if (each.name == old.engine.partner) of = each;
  auto fresh = add_engine(of, old.engine.kind, old.zone, weights);
  boot(fresh);
  self.show_engines();
  std::weak_ptr<state> weak = state_;
  auto now = self.where.now();
  auto* own = this;
  // The warning comes while requests may still be under way, the kill some seconds later. Some engines take
  // whatever comes until then: only we can keep requests away from them.
  bool knows = self.where.draw(2);
  self.where.at(now + 4 * rt::second, [weak, own, name, knows] {
    auto here = weak.lock();
    if (here && knows) own->misbehave(name, "drain");
  });
  self.where.at(now + 7 * rt::second, [weak, own, name] {
    auto here = weak.lock();
    if (!here) return;
    here->where.kill(name, disk_loss::all);
    here->places.erase(name);
    own->remove_engine(name);
  });
}

void site::upset_platform(bool silent, double late_milliseconds) {
  auto& machine = state_->where.find("platform");
  if (!machine.up) return;
  auto node = std::any_cast<std::shared_ptr<ht::platform_stand_in::node>>(machine.node);
  node->upset(silent, late_milliseconds);
}

void site::misbehave(const std::string& engine, const std::string& how) {
  auto& machine = state_->where.find(engine);
  if (machine.up && state_->places.contains(engine))
    std::any_cast<std::shared_ptr<ht::engine_stand_in::node>>(machine.node)->behave(how);
}

void site::speak(const std::string& name, int version) { state_->versions[name] = version; }

void site::warn(const std::string& name) {
  auto& self = *state_;
  auto& machine = self.where.find(name);
  if (!machine.up) return;
  auto life = machine.life;
  auto end = [this, name, life] {
    auto& here = state_->where.find(name);
    if (here.up && here.life == life) state_->where.kill(name, disk_loss::none);
  };
  auto leave = [](auto node, std::function<void()> over) -> rt::task<> {
    co_await node->leave();
    over();
  };
  auto runtime = self.where.runtime_of(name);
  // Killed from outside its own task: what ends may not end itself.
  std::function<void()> over = [this, end] { state_->where.at(state_->where.now(), end); };
  auto role = role_of(name);
  if (role == "control_node")
    runtime.spawn(leave(std::any_cast<std::shared_ptr<ht::control_node::node>>(machine.node), over));
  if (role == "storage_node")
    runtime.spawn(leave(std::any_cast<std::shared_ptr<ht::storage_node::node>>(machine.node), over));
  if (role == "agent")
    runtime.spawn(leave(std::any_cast<std::shared_ptr<ht::agent::node>>(machine.node), over));
  if (role == "proxy")
    runtime.spawn(leave(std::any_cast<std::shared_ptr<ht::proxy::node>>(machine.node), over));
  self.where.at(self.where.now() + 3 * rt::second, end);
}

}  // namespace simulator
