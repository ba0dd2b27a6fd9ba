// The event queue of the simulated world, and machines that boot, fail, freeze and lose their links.
#include "simulator/world.h"

#include "simulator/world_state.h"

namespace simulator {

world::world(std::uint64_t seed) : state_(std::make_shared<state>()) { state_->random.seed(seed); }

world::~world() {
  for (auto& [name, each] : state_->machines) {
    if (each->runtime) each->runtime->stop();
    each->node.reset();
    each->runtime.reset();
    each->inner.clear();
    each->http.clear();
    each->deferred_events.clear();
  }
  state_->exchanges.clear();
  state_->held_messages.clear();
  while (!state_->event_queue.empty()) state_->event_queue.pop();
}

microseconds world::now() const { return state_->now; }
std::mt19937_64& world::random() { return state_->random; }
std::uint64_t world::draw(std::uint64_t below) { return below == 0 ? 0 : state_->random() % below; }
network& world::net() { return state_->net; }

struct machine& world::machine(const std::string& name, const std::string& zone) {
  auto& host = state_->machines[name];
  if (!host) {
    host = std::make_unique<struct machine>();
    host->name = name;
    host->zone = zone;
    // Steady clocks of different machines are unrelated (up to 1000 s apart); wall clocks differ by up to 1
    // s.
    host->clock_offset = static_cast<microseconds>(draw(1000)) * rt::second + 1;
    host->wall_skew = static_cast<microseconds>(draw(rt::second)) - rt::second / 2;
  }
  return *host;
}
struct machine& world::find(const std::string& name) {
  return *state_->machines.at(name);
}

std::vector<std::string> world::names() const {
  std::vector<std::string> list;
  for (auto& [name, each] : state_->machines) list.push_back(name);
  return list;
}

std::uint64_t world::state::schedule(microseconds delay, std::string machine, std::uint64_t life,
                                     std::function<void()> work) {
  std::uint64_t number = next++;
  event_queue.push(
      {now + std::max<microseconds>(0, delay), number, std::move(machine), life, std::move(work)});
  return number;
}

bool world::state::is_running(const std::string& name, std::uint64_t life) const {
  auto found = machines.find(name);
  return found != machines.end() && found->second->up && found->second->life == life;
}

bool world::state::step(microseconds until) {
  if (event_queue.empty() || event_queue.top().when > until) return false;
  scheduled_event event = event_queue.top();
  event_queue.pop();
  now = event.when;
  if (cancelled.erase(event.number)) return true;
  if (event.machine.empty()) {
    event.work();
    return true;
  }
  // An event for an earlier incarnation of the machine is dropped.
  if (!is_running(event.machine, event.life)) return true;
  auto& host = *machines.at(event.machine);
  if (host.frozen)
    host.deferred_events.push_back(std::move(event.work));
  else
    event.work();
  return true;
}

void world::run_for(microseconds span) {
  auto until = state_->now + span;
  while (state_->step(until)) {
  }
  state_->now = until;
}

bool world::run_until(std::function<bool()> condition, microseconds timeout) {
  auto until = state_->now + timeout;
  while (!condition()) {
    if (!state_->step(until)) {
      state_->now = until;
      return condition();
    }
  }
  return true;
}

void world::at(microseconds when, std::function<void()> work) {
  state_->schedule(when - state_->now, "", 0, std::move(work));
}

rt::backend world::state::make_backend(struct machine* self) {
  rt::backend backend;
  std::weak_ptr<state> weak = shared_from_this();
  std::uint64_t life = self->life;
  std::string name = self->name;
  microseconds offset = self->clock_offset;
  // Virtual time 0 is 2026-01-01 00:00 UTC, so that calendars and retention times see plausible dates.
  constexpr microseconds epoch = 1767225600ll * rt::second;
  backend.now = [weak, offset] {
    auto world = weak.lock();
    return world ? world->now + offset : 0;
  };
  // The skew is read each time: a wall clock may be stepped while the process runs.
  backend.wall = [weak, name] {
    auto world = weak.lock();
    return world ? world->now + epoch + world->machines.at(name)->wall_skew : 0;
  };
  backend.after = [weak, name, life](microseconds delay, std::function<void()> work) {
    auto world = weak.lock();
    return world ? world->schedule(delay, name, life, std::move(work)) : 0;
  };
  backend.cancel = [weak](std::uint64_t number) {
    if (auto world = weak.lock()) world->cancelled.insert(number);
  };
  bind_messages(self, backend);
  bind_http(self, backend);
  bind_disk(self, backend);
  return backend;
}

void world::boot(const std::string& name) {
  auto& host = find(name);
  host.up = true;
  host.frozen = false;
  host.disk.crashed = false;
  host.life += 1;
  host.booted = state_->now;
  host.runtime.emplace(state_->make_backend(&host), state_->random());
}

rt::handle world::runtime_of(const std::string& name) { return *find(name).runtime; }

void world::kill(const std::string& name, disk_loss loss, bool silent) {
  auto& host = find(name);
  if (!host.up) return;
  if (!silent) {
    state_->close_channels(name);
    state_->close_http_exchanges(name);
  }
  host.up = false;
  host.deferred_events.clear();
  host.runtime->stop();
  host.node.reset();
  host.runtime.reset();
  host.inner.clear();
  host.http.clear();
  host.draining_http.clear();
  host.resting_connections.clear();
  state_->apply_disk_loss(host, loss);
  std::erase_if(state_->listeners, [&](auto& entry) { return entry.second == name; });
}

void world::freeze(const std::string& name) { find(name).frozen = true; }
void world::wake(const std::string& name) {
  auto& host = find(name);
  if (!host.frozen) return;
  host.frozen = false;
  for (auto& work : std::exchange(host.deferred_events, {}))
    state_->schedule(0, name, host.life, std::move(work));
}

void world::cut(const std::string& from, const std::string& to) { state_->cuts.insert({from, to}); }
bool world::is_cut(const std::string& from, const std::string& to) const {
  return state_->cuts.contains({from, to});
}
void world::heal(const std::string& from, const std::string& to) {
  state_->cuts.erase({from, to});
  auto& earliest = state_->earliest_arrivals[{from, to}];
  earliest = std::max(earliest, state_->now + state_->draw_latency());
  for (auto& work : std::exchange(state_->held_messages[{from, to}], {}))
    state_->schedule(earliest++ - state_->now, "", 0, work);
}
void world::stall(const std::string& name, bool on) { find(name).stalled = on; }
void world::heal_all() {
  auto all = state_->cuts;
  for (auto& [from, to] : all) heal(from, to);
}

}  // namespace simulator
