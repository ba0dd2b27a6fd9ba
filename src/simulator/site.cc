#include "simulator/site.h"

#include "simulator/site_state.h"

namespace simulator {

static const char* zones[] = {"zone-a", "zone-b", "zone-c"};

site::site(world& where, oracle& judge, site_options choice)
    : state_(std::make_shared<state>(where, judge, std::move(choice))) {
  auto& self = *state_;
  self.owner = this;
  for (int number = 0; number < self.choice.cores; ++number)
    self.make("control_node", "core-" + std::to_string(number + 1), zones[number % 3]);
  for (int number = 0; number < self.choice.stores; ++number)
    self.make("storage_node", "store-" + std::to_string(number + 1), zones[number % 3]);
  for (int number = 0; number < self.choice.edges; ++number) {
    std::string tail = std::to_string(number + 1);
    self.make("agent", "agent-" + tail, zones[number % 3]);
    self.make("proxy", "edge-" + tail, zones[number % 3]).agent = self.places.at("agent-" + tail).inner;
  }
  self.make("platform", "platform", "");
  self.make("callers", "callers", "");
  for (int number = 1; number <= 3; ++number)
    self.seeds.push_back(self.places.at("core-" + std::to_string(number)).inner);
  for (auto& partner : self.choice.partners) {
    for (int number = 0; number < partner.models; ++number)
      add_engine(partner, "model", zones[number % 3], "v1");
    for (int number = 0; number < partner.applications; ++number)
      add_engine(partner, "application", zones[number % 3], "");
  }
}
site::~site() = default;

partner_shape swanreach(int models, int applications) {
  return {"swanreach", "m",    "app",       "eligibility", "exchange", {"labels", "barcodes"},
          {},          models, applications};
}
partner_shape zastavica(int models, int applications) {
  return {"zastavica",   "z",    "zapp",      "flag-question", "rollout", {"audit-pulls", "rule-exports"},
          {"flag-sets"}, models, applications};
}

void site::restart_later(const std::string& name) {
  auto& where = state_->where;
  where.at(where.now() + rt::second, [this, name] {
    if (!state_->where.find(name).up) return;
    state_->where.kill(name, disk_loss::none);
    boot(name);
  });
}

void site::trap(const std::string& what, std::function<void(const std::string&)> action) {
  state_->traps[what] = std::move(action);
}
site_options& site::options() { return state_->choice; }
world& site::where() { return state_->where; }
rt::handle site::callers() { return state_->where.runtime_of("callers"); }

place& site::state::make(const std::string& role, const std::string& name, const std::string& zone) {
  std::string host =
      "10.0." + std::to_string(next_address / 200) + "." + std::to_string(next_address % 200 + 1);
  ++next_address;
  where.machine(name, zone);
  auto logger = logger_of(name);
  places.insert_or_assign(name, place{name, role, zone, host + ":7000", host + ":8000", "", {}, logger});
  return places.at(name);
}

// Of what simulated nodes log only one thing is read: who knows first that an engine leaves. Their counters
// are read by the measurements.
ht::logging::logger site::state::logger_of(const std::string& name) {
  auto* watcher = &judge;
  return ht::logging::logger(name, [watcher](const std::string&, const json& line) {
    if (line["event"] == "engine leaves") watcher->leaving_learned(line["engine"]);
  });
}

std::vector<std::string> site::state::machines_of(const std::string& role) const {
  std::vector<std::string> names;
  for (auto& [name, spot] : places)
    if (spot.role == role && !removed.contains(name)) names.push_back(name);
  return names;
}

control_oracle site::state::make_control_oracle() {
  watched_site watched;
  watched.cores = [this] { return machines_of("control_node"); };
  watched.stores = [this] { return machines_of("storage_node"); };
  watched.report = [this](const std::string& rule, const std::string& what) { judge.fail(rule, what); };
  return control_oracle(where, std::move(watched));
}

template <class Node>
std::shared_ptr<Node> site::state::start(const place& spot) {
  ht::settings::settings given;
  given.name = spot.name;
  given.zone = spot.zone;
  given.inner = spot.inner;
  given.http = spot.http;
  given.seeds = seeds;
  given.data = "data";
  given.agent = spot.agent;
  given.platform = places.at("platform").http;
  given.operators = {{operator_token, "*"}};
  given.disk_megabytes = 64;
  given.protocol_version = versions[spot.name];
  auto node = std::make_shared<Node>(where.runtime_of(spot.name), given, spot.logger);
  where.runtime_of(spot.name).spawn(
      [](std::shared_ptr<Node> started, site* own, std::string name) -> rt::task<> {
        auto fault = co_await started->start();
        // A process that gives up at its start is started again by the platform.
        if (fault) own->restart_later(name);
      }(node, owner, spot.name));
  return node;
}

template <class Node>
static rt::task<> start_and_forget(std::shared_ptr<Node> started) {
  co_await started->start();
}

engine_facts site::state::facts_of(const place& spot) const {
  engine_facts facts{spot.name, spot.zone, spot.engine.weights, spot.engine.kind};
  facts.block_tokens = spot.engine.block_tokens;
  bool model = spot.engine.kind == "model";
  facts.slow_start_concurrent = model ? choice.cold_turns : 1;
  facts.max_concurrent = model ? choice.turns_per_engine : 16;
  facts.warm_seconds = model ? choice.warm_seconds : 1;
  return facts;
}

std::shared_ptr<ht::engine_stand_in::node> site::state::start_engine(const place& spot) {
  auto name = spot.name;
  auto node = std::make_shared<ht::engine_stand_in::node>(where.runtime_of(name), spot.engine, spot.logger);
  node->on_run([this, name](const ht::engine_stand_in::run& what) {
    judge.engine_ran(name, what);
    auto trap = traps.find(what.what);
    if (trap == traps.end()) return;
    // Sprung from outside the engine's own code, which may not be ended under its feet.
    where.at(where.now(), [action = std::move(trap->second), name] { action(name); });
    traps.erase(trap);
  });
  judge.engine_begins(facts_of(spot));
  where.runtime_of(name).spawn(start_and_forget(node));
  return node;
}

std::shared_ptr<ht::platform_stand_in::node> site::state::start_platform(const place& spot) {
  ht::platform_stand_in::options given;
  given.http = spot.http;
  given.engines = engines;
  auto node = std::make_shared<ht::platform_stand_in::node>(where.runtime_of(spot.name), given, spot.logger);
  where.runtime_of(spot.name).spawn(start_and_forget(node));
  return node;
}

void site::boot(const std::string& name) {
  auto& self = *state_;
  auto& machine = self.where.find(name);
  auto place = self.places.find(name);
  // A machine that was taken away between its loss and its start stays away.
  if (machine.up || place == self.places.end()) return;
  self.where.boot(name);
  auto& spot = place->second;
  // A process that starts anew counts anew.
  spot.logger = self.logger_of(name);
  if (spot.role == "control_node") machine.node = self.start<ht::control_node::node>(spot);
  if (spot.role == "storage_node") machine.node = self.start<ht::storage_node::node>(spot);
  if (spot.role == "agent") machine.node = self.start<ht::agent::node>(spot);
  if (spot.role == "proxy") machine.node = self.start<ht::proxy::node>(spot);
  if (spot.role == "engine") machine.node = self.start_engine(spot);
  if (spot.role == "platform") machine.node = self.start_platform(spot);
}

void site::take_away(const std::string& name) { state_->removed.insert(name); }

void site::boot_all() {
  for (auto& [name, spot] : state_->places) boot(name);
}

void site::add(const std::string& role, const std::string& name, const std::string& zone) {
  auto& spot = state_->make(role, name, zone);
  if (role == "proxy") {
    std::string agent = "agent-of-" + name;
    std::string address = state_->make("agent", agent, zone).inner;
    state_->places.at(name).agent = address;
    boot(agent);
  }
  (void)spot;
  boot(name);
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
std::vector<std::string> site::proxies() const {
  std::vector<std::string> addresses;
  for (auto& name : of_role("proxy")) addresses.push_back(state_->places.at(name).http);
  return addresses;
}

double site::metric(const std::string& node, const std::string& name) {
  auto found = state_->places.find(node);
  return found == state_->places.end() ? 0 : found->second.logger.value(name);
}

bool site::proxies_ready() {
  for (auto& name : of_role("proxy"))
    if (!state_->where.find(name).up || metric(name, "herontally_fresh") < 1) return false;
  return true;
}

bool site::begin() {
  auto& self = *state_;
  boot_all();
  for (auto& partner : self.choice.partners)
    for (auto& kind : {partner.quick, partner.slow})
      self.judge.budget(kind, self.choice.budget_tokens + self.choice.budget_growth * 20, 64);
  bool begun = false, applied = false;
  json groups{{"core", json::array()}, {"store", json::array()}};
  for (auto& [name, spot] : self.places) {
    if (spot.role == "control_node" && groups["core"].size() < 3) groups["core"].push_back(spot.inner);
    if (spot.role == "storage_node" && groups["store"].size() < 3) groups["store"].push_back(spot.inner);
  }
  callers().spawn([](site* own, std::string body, bool* done) -> rt::task<> {
    while (!*done) {
      auto result = co_await own->operate("core-1", "POST", "/v1/bootstrap", body, "");
      *done = result.status == 200;
      if (!*done) co_await own->callers().sleep(200 * rt::millisecond);
    }
  }(this, groups.dump(), &begun));
  if (!self.where.run_until([&] { return begun; }, 20 * rt::second)) return false;
  callers().spawn([](site* own, std::int64_t* marker, bool* done) -> rt::task<> {
    while (*marker < 2) {
      co_await own->apply_next("core-1");
      co_await own->callers().sleep(200 * rt::millisecond);
    }
    *done = true;
  }(this, &self.next_marker, &applied));
  if (!self.where.run_until([&] { return applied; }, 30 * rt::second)) return false;
  bool ready = self.where.run_until([&] { return proxies_ready(); }, 20 * rt::second);
  self.control.start();
  return ready;
}

}  // namespace simulator
