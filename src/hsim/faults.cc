#include "hsim/faults.h"

namespace hsim {

namespace rt = herontally::runtime;

struct faults::state : std::enable_shared_from_this<faults::state> {
  site& target;
  oracle& judge;
  std::vector<std::string>& story;
  std::set<std::string> evacuated;
  std::set<std::string> gone;  // machines that were replaced and never come back
  int stores_replaced = 0, cores_replaced = 0, spares = 0;
  microseconds store_quiet_until = 0;
  state(site& where, oracle& oracle_of, std::vector<std::string>& lines)
      : target(where), judge(oracle_of), story(lines) {}

  world& w() { return target.where(); }
  void tell(const std::string& line) { story.push_back(std::to_string(w().now() / 1000) + " ms: " + line); }
  microseconds span(double least, double most) {
    auto from = static_cast<microseconds>(least * rt::second),
         to = static_cast<microseconds>(most * rt::second);
    return from + static_cast<microseconds>(w().draw(static_cast<std::uint64_t>(to - from + 1)));
  }
  void later(microseconds delay, std::function<void()> work) { w().at(w().now() + delay, std::move(work)); }
  std::string pick(const std::vector<std::string>& names) {
    return names.empty() ? "" : names[w().draw(names.size())];
  }
  std::string pick_node() {
    auto names = target.of_role(pick({"hcore", "hstore", "hagent", "hproxy", "engine"}));
    std::erase_if(names, [this](auto& name) { return gone.count(name) || !w().find(name).up; });
    return pick(names);
  }
  void boot_later(const std::string& name, microseconds delay) {
    later(delay, [self = shared_from_this(), name] {
      if (!self->gone.count(name) && !self->target.role_of(name).empty()) self->target.boot(name);
    });
  }
  std::vector<std::string> in_zone(const std::string& zone) {
    std::vector<std::string> names;
    for (auto& name : w().names())
      if (w().find(name).zone == zone && !gone.count(name) && !target.role_of(name).empty())
        names.push_back(name);
    return names;
  }
  std::vector<std::string> ours() {
    std::vector<std::string> names;
    for (auto* role : {"hcore", "hstore", "hagent", "hproxy"})
      for (auto& name : target.of_role(role))
        if (!gone.count(name)) names.push_back(name);
    return names;
  }

  void kill_one() {
    auto name = pick_node();
    if (name.empty()) return;
    auto loss = w().draw(2) ? disk_loss::none : disk_loss::unsynced;
    bool silent = loss == disk_loss::unsynced;
    tell("kill " + name + (silent ? " by power" : ""));
    w().kill(name, loss, silent);
    boot_later(name, span(0.1, 6));
  }
  void freeze_one() {
    auto name = pick_node();
    if (name.empty()) return;
    tell("freeze " + name);
    w().freeze(name);
    later(span(0.2, 7), [self = shared_from_this(), name] { self->w().wake(name); });
  }
  void cut_between(std::vector<std::string> left, std::vector<std::string> right, bool both) {
    for (auto& from : left)
      for (auto& to : right) {
        if (from == to) continue;
        w().cut(from, to);
        if (both) w().cut(to, from);
      }
    later(span(0.5, 6), [self = shared_from_this(), left, right] {
      for (auto& from : left)
        for (auto& to : right) {
          self->w().heal(from, to);
          self->w().heal(to, from);
        }
    });
  }
  void cut_some() {
    auto name = pick(ours());
    auto others = ours();
    for (auto& engine : target.of_role("engine")) others.push_back(engine);
    others.push_back("callers");
    // An agent and its door stand on one machine; nothing cuts them from each other.
    std::string beside = name.rfind("door", 0) == 0    ? "agent" + name.substr(4)
                         : name.rfind("agent", 0) == 0 ? "door" + name.substr(5)
                                                       : "";
    std::erase_if(others, [&](auto& other) { return w().draw(2) == 0 || other == beside; });
    bool both = w().draw(2);
    tell(std::string("cut ") + (both ? "" : "one way ") + name + " from " + std::to_string(others.size()) +
         " others");
    cut_between({name}, others, both);
  }
  void split_core() {
    auto cores = target.of_role("hcore");
    auto rest = ours();
    std::erase_if(rest, [this](auto& name) { return target.role_of(name) == "hcore"; });
    if (w().draw(2)) {
      tell("core cut off from all");
      cut_between(cores, rest, true);
    } else {
      auto lone = pick(cores);
      std::erase(cores, lone);
      // Some edges end up on the lone core's side.
      std::erase_if(rest, [this](auto&) { return w().draw(2) == 0; });
      tell("core split: " + lone + " alone with some");
      cores.insert(cores.end(), rest.begin(), rest.end());
      cut_between({lone}, cores, true);
    }
  }
  void lose_zone() {
    auto zone = pick({"zone-a", "zone-b", "zone-c"});
    tell("lose " + zone);
    auto back = span(1, 6);
    for (auto& name : in_zone(zone)) {
      w().kill(name, disk_loss::unsynced, true);
      boot_later(name, back);
    }
  }
  void replace(const std::string& role, int& count) {
    // One machine with a disk at a time, and all others whole: more is beyond what must be survived.
    if (count >= 1) return;
    auto names = target.of_role(role);
    for (auto& name : names)
      if (!w().find(name).up || w().find(name).frozen) return;
    ++count;
    auto name = pick(names);
    auto zone = w().find(name).zone;
    w().kill(name, disk_loss::all, true);
    if (w().draw(2)) {
      tell("disk of " + name + " lost; it comes back empty");
      boot_later(name, span(0.2, 3));
      return;
    }
    std::string fresh = role == "hcore" ? "core-new" : "store-new";
    tell(name + " replaced by empty " + fresh);
    gone.insert(name);
    later(span(0.2, 4),
          [self = shared_from_this(), role, fresh, zone] { self->target.add(role, fresh, zone); });
  }
  void roll_engine() {
    auto names = target.of_role("engine");
    std::erase_if(names, [this](auto& name) { return !w().find(name).up || gone.count(name); });
    auto name = pick(names);
    if (name.empty()) return;
    tell("roll " + name);
    gone.insert(name);
    target.roll_engine(name, name.rfind("model", 0) == 0 ? target.options().weights : "");
  }
  // New weights come with new engines, one after another, and with a state that names them.
  void change_weights() {
    auto& weights = target.options().weights;
    weights = weights == "v1" ? "v2" : "v1";
    tell("weights become " + weights);
    target.callers().spawn(target.apply_until_done());
    microseconds wait = 0;
    for (auto& name : target.of_role("engine")) {
      if (name.rfind("model", 0) != 0 || gone.count(name)) continue;
      gone.insert(name);
      later(wait, [self = shared_from_this(), name, weights] { self->target.roll_engine(name, weights); });
      wait += 300 * rt::millisecond;
    }
  }
  rt::task<> apply(std::string core) { co_await target.apply_next(std::move(core)); }
  void race_operators() {
    tell("operators race");
    for (auto& core : target.of_role("hcore"))
      for (int each = 0; each < 2; ++each) target.callers().spawn(apply(core));
  }
  void configure() {
    tell("configure");
    target.callers().spawn(apply(pick(target.of_role("hcore"))));
  }
  void evacuate() {
    auto zone = pick({"zone-a", "zone-b", "zone-c"});
    // Once per run and zone: two overlapping evacuations would leave open which of them counts.
    if (!evacuated.insert(zone).second) return;
    tell("evacuate " + zone);
    target.callers().spawn(target.change_zone(zone, true));
    later(span(6, 12), [self = shared_from_this(), zone] {
      self->target.callers().spawn(self->target.change_zone(zone, false));
    });
  }
  void upset_engine() {
    auto name = pick(target.of_role("engine"));
    auto how = pick({"lose-answers", "lender-pause", "lender-cut", "lender-garble"});
    tell(name + " " + how);
    target.misbehave(name, how);
    later(span(2, 8), [self = shared_from_this(), name] { self->target.misbehave(name, "well"); });
  }
  // One edge machine hears nothing any more, while the state is changed and visitors still reach its door.
  void make_stale() {
    auto agent = pick(target.of_role("hagent"));
    tell("news cut off from " + agent);
    auto others = ours();
    std::erase_if(others, [&](auto& name) { return target.role_of(name) == "hproxy" || name == agent; });
    for (auto& other : others) {
      w().cut(agent, other);
      w().cut(other, agent);
    }
    later(500 * rt::millisecond, [self = shared_from_this()] {
      self->target.callers().spawn(self->apply(self->pick(self->target.of_role("hcore"))));
    });
    later(span(6, 9), [self = shared_from_this(), agent, others] {
      for (auto& other : others) {
        self->w().heal(agent, other);
        self->w().heal(other, agent);
      }
    });
  }
  // A door sleeps long enough for its programs to go on elsewhere, and then wakes.
  void doze() {
    auto name = pick(target.of_role("hproxy"));
    if (!w().find(name).up || w().find(name).frozen) return;
    tell("doze " + name);
    w().freeze(name);
    later(span(4, 9), [self = shared_from_this(), name] { self->w().wake(name); });
  }
  void upset_disk() {
    auto name = pick(target.of_role(w().draw(3) ? "hstore" : "hcore"));
    if (gone.count(name)) return;
    auto how = w().draw(3);
    tell("disk of " + name + (how == 0 ? " slow" : how == 1 ? " full" : " failing"));
    auto& disk = w().find(name).disk;
    if (how == 0) disk.sync_time = 150 * rt::millisecond;
    if (how == 1) disk.full = true;
    if (how == 2) disk.failing = true;
    later(span(1, 6), [self = shared_from_this(), name] {
      auto& healed = self->w().find(name).disk;
      healed.sync_time = 300;
      healed.full = healed.failing = false;
    });
  }
  void total_loss();
};

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

const std::vector<std::string>& fault_kinds() {
  static const std::vector<std::string> kinds{"kill", "freeze",  "cut",   "split",     "zone",     "store",
                                              "core", "roll",    "race",  "configure", "evacuate", "engine",
                                              "disk", "weights", "stale", "doze",      "total"};
  return kinds;
}

void faults::begin(const std::string& kind) {
  auto& self = *state_;
  if (kind == "kill") self.kill_one();
  if (kind == "freeze") self.freeze_one();
  if (kind == "cut") self.cut_some();
  if (kind == "split") self.split_core();
  if (kind == "zone") self.lose_zone();
  if (kind == "store") self.replace("hstore", self.stores_replaced);
  if (kind == "core") self.replace("hcore", self.cores_replaced);
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
}

void faults::end_all() {
  auto& self = *state_;
  self.tell("peace");
  self.w().heal_all();
  for (auto& name : self.w().names()) {
    auto& machine = self.w().find(name);
    self.w().wake(name);
    machine.disk.full = machine.disk.failing = false;
    machine.disk.sync_time = 300;
    if (!self.gone.count(name) && !self.target.role_of(name).empty()) self.target.boot(name);
  }
  for (auto& name : self.target.of_role("engine")) self.target.misbehave(name, "well");
}

}  // namespace hsim
