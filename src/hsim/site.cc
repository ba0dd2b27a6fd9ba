#include "hsim/site.h"

#include "hsim/site_state.h"

namespace hsim {

static const char* zones[] = {"zone-a", "zone-b", "zone-c"};

site::site(world& where, oracle& judge, site_options choice)
    : state_(std::make_shared<state>(where, judge, std::move(choice))) {
  auto& self = *state_;
  self.owner = this;
  for (int number = 0; number < self.choice.cores; ++number)
    self.make("hcore", "core-" + std::to_string(number + 1), zones[number % 3]);
  for (int number = 0; number < self.choice.stores; ++number)
    self.make("hstore", "store-" + std::to_string(number + 1), zones[number % 3]);
  for (int number = 0; number < self.choice.edges; ++number) {
    std::string tail = std::to_string(number + 1);
    self.make("hagent", "agent-" + tail, zones[number % 3]);
    self.make("hproxy", "door-" + tail, zones[number % 3]).agent = self.places.at("agent-" + tail).inner;
  }
  self.make("platform", "platform", "");
  self.make("callers", "callers", "");
  for (int number = 1; number <= 3; ++number)
    self.seeds.push_back(self.places.at("core-" + std::to_string(number)).inner);
  for (int number = 0; number < self.choice.models; ++number) add_engine("model", zones[number % 3], "v1");
  for (int number = 0; number < self.choice.applications; ++number)
    add_engine("application", zones[number % 3], "");
}
site::~site() = default;

void site::restart_later(const std::string& name) {
  auto& where = state_->where;
  where.at(where.now() + rt::second, [this, name] {
    if (!state_->where.find(name).up) return;
    state_->where.kill(name, disk_loss::none);
    boot(name);
  });
}

site_options& site::options() { return state_->choice; }
world& site::where() { return state_->where; }
rt::handle site::callers() { return state_->where.runtime_of("callers"); }

place& site::state::make(const std::string& role, const std::string& name, const std::string& zone) {
  std::string host =
      "10.0." + std::to_string(next_address / 200) + "." + std::to_string(next_address % 200 + 1);
  ++next_address;
  where.machine(name, zone);
  // Simulated nodes log nowhere; their counters are read by the measurements.
  ht::logging::journal journal(name, [](const std::string&, const json&) {});
  places.insert_or_assign(name, place{name, role, zone, host + ":7000", host + ":8000", "", {}, journal});
  return places.at(name);
}

template <class Node>
std::shared_ptr<Node> site::state::start(const place& spot) {
  ht::settings::settings given;
  given.name = spot.name;
  given.role = spot.role;
  given.zone = spot.zone;
  given.inner = spot.inner;
  given.http = spot.http;
  given.seeds = seeds;
  given.data = "data";
  given.agent = spot.agent;
  given.platform = places.at("platform").http;
  given.operators = {{operator_token, "*"}};
  given.disk_megabytes = 64;
  auto node = std::make_shared<Node>(where.runtime_of(spot.name), given, spot.journal);
  where.runtime_of(spot.name).spawn(
      [](std::shared_ptr<Node> started, site* own, std::string name) -> rt::task<> {
        auto fault = co_await started->start();
        // A process that gives up at its start is started again by the platform.
        if (fault) own->restart_later(name);
      }(node, owner, spot.name));
  return node;
}

void site::boot(const std::string& name) {
  auto& self = *state_;
  auto& machine = self.where.find(name);
  if (machine.up) return;
  self.where.boot(name);
  auto& spot = self.places.at(name);
  // A process that starts anew counts anew.
  spot.journal = ht::logging::journal(name, [](const std::string&, const json&) {});
  if (spot.role == "hcore") machine.node = self.start<ht::hcore::node>(spot);
  if (spot.role == "hstore") machine.node = self.start<ht::hstore::node>(spot);
  if (spot.role == "hagent") machine.node = self.start<ht::hagent::node>(spot);
  if (spot.role == "hproxy") machine.node = self.start<ht::hproxy::node>(spot);
  if (spot.role == "engine") {
    auto node = std::make_shared<ht::simengine::node>(self.where.runtime_of(name), spot.engine, spot.journal);
    auto* judge = &self.judge;
    node->on_run([judge, name](const ht::simengine::run& what) { judge->engine_ran(name, what); });
    engine_facts facts{name, spot.zone, spot.engine.weights, spot.engine.kind};
    facts.block_tokens = spot.engine.block_tokens;
    facts.cold_at_once = spot.engine.kind == "model" ? self.choice.cold_turns : 16;
    facts.most_at_once = spot.engine.kind == "model" ? self.choice.turns_per_engine : 16;
    facts.warm_seconds = self.choice.warm_seconds;
    judge->engine_begins(facts);
    self.where.runtime_of(name).spawn(
        [](std::shared_ptr<ht::simengine::node> started) -> rt::task<> { co_await started->start(); }(node));
    machine.node = node;
  }
  if (spot.role == "platform") {
    ht::simplatform::options given;
    given.http = spot.http;
    given.engines = self.engines;
    auto node = std::make_shared<ht::simplatform::node>(self.where.runtime_of(name), given, spot.journal);
    auto* judge = &self.judge;
    node->on_shown([judge](const json& engines) { judge->list_shown(engines); });
    self.where.runtime_of(name).spawn([](std::shared_ptr<ht::simplatform::node> started) -> rt::task<> {
      co_await started->start();
    }(node));
    machine.node = node;
  }
}

void site::boot_all() {
  for (auto& [name, spot] : state_->places) boot(name);
}

void site::add(const std::string& role, const std::string& name, const std::string& zone) {
  auto& spot = state_->make(role, name, zone);
  if (role == "hproxy") {
    std::string agent = "agent-of-" + name;
    std::string address = state_->make("hagent", agent, zone).inner;
    state_->places.at(name).agent = address;
    boot(agent);
  }
  (void)spot;
  boot(name);
}

std::string site::add_engine(const std::string& kind, const std::string& zone, const std::string& weights) {
  auto& self = *state_;
  std::string name = (kind == "model" ? "model-" : "app-") + std::to_string(self.next_engine++);
  auto& spot = self.make("engine", name, zone);
  auto& engine = spot.engine;
  engine.name = name;
  engine.kind = kind;
  engine.partner = "swanreach";
  engine.serves = kind == "model" ? "m" : "app";
  engine.zone = zone;
  engine.http = spot.http;
  engine.weights = weights;
  engine.most_running = kind == "model" ? self.choice.most_running : 16;
  engine.prefill_tokens_per_second = self.choice.prefill_tokens_per_second;
  engine.token_milliseconds = self.choice.token_milliseconds;
  engine.call_milliseconds = self.choice.call_milliseconds;
  self.engines.push_back({{"name", name},
                          {"kind", kind},
                          {"partner", "swanreach"},
                          {"serves", engine.serves},
                          {"address", spot.http},
                          {"zone", zone},
                          {"state", "running"},
                          {"weights", weights}});
  return name;
}

void site::state::show_engines() {
  auto& machine = where.find("platform");
  if (machine.up) std::any_cast<std::shared_ptr<ht::simplatform::node>>(machine.node)->set_engines(engines);
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
  auto fresh = add_engine(old.engine.kind, old.zone, weights);
  boot(fresh);
  self.show_engines();
  std::weak_ptr<state> weak = state_;
  auto now = self.where.now();
  auto* own = this;
  // The warning comes while visits may still be under way, the kill some seconds later. Some engines take
  // whatever comes until then: only we can keep visits away from them.
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

void site::misbehave(const std::string& engine, const std::string& how) {
  auto& machine = state_->where.find(engine);
  if (machine.up && state_->places.count(engine))
    std::any_cast<std::shared_ptr<ht::simengine::node>>(machine.node)->behave(how);
}

std::vector<std::string> site::of_role(const std::string& role) const {
  std::vector<std::string> names;
  for (auto& [name, spot] : state_->places)
    if (spot.role == role) names.push_back(name);
  return names;
}
std::string site::role_of(const std::string& name) const {
  auto found = state_->places.find(name);
  return found == state_->places.end() ? "" : found->second.role;
}
std::vector<std::string> site::doors() const {
  std::vector<std::string> addresses;
  for (auto& name : of_role("hproxy")) addresses.push_back(state_->places.at(name).http);
  return addresses;
}

double site::metric(const std::string& node, const std::string& name) {
  auto found = state_->places.find(node);
  return found == state_->places.end() ? 0 : found->second.journal.value(name);
}

bool site::doors_ready() {
  for (auto& name : of_role("hproxy"))
    if (!state_->where.find(name).up || metric(name, "herontally_fresh") < 1) return false;
  return true;
}

}  // namespace hsim
