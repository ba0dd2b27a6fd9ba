// The machines of the site, their settings and faults, and the platform's readiness probes.
#include "platform_site.h"

#include <algorithm>

#include "agent/node.h"
#include "control_node/node.h"
#include "platform/adapter.h"
#include "proxy/node.h"
#include "storage_node/node.h"

namespace herontally::platform_simulator {

const char* const zones[4] = {"zone-a", "zone-b", "zone-c", "zone-d"};
static const char* const platform_address = "10.200.0.100:8142";

static std::string agent_of(const std::string& edge) { return edge + ":agent"; }

site_shape smallest_shape(int losses) {
  site_shape shape;
  shape.losses = losses;
  shape.cores = 2 * losses + 1;
  shape.stores = losses == 1 ? 3 : 4 * losses;
  return shape;
}

site::site(simulator::world& world, oracle& rule_oracle, site_shape shape)
    : world_(world), rule_oracle_(rule_oracle), shape_(shape), control_(make_control_oracle()) {
  for (auto* name : {"clients", "operator", "platform"}) {
    world_.machine(name, "");
    world_.boot(name);
  }
  world_.runtime_of("platform").http_serve(platform_address, [this](auto incoming, auto out) {
    serve_list(std::move(incoming), std::move(out));
  });
}

// Adds the log lines of nodes about singleton roles and groups of voters, and all errors, to the event log.
void site::log_control_event(const json& line) {
  static const std::set<std::string> logged{"moving a group of voters",
                                            "group of voters moved",
                                            "a move of a group of voters was refused",
                                            "a group of voters can't bear all losses that it should",
                                            "singleton role claimed",
                                            "singleton role given up",
                                            "voter begins empty",
                                            "started"};
  if (line["level"] == "error" || logged.contains(line["event"])) log_event("  " + line.dump());
}

simulator::control_oracle site::make_control_oracle() {
  simulator::watched_site watched;
  watched.cores = [this] { return machines_of_role("core"); };
  watched.stores = [this] { return machines_of_role("store"); };
  watched.report = [this](const std::string& rule, const std::string& what) {
    rule_oracle_.violations.push_back({rule, what, world_.now()});
  };
  watched.budget = {shape_.losses, 1};
  return simulator::control_oracle(world_, std::move(watched));
}

std::string site::add(const std::string& role, const std::string& zone) {
  int number = ++machine_counts_[role];
  std::string name = role + "-" + std::to_string(number);
  const char* part = role == "core" ? "0" : role == "store" ? "1" : "2";
  machines_[name] = {name, role, zone, std::string("10.0.") + part + "." + std::to_string(number)};
  world_.machine(name, zone);
  if (role == "edge") world_.machine(agent_of(name), zone);
  return name;
}

std::string site::random_zone() { return zones[world_.draw(static_cast<std::uint64_t>(shape_.zones))]; }

std::vector<std::string> site::machines_of_role(const std::string& role) const {
  std::vector<std::string> names;
  for (auto& [name, each] : machines_)
    if (each.role == role && !each.removed) names.push_back(name);
  return names;
}

std::string site::settings_of(const machine_info& machine, const std::string& role) const {
  // The platform maintains the list of seeds: a removed machine is no longer in it at the next start.
  constexpr std::size_t most_seeds = 3;
  auto cores = machines_of_role("core");
  cores.resize(std::min(cores.size(), most_seeds));
  std::string list;
  for (auto& each : cores) list += (list.empty() ? "\"" : ",\"") + control(each) + "\"";
  std::string text = "node = \"" + machine.name + "\"\nrole = \"" + role + "\"\nip = \"" + machine.ip +
                     "\"\nzone = \"" + machine.zone + "\"\nregion = \"r\"\nport_range = [7380,7395]\n" +
                     "bootstrap = [" + list + "]\ngenesis = " + (is_founded_ ? "false" : "true") +
                     "\nstate_dir = \"data\"\n[sockets]\n";
  if (machine.role == "edge")
    text += "ingress = \"" + ingress(machine.name) + "\"\nreadiness = \"" + machine.ip + ":8141\"\n";
  if (machine.role == "core") text += "control = \"" + control(machine.name) + "\"\n";
  return text + "[fault_budget]\nmachines = " + std::to_string(shape_.losses) + "\nzones = 1\n" +
         "[caps]\ndisk_mb = 320\nmemory_mb = 260\n[bounds]\ngrace_s = 8\ndrain_ms = 3000\n" +
         "[provider]\nendpoint = \"" + platform_address + "\"\nrate_per_s = 40.0\nlag_ms = 800\n";
}

template <class Node, class... More>
void site::start(const machine_info& machine, const std::string& role, More... more) {
  std::string name = role == "agent" ? agent_of(machine.name) : machine.name;
  world_.boot(name);
  auto read = platform::read_settings(settings_of(machine, role), role);
  auto& settings = std::get<settings::settings>(read);
  logging::logger logger(settings.name, [this](auto&, auto& line) { log_control_event(line); });
  auto node = std::make_shared<Node>(world_.runtime_of(name), settings, logger, more...);
  world_.find(name).node = node;
  world_.runtime_of(name).spawn([](std::shared_ptr<Node> begun, site* self, std::string own) -> task<> {
    auto fault = co_await begun->start();
    // Only logged: the platform restarts a process that fails at its start.
    if (fault) self->log_event(own + " failed to start: " + *fault);
  }(node, this, name));
}

void site::boot(const std::string& name) {
  auto& machine = machines_.at(name);
  if (world_.find(name).up || machine.removed) return;
  auto adapter = platform::make_adapter();
  if (machine.role == "core") start<control_node::node>(machine, "core", adapter);
  if (machine.role == "store") start<storage_node::node>(machine, "store");
  if (machine.role == "edge") {
    start<agent::node>(machine, "agent", adapter);
    start<proxy::node>(machine, "proxy", proxy::platform_options{adapter, std::nullopt});
  }
  rule_oracle_.fault_ends(name);
}

void site::kill(const std::string& name, simulator::disk_loss loss, bool silent) {
  rule_oracle_.fault_begins(name);
  world_.kill(name, loss, silent);
  if (machines_.at(name).role == "edge") world_.kill(agent_of(name), loss, silent);
}

void site::freeze(const std::string& name, bool on) {
  if (on)
    rule_oracle_.fault_begins(name);
  else
    rule_oracle_.fault_ends(name);
  bool edge = machines_.at(name).role == "edge";
  for (auto& each : {name, agent_of(name)}) {
    if (each != name && !edge) continue;
    on ? world_.freeze(each) : world_.wake(each);
  }
}

void site::cut_network(const std::string& name, bool both_ways) {
  rule_oracle_.fault_begins(name);
  for (auto& other : world_.names()) {
    if (other == name || other == agent_of(name)) continue;
    for (auto& own : {name, agent_of(name)}) {
      if (own != name && machines_.at(name).role != "edge") continue;
      world_.cut(own, other);
      if (both_ways) world_.cut(other, own);
    }
  }
}
void site::isolate_from_data_nodes(const std::string& name) {
  rule_oracle_.fault_begins(name);
  for (auto& [other, machine] : machines_) {
    if (other == name || machine.role == "edge") continue;
    world_.cut(name, other);
    world_.cut(other, name);
  }
}
void site::heal(const std::string& name) {
  for (auto& other : world_.names())
    for (auto& own : {name, agent_of(name)}) {
      world_.heal(own, other);
      world_.heal(other, own);
    }
  rule_oracle_.fault_ends(name);
}

template <class Node>
static task<> leave_into(std::shared_ptr<Node> node, runtime::slot<bool> done) {
  co_await node->leave();
  done.set(true);
}

// What the program does on SIGTERM: it leaves, then ends. The platform kills it after the grace period.
template <class Node>
static task<> leave_and_end(std::shared_ptr<Node> node, simulator::world* world, std::string name,
                            std::uint64_t life) {
  auto runtime = world->runtime_of(name);
  runtime::slot<bool> done(runtime);
  runtime.spawn(leave_into(node, done));
  auto timer = runtime.after(grace - 400 * millisecond, [done] { done.set(false); });
  co_await done.wait();
  runtime.cancel(timer);
  world->at(world->now(), [world, name, life] {
    if (world->find(name).life == life) world->kill(name, simulator::disk_loss::none);
  });
}

void site::restart_with_notice(const std::string& name) {
  rule_oracle_.shutdown_notice(name);
  auto leave = [this](const std::string& process, auto pointer) {
    world_.runtime_of(process).spawn(leave_and_end(pointer, &world_, process, world_.find(process).life));
  };
  auto node = [this](const std::string& process) -> std::any& { return world_.find(process).node; };
  auto& machine = machines_.at(name);
  if (machine.role == "core") leave(name, std::any_cast<std::shared_ptr<control_node::node>>(node(name)));
  if (machine.role == "store") leave(name, std::any_cast<std::shared_ptr<storage_node::node>>(node(name)));
  if (machine.role == "edge") {
    auto agent = agent_of(name);
    leave(name, std::any_cast<std::shared_ptr<proxy::node>>(node(name)));
    leave(agent, std::any_cast<std::shared_ptr<agent::node>>(node(agent)));
  }
  world_.at(world_.now() + grace, [this, name] {
    world_.kill(name, simulator::disk_loss::none);
    if (machines_.at(name).role == "edge") world_.kill(agent_of(name), simulator::disk_loss::none);
    boot(name);
  });
}

void site::remove_machine(const std::string& name) {
  kill(name, simulator::disk_loss::all, false);
  machines_.at(name).removed = true;
  // An orderly removal doesn't count as a fault.
  rule_oracle_.fault_ends(name);
}

void site::log_event(const std::string& what) {
  event_log.push_back(std::to_string(world_.now() / millisecond) + " ms " + what);
}

// The platform's readiness probes: clients are sent to edges that answer them; two failures in a row exclude
// an edge.
task<> site::probe_edges_forever() {
  auto runtime = world_.runtime_of("platform");
  while (true) {
    for (auto& name : machines_of_role("edge"))
      runtime.spawn([](site* self, runtime::handle runtime, std::string name) -> task<> {
        runtime::http_request asked;
        asked.path = "/-/ready";
        auto result =
            co_await runtime::http_fetch(runtime, self->machines_.at(name).ip + ":8141", asked, second);
        auto* response = std::get_if<runtime::http_response>(&result);
        bool ready = response && response->status == 200;
        self->failed_probes_[name] = ready ? 0 : self->failed_probes_[name] + 1;
      }(this, runtime, name));
    co_await runtime.sleep(second);
  }
}

std::string site::pick_edge(const std::string& zone) {
  std::vector<std::string> near, ready, any;
  for (auto& name : machines_of_role("edge")) {
    bool is_ready = failed_probes_[name] < 2;
    any.push_back(name);
    if (is_ready) ready.push_back(name);
    if (is_ready && machines_.at(name).zone == zone) near.push_back(name);
  }
  auto& from = !near.empty() ? near : !ready.empty() ? ready : any;
  return from[world_.draw(from.size())];
}

bool site::begin() {
  for (int number = 0; number < shape_.cores; ++number) add("core", zones[number % shape_.zones]);
  for (int number = 0; number < shape_.stores; ++number) add("store", zones[number % shape_.zones]);
  for (int number = 0; number < shape_.edges; ++number) add("edge", zones[number % shape_.zones]);
  for (int number = 0; number < 6; ++number) add_engine("models", zones[number % shape_.zones], "");
  for (auto* service : {"apps_a", "apps_b"})
    for (int number = 0; number < shape_.zones; ++number) add_engine(service, zones[number], "");
  for (auto& [machine, engine] : engines_) engine->cold_until = -1;
  for (auto& [name, each] : machines_) {
    failed_probes_[name] = 2;
    boot(name);
  }
  world_.runtime_of("platform").spawn(probe_edges_forever());
  auto first = next_version(0);
  world_.runtime_of("operator").spawn([](site* self, version first) -> task<> {
    while (self->acknowledged_version == 0) co_await self->change(first, false);
  }(this, first));
  is_founded_ = true;
  bool ready = world_.run_until(
      [this] {
        auto edges = machines_of_role("edge");
        return acknowledged_version > 0 && std::all_of(edges.begin(), edges.end(), [this](auto& name) {
                 return failed_probes_[name] == 0;
               });
      },
      60 * second);
  control_.start();
  return ready;
}

}  // namespace herontally::platform_simulator
