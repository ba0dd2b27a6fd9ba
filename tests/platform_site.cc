// The machines of the site, their settings, and the platform beside them.
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

site::site(simulator::world& where, oracle& judge, site_shape shape)
    : where_(where), judge_(judge), shape_(shape), control_(make_control_oracle()) {
  for (auto* name : {"clients", "operator", "platform"}) {
    where_.machine(name, "");
    where_.boot(name);
  }
  where_.runtime_of("platform").http_serve(platform_address, [this](auto incoming, auto out) {
    serve_list(std::move(incoming), std::move(out));
  });
}

// What cores and stores log of their roles and groups belongs to the story of a run.
void site::tell_of_control(const json& line) {
  static const std::set<std::string> told{"moving a group of voters",
                                          "group of voters moved",
                                          "a move of a group of voters was refused",
                                          "a group of voters can't bear all losses that it should",
                                          "singleton role claimed",
                                          "singleton role given up",
                                          "voter begins empty",
                                          "started"};
  if (line["level"] == "error" || told.contains(line["event"])) tell("  " + line.dump());
}

simulator::control_oracle site::make_control_oracle() {
  simulator::watched_site watched;
  watched.cores = [this] { return of_role("core"); };
  watched.stores = [this] { return of_role("store"); };
  watched.report = [this](const std::string& rule, const std::string& what) {
    judge_.violations.push_back({rule, what, where_.now()});
  };
  watched.budget = {shape_.losses, 1};
  return simulator::control_oracle(where_, std::move(watched));
}

std::string site::add(const std::string& role, const std::string& zone) {
  int number = ++hosts_[role];
  std::string name = role + "-" + std::to_string(number);
  const char* part = role == "core" ? "0" : role == "store" ? "1" : "2";
  places_[name] = {name, role, zone, std::string("10.0.") + part + "." + std::to_string(number)};
  where_.machine(name, zone);
  if (role == "edge") where_.machine(agent_of(name), zone);
  return name;
}

std::string site::draw_zone() { return zones[where_.draw(static_cast<std::uint64_t>(shape_.zones))]; }

std::vector<std::string> site::of_role(const std::string& role) const {
  std::vector<std::string> names;
  for (auto& [name, each] : places_)
    if (each.role == role && !each.gone) names.push_back(name);
  return names;
}

std::string site::settings_of(const machine_place& place, const std::string& role) const {
  // The platform keeps the list of seeds: a machine that was taken away doesn't stand in it at the next
  // start.
  constexpr std::size_t most_seeds = 3;
  auto cores = of_role("core");
  cores.resize(std::min(cores.size(), most_seeds));
  std::string list;
  for (auto& each : cores) list += (list.empty() ? "\"" : ",\"") + control(each) + "\"";
  std::string text = "node = \"" + place.name + "\"\nrole = \"" + role + "\"\nip = \"" + place.ip +
                     "\"\nzone = \"" + place.zone + "\"\nregion = \"r\"\nport_range = [7380,7395]\n" +
                     "bootstrap = [" + list + "]\ngenesis = " + (founded_ ? "false" : "true") +
                     "\nstate_dir = \"data\"\n[sockets]\n";
  if (place.role == "edge")
    text += "ingress = \"" + ingress(place.name) + "\"\nreadiness = \"" + place.ip + ":8141\"\n";
  if (place.role == "core") text += "control = \"" + control(place.name) + "\"\n";
  return text + "[fault_budget]\nmachines = " + std::to_string(shape_.losses) + "\nzones = 1\n" +
         "[caps]\ndisk_mb = 320\nmemory_mb = 260\n[bounds]\ngrace_s = 8\ndrain_ms = 3000\n" +
         "[provider]\nendpoint = \"" + platform_address + "\"\nrate_per_s = 40.0\nlag_ms = 800\n";
}

template <class Node, class... More>
void site::start(const machine_place& place, const std::string& role, More... more) {
  std::string name = role == "agent" ? agent_of(place.name) : place.name;
  where_.boot(name);
  auto read = platform::read_settings(settings_of(place, role), role);
  auto& settings = std::get<settings::settings>(read);
  logging::logger logger(settings.name, [this](auto&, auto& line) { tell_of_control(line); });
  auto node = std::make_shared<Node>(where_.runtime_of(name), settings, logger, more...);
  where_.find(name).node = node;
  where_.runtime_of(name).spawn([](std::shared_ptr<Node> begun, site* self, std::string own) -> task<> {
    auto fault = co_await begun->start();
    // The platform starts anew what gave up at its start.
    if (fault) self->tell(own + " gave up: " + *fault);
  }(node, this, name));
}

void site::boot(const std::string& name) {
  auto& place = places_.at(name);
  if (where_.find(name).up || place.gone) return;
  auto speech = platform::make_adapter();
  if (place.role == "core") start<control_node::node>(place, "core", speech);
  if (place.role == "store") start<storage_node::node>(place, "store");
  if (place.role == "edge") {
    start<agent::node>(place, "agent", speech);
    start<proxy::node>(place, "proxy", proxy::platform_options{speech, std::nullopt});
  }
  judge_.calm(name);
}

void site::kill(const std::string& name, simulator::disk_loss loss, bool silent) {
  judge_.trouble(name);
  where_.kill(name, loss, silent);
  if (places_.at(name).role == "edge") where_.kill(agent_of(name), loss, silent);
}

void site::freeze(const std::string& name, bool on) {
  if (on)
    judge_.trouble(name);
  else
    judge_.calm(name);
  bool edge = places_.at(name).role == "edge";
  for (auto& each : {name, agent_of(name)}) {
    if (each != name && !edge) continue;
    on ? where_.freeze(each) : where_.wake(each);
  }
}

void site::cut_off(const std::string& name, bool both_ways) {
  judge_.trouble(name);
  for (auto& other : where_.names()) {
    if (other == name || other == agent_of(name)) continue;
    for (auto& own : {name, agent_of(name)}) {
      if (own != name && places_.at(name).role != "edge") continue;
      where_.cut(own, other);
      if (both_ways) where_.cut(other, own);
    }
  }
}
void site::isolate(const std::string& name) {
  judge_.trouble(name);
  for (auto& [other, place] : places_) {
    if (other == name || place.role == "edge") continue;
    where_.cut(name, other);
    where_.cut(other, name);
  }
}
void site::heal(const std::string& name) {
  for (auto& other : where_.names())
    for (auto& own : {name, agent_of(name)}) {
      where_.heal(own, other);
      where_.heal(other, own);
    }
  judge_.calm(name);
}

template <class Node>
static task<> leave_into(std::shared_ptr<Node> node, runtime::slot<bool> done) {
  co_await node->leave();
  done.set(true);
}

// As the program does on SIGTERM: leave, then end; the platform kills it after the grace.
template <class Node>
static task<> leave_and_end(std::shared_ptr<Node> node, simulator::world* where, std::string name,
                            std::uint64_t life) {
  auto runtime = where->runtime_of(name);
  runtime::slot<bool> done(runtime);
  runtime.spawn(leave_into(node, done));
  auto timer = runtime.after(grace - 400 * millisecond, [done] { done.set(false); });
  co_await done.wait();
  runtime.cancel(timer);
  where->at(where->now(), [where, name, life] {
    if (where->find(name).life == life) where->kill(name, simulator::disk_loss::none);
  });
}

void site::roll(const std::string& name) {
  judge_.notice(name);
  auto leave = [this](const std::string& process, auto pointer) {
    where_.runtime_of(process).spawn(leave_and_end(pointer, &where_, process, where_.find(process).life));
  };
  auto node = [this](const std::string& process) -> std::any& { return where_.find(process).node; };
  auto& place = places_.at(name);
  if (place.role == "core") leave(name, std::any_cast<std::shared_ptr<control_node::node>>(node(name)));
  if (place.role == "store") leave(name, std::any_cast<std::shared_ptr<storage_node::node>>(node(name)));
  if (place.role == "edge") {
    auto agent = agent_of(name);
    leave(name, std::any_cast<std::shared_ptr<proxy::node>>(node(name)));
    leave(agent, std::any_cast<std::shared_ptr<agent::node>>(node(agent)));
  }
  where_.at(where_.now() + grace, [this, name] {
    where_.kill(name, simulator::disk_loss::none);
    if (places_.at(name).role == "edge") where_.kill(agent_of(name), simulator::disk_loss::none);
    boot(name);
  });
}

void site::take_away(const std::string& name) {
  kill(name, simulator::disk_loss::all, false);
  places_.at(name).gone = true;
  // Taken away in order it is no trouble.
  judge_.calm(name);
}

void site::tell(const std::string& what) {
  story.push_back(std::to_string(where_.now() / millisecond) + " ms " + what);
}

// Clients keep to the machines that answer the platform's question; two misses put one out.
task<> site::probe_forever() {
  auto runtime = where_.runtime_of("platform");
  while (true) {
    for (auto& name : of_role("edge"))
      runtime.spawn([](site* self, runtime::handle runtime, std::string name) -> task<> {
        runtime::http_request asked;
        asked.path = "/-/ready";
        auto result =
            co_await runtime::http_fetch(runtime, self->places_.at(name).ip + ":8141", asked, second);
        auto* response = std::get_if<runtime::http_response>(&result);
        bool ready = response && response->status == 200;
        self->missed_[name] = ready ? 0 : self->missed_[name] + 1;
      }(this, runtime, name));
    co_await runtime.sleep(second);
  }
}

std::string site::pick_edge(const std::string& zone) {
  std::vector<std::string> near, ready, any;
  for (auto& name : of_role("edge")) {
    bool in = missed_[name] < 2;
    any.push_back(name);
    if (in) ready.push_back(name);
    if (in && places_.at(name).zone == zone) near.push_back(name);
  }
  auto& from = !near.empty() ? near : !ready.empty() ? ready : any;
  return from[where_.draw(from.size())];
}

bool site::begin() {
  for (int number = 0; number < shape_.cores; ++number) add("core", zones[number % shape_.zones]);
  for (int number = 0; number < shape_.stores; ++number) add("store", zones[number % shape_.zones]);
  for (int number = 0; number < shape_.edges; ++number) add("edge", zones[number % shape_.zones]);
  for (int number = 0; number < 6; ++number) add_engine("models", zones[number % shape_.zones], "");
  for (auto* service : {"apps_a", "apps_b"})
    for (int number = 0; number < shape_.zones; ++number) add_engine(service, zones[number], "");
  for (auto& [machine, life] : lives_) life->cold_until = -1;
  for (auto& [name, each] : places_) {
    missed_[name] = 2;
    boot(name);
  }
  where_.runtime_of("platform").spawn(probe_forever());
  auto first = next_version(0);
  where_.runtime_of("operator").spawn([](site* self, version first) -> task<> {
    while (self->current == 0) co_await self->change(first, false);
  }(this, first));
  founded_ = true;
  bool ready = where_.run_until(
      [this] {
        auto edges = of_role("edge");
        return current > 0 &&
               std::all_of(edges.begin(), edges.end(), [this](auto& name) { return missed_[name] == 0; });
      },
      60 * second);
  control_.start();
  return ready;
}

}  // namespace herontally::platform_simulator
