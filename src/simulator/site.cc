// Parts of simulator::site: its machines, their processes, and how a site is begun.
#include "simulator/site.h"

#include "simulator/site_state.h"

namespace simulator {

static const char* zones[] = {"zone-a", "zone-b", "zone-c"};

site::site(world& sim_world, oracle& sim_oracle, site_options options)
    : state_(std::make_shared<state>(sim_world, sim_oracle, std::move(options))) {
  auto& self = *state_;
  self.owner = this;
  for (int number = 0; number < self.options.cores; ++number)
    self.add_machine("control_node", "core-" + std::to_string(number + 1), zones[number % 3]);
  for (int number = 0; number < self.options.stores; ++number)
    self.add_machine("storage_node", "store-" + std::to_string(number + 1), zones[number % 3]);
  for (int number = 0; number < self.options.edges; ++number) {
    std::string tail = std::to_string(number + 1);
    self.add_machine("agent", "agent-" + tail, zones[number % 3]);
    self.add_machine("proxy", "edge-" + tail, zones[number % 3]).agent =
        self.machines.at("agent-" + tail).inner;
  }
  self.add_machine("platform", "platform", "");
  self.add_machine("callers", "callers", "");
  for (int number = 1; number <= 3; ++number)
    self.seeds.push_back(self.machines.at("core-" + std::to_string(number)).inner);
  for (auto& partner : self.options.partners) {
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
  auto& sim_world = state_->sim_world;
  sim_world.at(sim_world.now() + rt::second, [this, name] {
    if (!state_->sim_world.find(name).up) return;
    state_->sim_world.kill(name, disk_loss::none);
    boot(name);
  });
}

void site::trap(const std::string& what, std::function<void(const std::string&)> action) {
  state_->engine_event_actions[what] = std::move(action);
}
site_options& site::options() { return state_->options; }
world& site::where() { return state_->sim_world; }
rt::handle site::callers() { return state_->sim_world.runtime_of("callers"); }

machine_entry& site::state::add_machine(const std::string& role, const std::string& name,
                                        const std::string& zone) {
  std::string host =
      "10.0." + std::to_string(next_address / 200) + "." + std::to_string(next_address % 200 + 1);
  ++next_address;
  sim_world.machine(name, zone);
  auto logger = make_logger(name);
  machines.insert_or_assign(name,
                            machine_entry{name, role, zone, host + ":7000", host + ":8000", "", {}, logger});
  return machines.at(name);
}

// The only log line of simulated nodes that is evaluated is the one that reports an engine as leaving: the
// oracle needs the time at which the first node knows it. The measurements read the logger's counters.
ht::logging::logger site::state::make_logger(const std::string& name) {
  auto* watcher = &sim_oracle;
  return ht::logging::logger(name, [watcher](const std::string&, const json& line) {
    if (line["event"] == "engine leaves") watcher->engine_known_leaving(line["engine"]);
  });
}

std::vector<std::string> site::state::machines_in_role(const std::string& role) const {
  std::vector<std::string> names;
  for (auto& [name, entry] : machines)
    if (entry.role == role && !removed.contains(name)) names.push_back(name);
  return names;
}

control_oracle site::state::make_control_oracle() {
  watched_site watched;
  watched.cores = [this] { return machines_in_role("control_node"); };
  watched.stores = [this] { return machines_in_role("storage_node"); };
  watched.report = [this](const std::string& rule, const std::string& what) { sim_oracle.fail(rule, what); };
  return control_oracle(sim_world, std::move(watched));
}

template <class Node>
std::shared_ptr<Node> site::state::start_node(const machine_entry& entry) {
  ht::settings::settings given;
  given.name = entry.name;
  given.zone = entry.zone;
  given.inner = entry.inner;
  given.http = entry.http;
  given.seeds = seeds;
  given.data = "data";
  given.agent = entry.agent;
  given.platform = machines.at("platform").http;
  given.operators = {{operator_token, "*"}};
  given.disk_megabytes = 64;
  given.protocol_version = protocol_versions[entry.name];
  auto node = std::make_shared<Node>(sim_world.runtime_of(entry.name), given, entry.logger);
  sim_world.runtime_of(entry.name)
      .spawn([](std::shared_ptr<Node> started, site* owner, std::string name) -> rt::task<> {
        auto fault = co_await started->start();
        // The platform restarts a process whose start fails.
        if (fault) owner->restart_later(name);
      }(node, owner, entry.name));
  return node;
}

template <class Node>
static rt::task<> start_and_ignore_result(std::shared_ptr<Node> started) {
  co_await started->start();
}

engine_info site::state::engine_info_of(const machine_entry& entry) const {
  engine_info info{entry.name, entry.zone, entry.engine.weights, entry.engine.kind};
  info.block_tokens = entry.engine.block_tokens;
  bool model = entry.engine.kind == "model";
  info.slow_start_concurrent = model ? options.cold_turns : 1;
  info.max_concurrent = model ? options.turns_per_engine : 16;
  info.warm_seconds = model ? options.warm_seconds : 1;
  return info;
}

std::shared_ptr<ht::engine_stand_in::node> site::state::start_engine(const machine_entry& entry) {
  auto name = entry.name;
  auto node =
      std::make_shared<ht::engine_stand_in::node>(sim_world.runtime_of(name), entry.engine, entry.logger);
  node->on_run([this, name](const ht::engine_stand_in::run& what) {
    sim_oracle.engine_event(name, what);
    auto found = engine_event_actions.find(what.what);
    if (found == engine_event_actions.end()) return;
    // Runs as an event of its own: the action may kill the engine, whose code is still on the stack here.
    sim_world.at(sim_world.now(), [action = std::move(found->second), name] { action(name); });
    engine_event_actions.erase(found);
  });
  sim_oracle.engine_started(engine_info_of(entry));
  sim_world.runtime_of(name).spawn(start_and_ignore_result(node));
  return node;
}

std::shared_ptr<ht::platform_stand_in::node> site::state::start_platform(const machine_entry& entry) {
  ht::platform_stand_in::options given;
  given.http = entry.http;
  given.engines = engines;
  auto node =
      std::make_shared<ht::platform_stand_in::node>(sim_world.runtime_of(entry.name), given, entry.logger);
  sim_world.runtime_of(entry.name).spawn(start_and_ignore_result(node));
  return node;
}

void site::boot(const std::string& name) {
  auto& self = *state_;
  auto& machine = self.sim_world.find(name);
  auto found = self.machines.find(name);
  // A machine that was removed from the site between its kill and its restart stays down.
  if (machine.up || found == self.machines.end()) return;
  self.sim_world.boot(name);
  auto& entry = found->second;
  // The metrics of a restarted process start from zero.
  entry.logger = self.make_logger(name);
  if (entry.role == "control_node") machine.node = self.start_node<ht::control_node::node>(entry);
  if (entry.role == "storage_node") machine.node = self.start_node<ht::storage_node::node>(entry);
  if (entry.role == "agent") machine.node = self.start_node<ht::agent::node>(entry);
  if (entry.role == "proxy") machine.node = self.start_node<ht::proxy::node>(entry);
  if (entry.role == "engine") machine.node = self.start_engine(entry);
  if (entry.role == "platform") machine.node = self.start_platform(entry);
}

void site::take_away(const std::string& name) { state_->removed.insert(name); }

void site::boot_all() {
  for (auto& [name, entry] : state_->machines) boot(name);
}

void site::add(const std::string& role, const std::string& name, const std::string& zone) {
  auto& entry = state_->add_machine(role, name, zone);
  if (role == "proxy") {
    std::string agent = "agent-of-" + name;
    std::string address = state_->add_machine("agent", agent, zone).inner;
    state_->machines.at(name).agent = address;
    boot(agent);
  }
  (void)entry;
  boot(name);
}

std::vector<std::string> site::of_role(const std::string& role) const {
  std::vector<std::string> names;
  for (auto& [name, entry] : state_->machines)
    if (entry.role == role) names.push_back(name);
  return names;
}
std::string site::role_of(const std::string& name) const {
  auto found = state_->machines.find(name);
  return found == state_->machines.end() ? "" : found->second.role;
}
std::vector<std::string> site::proxies() const {
  std::vector<std::string> addresses;
  for (auto& name : of_role("proxy")) addresses.push_back(state_->machines.at(name).http);
  return addresses;
}

double site::metric(const std::string& node, const std::string& name) {
  auto found = state_->machines.find(node);
  return found == state_->machines.end() ? 0 : found->second.logger.value(name);
}

bool site::proxies_ready() {
  for (auto& name : of_role("proxy"))
    if (!state_->sim_world.find(name).up || metric(name, "herontally_fresh") < 1) return false;
  return true;
}

bool site::begin() {
  auto& self = *state_;
  boot_all();
  for (auto& partner : self.options.partners)
    for (auto& kind : {partner.quick, partner.slow})
      self.sim_oracle.set_budget(kind, self.options.budget_tokens + self.options.budget_growth * 20, 64);
  bool begun = false, applied = false;
  json groups{{"core", json::array()}, {"store", json::array()}};
  for (auto& [name, entry] : self.machines) {
    if (entry.role == "control_node" && groups["core"].size() < 3) groups["core"].push_back(entry.inner);
    if (entry.role == "storage_node" && groups["store"].size() < 3) groups["store"].push_back(entry.inner);
  }
  callers().spawn([](site* owner, std::string body, bool* done) -> rt::task<> {
    while (!*done) {
      auto result = co_await owner->operate("core-1", "POST", "/v1/bootstrap", body, "");
      *done = result.status == 200;
      if (!*done) co_await owner->callers().sleep(200 * rt::millisecond);
    }
  }(this, groups.dump(), &begun));
  if (!self.sim_world.run_until([&] { return begun; }, 20 * rt::second)) return false;
  callers().spawn([](site* owner, std::int64_t* marker, bool* done) -> rt::task<> {
    while (*marker < 2) {
      co_await owner->apply_next("core-1");
      co_await owner->callers().sleep(200 * rt::millisecond);
    }
    *done = true;
  }(this, &self.next_marker, &applied));
  if (!self.sim_world.run_until([&] { return applied; }, 30 * rt::second)) return false;
  bool ready = self.sim_world.run_until([&] { return proxies_ready(); }, 20 * rt::second);
  self.control.start();
  return ready;
}

}  // namespace simulator
