// Internal to simulator's faults.
#pragma once
#include "simulator/faults.h"

namespace simulator {

namespace rt = herontally::runtime;

struct faults::state : std::enable_shared_from_this<faults::state> {
  site& target;
  oracle& judge;
  std::vector<std::string>& story;
  std::set<std::string> evacuated;
  std::set<std::string> gone;  // machines that were replaced and never come back
  bool versions_apart = false;
  int stores_replaced = 0, cores_replaced = 0, spares = 0;
  // What to do when a client or an operator next gets its reply.
  std::function<void()> on_next_reply;
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
    auto names = target.of_role(pick({"control_node", "storage_node", "agent", "proxy", "engine"}));
    std::erase_if(names, [this](auto& name) { return gone.contains(name) || !w().find(name).up; });
    return pick(names);
  }
  void boot_later(const std::string& name, microseconds delay) {
    later(delay, [self = shared_from_this(), name] {
      if (!self->gone.contains(name) && !self->target.role_of(name).empty()) self->target.boot(name);
    });
  }
  std::vector<std::string> in_zone(const std::string& zone) {
    std::vector<std::string> names;
    for (auto& name : w().names())
      if (w().find(name).zone == zone && !gone.contains(name) && !target.role_of(name).empty())
        names.push_back(name);
    return names;
  }
  std::vector<std::string> ours() {
    std::vector<std::string> names;
    for (auto* role : {"control_node", "storage_node", "agent", "proxy"})
      for (auto& name : target.of_role(role))
        if (!gone.contains(name)) names.push_back(name);
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
    // An agent and its proxy stand on one machine; nothing cuts them from each other.
    std::string beside = name.rfind("edge", 0) == 0    ? "agent" + name.substr(4)
                         : name.rfind("agent", 0) == 0 ? "edge" + name.substr(5)
                                                       : "";
    std::erase_if(others, [&](auto& other) { return w().draw(2) == 0 || other == beside; });
    bool both = w().draw(2);
    tell(std::string("cut ") + (both ? "" : "one way ") + name + " from " + std::to_string(others.size()) +
         " others");
    cut_between({name}, others, both);
  }
  void split_core() {
    auto cores = target.of_role("control_node");
    auto rest = ours();
    std::erase_if(rest, [this](auto& name) { return target.role_of(name) == "control_node"; });
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
  void replace(const std::string& role, int& count);
  void roll_engine();
  void change_weights();
  rt::task<> apply(std::string core);
  void race_operators();
  void configure();
  void evacuate();
  void upset_engine();
  void make_stale();
  void doze();
  void upset_disk();
  void total_loss();
  void retire_storage();
  void add_machine();
  void upset_platform();
  void warn_one();
  void roll_all();
  void replace_and_lose_zone();
  void upgrade();
  void corrupt_disk();
  void send_twice();
  void fail_lender();
  void lose_power_after_reply();
  void freeze_at_await();
};

}  // namespace simulator
