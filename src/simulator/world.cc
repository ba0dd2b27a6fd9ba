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
    each->held.clear();
  }
  state_->exchanges.clear();
  state_->held.clear();
  while (!state_->happenings.empty()) state_->happenings.pop();
}

microseconds world::now() const { return state_->now; }
std::mt19937_64& world::random() { return state_->random; }
std::uint64_t world::draw(std::uint64_t below) { return below == 0 ? 0 : state_->random() % below; }
network& world::net() { return state_->net; }

struct machine& world::machine(const std::string& name, const std::string& zone) {
  auto& place = state_->machines[name];
  if (!place) {
    place = std::make_unique<struct machine>();
    place->name = name;
    place->zone = zone;
    // Steady clocks have nothing in common; wall clocks are up to a second apart.
    place->clock_offset = static_cast<microseconds>(draw(1000)) * rt::second + 1;
    place->wall_skew = static_cast<microseconds>(draw(rt::second)) - rt::second / 2;
  }
  return *place;
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
  happenings.push(
      {now + std::max<microseconds>(0, delay), number, std::move(machine), life, std::move(work)});
  return number;
}

bool world::state::lives(const std::string& name, std::uint64_t life) const {
  auto found = machines.find(name);
  return found != machines.end() && found->second->up && found->second->life == life;
}

bool world::state::step(microseconds until) {
  if (happenings.empty() || happenings.top().when > until) return false;
  happening next_one = happenings.top();
  happenings.pop();
  now = next_one.when;
  if (cancelled.erase(next_one.number)) return true;
  if (next_one.machine.empty()) {
    next_one.work();
    return true;
  }
  // What was meant for an earlier life is lost with it.
  if (!lives(next_one.machine, next_one.life)) return true;
  auto& place = *machines.at(next_one.machine);
  if (place.frozen)
    place.held.push_back(std::move(next_one.work));
  else
    next_one.work();
  return true;
}

void world::run_for(microseconds span) {
  auto until = state_->now + span;
  while (state_->step(until)) {
  }
  state_->now = until;
}

bool world::run_until(std::function<bool()> condition, microseconds most) {
  auto until = state_->now + most;
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

rt::backend world::state::make(struct machine* self) {
  rt::backend table;
  std::weak_ptr<state> weak = shared_from_this();
  std::uint64_t life = self->life;
  std::string name = self->name;
  microseconds offset = self->clock_offset;
  // A day in 2026, so that calendars and keeping times meet plausible dates.
  constexpr microseconds epoch = 1767225600ll * rt::second;
  table.now = [weak, offset] {
    auto here = weak.lock();
    return here ? here->now + offset : 0;
  };
  // The skew is read each time: a wall clock may be stepped while the process runs.
  table.wall = [weak, name] {
    auto here = weak.lock();
    return here ? here->now + epoch + here->machines.at(name)->wall_skew : 0;
  };
  table.after = [weak, name, life](microseconds delay, std::function<void()> work) {
    auto here = weak.lock();
    return here ? here->schedule(delay, name, life, std::move(work)) : 0;
  };
  table.cancel = [weak](std::uint64_t number) {
    if (auto here = weak.lock()) here->cancelled.insert(number);
  };
  bind_inner(self, table);
  bind_http(self, table);
  bind_disk(self, table);
  return table;
}

void world::boot(const std::string& name) {
  auto& place = find(name);
  place.up = true;
  place.frozen = false;
  place.disk.crashed = false;
  place.life += 1;
  place.booted = state_->now;
  place.runtime.emplace(state_->make(&place), state_->random());
}

rt::handle world::runtime_of(const std::string& name) { return *find(name).runtime; }

void world::kill(const std::string& name, disk_loss loss, bool silent) {
  auto& place = find(name);
  if (!place.up) return;
  if (!silent) {
    state_->break_inner(name);
    state_->break_http(name);
  }
  place.up = false;
  place.held.clear();
  place.runtime->stop();
  place.node.reset();
  place.runtime.reset();
  place.inner.clear();
  place.http.clear();
  place.draining_http.clear();
  place.resting_connections.clear();
  state_->lose(place, loss);
  std::erase_if(state_->by_address, [&](auto& entry) { return entry.second == name; });
}

void world::freeze(const std::string& name) { find(name).frozen = true; }
void world::wake(const std::string& name) {
  auto& place = find(name);
  if (!place.frozen) return;
  place.frozen = false;
  for (auto& work : std::exchange(place.held, {})) state_->schedule(0, name, place.life, std::move(work));
}

void world::cut(const std::string& from, const std::string& to) { state_->cuts.insert({from, to}); }
bool world::is_cut(const std::string& from, const std::string& to) const {
  return state_->cuts.contains({from, to});
}
void world::heal(const std::string& from, const std::string& to) {
  state_->cuts.erase({from, to});
  auto& floor = state_->floors[{from, to}];
  floor = std::max(floor, state_->now + state_->latency());
  for (auto& work : std::exchange(state_->held[{from, to}], {}))
    state_->schedule(floor++ - state_->now, "", 0, work);
}
void world::stall(const std::string& name, bool on) { find(name).stalled = on; }
void world::heal_all() {
  auto all = state_->cuts;
  for (auto& [from, to] : all) heal(from, to);
}

}  // namespace simulator
