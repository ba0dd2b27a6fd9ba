// Internal to simulator's faults: the state that they share, their helpers, and the simple faults. Those of
// single parts of a site are in faults_site.cc; combined ones and those with a chosen moment in
// faults_aimed.cc.
#pragma once
#include "simulator/faults.h"

namespace simulator {

namespace rt = herontally::runtime;

struct fault_injector::state : std::enable_shared_from_this<fault_injector::state> {
  site& target;
  oracle& checker;
  std::vector<std::string>& fault_log;
  std::set<std::string> evacuated;
  std::set<std::string> removed;  // machines that were replaced or retired and never come back
  bool upgrade_started = false;
  // Losses of a disk or machine by role, at most one in a run; and the number of machines that were added.
  int stores_replaced = 0, cores_replaced = 0, spares = 0;
  // Fault to inject when a client next receives an acknowledgement.
  std::function<void()> on_next_reply;
  state(site& where, oracle& oracle_of, std::vector<std::string>& lines)
      : target(where), checker(oracle_of), fault_log(lines) {}

  world& sim() { return target.where(); }
  void log_fault(const std::string& line) {
    fault_log.push_back(std::to_string(sim().now() / 1000) + " ms: " + line);
  }
  // A random duration; the bounds are in seconds.
  microseconds random_duration(double shortest, double longest) {
    auto from = static_cast<microseconds>(shortest * rt::second),
         to = static_cast<microseconds>(longest * rt::second);
    return from + static_cast<microseconds>(sim().draw(static_cast<std::uint64_t>(to - from + 1)));
  }
  void run_after(microseconds delay, std::function<void()> work) {
    sim().at(sim().now() + delay, std::move(work));
  }
  // A random element; empty when there is none.
  std::string random_of(const std::vector<std::string>& names) {
    return names.empty() ? "" : names[sim().draw(names.size())];
  }
  // A random node or engine that is up, its role chosen first.
  std::string random_running_node() {
    auto names = target.of_role(random_of({"control_node", "storage_node", "agent", "proxy", "engine"}));
    std::erase_if(names, [this](auto& name) { return removed.contains(name) || !sim().find(name).up; });
    return random_of(names);
  }
  // Boots the machine after the delay, unless it was removed by then.
  void boot_later(const std::string& name, microseconds delay) {
    run_after(delay, [self = shared_from_this(), name] {
      if (!self->removed.contains(name) && !self->target.role_of(name).empty()) self->target.boot(name);
    });
  }
  std::vector<std::string> nodes_in_zone(const std::string& zone) {
    std::vector<std::string> names;
    for (auto& name : sim().names())
      if (sim().find(name).zone == zone && !removed.contains(name) && !target.role_of(name).empty())
        names.push_back(name);
    return names;
  }
  // All nodes of the site: without engines, the platform and callers.
  std::vector<std::string> site_nodes() {
    std::vector<std::string> names;
    for (auto* role : {"control_node", "storage_node", "agent", "proxy"})
      for (auto& name : target.of_role(role))
        if (!removed.contains(name)) names.push_back(name);
    return names;
  }

  void kill_node() {
    auto name = random_running_node();
    if (name.empty()) return;
    auto loss = sim().draw(2) ? disk_loss::none : disk_loss::unsynced;
    bool silent = loss == disk_loss::unsynced;
    log_fault("kill " + name + (silent ? " by a power failure" : ""));
    sim().kill(name, loss, silent);
    boot_later(name, random_duration(0.1, 6));
  }
  void freeze_node() {
    auto name = random_running_node();
    if (name.empty()) return;
    log_fault("freeze " + name);
    sim().freeze(name);
    run_after(random_duration(0.2, 7), [self = shared_from_this(), name] { self->sim().wake(name); });
  }
  // Cuts every link from `left` to `right`, with `both` the other direction too, for 0.5 to 6 s.
  void cut_links(std::vector<std::string> left, std::vector<std::string> right, bool both) {
    for (auto& from : left)
      for (auto& to : right) {
        if (from == to) continue;
        sim().cut(from, to);
        if (both) sim().cut(to, from);
      }
    run_after(random_duration(0.5, 6), [self = shared_from_this(), left, right] {
      for (auto& from : left)
        for (auto& to : right) {
          self->sim().heal(from, to);
          self->sim().heal(to, from);
        }
    });
  }
  void cut_node() {
    auto name = random_of(site_nodes());
    auto others = site_nodes();
    for (auto& engine : target.of_role("engine")) others.push_back(engine);
    others.push_back("callers");
    // An agent and its proxy run on one host, so no network fault separates them.
    std::string same_host = name.rfind("edge", 0) == 0    ? "agent" + name.substr(4)
                            : name.rfind("agent", 0) == 0 ? "edge" + name.substr(5)
                                                          : "";
    std::erase_if(others, [&](auto& other) { return sim().draw(2) == 0 || other == same_host; });
    bool both = sim().draw(2);
    log_fault(std::string("cut ") + (both ? "" : "one way ") + name + " from " +
              std::to_string(others.size()) + " others");
    cut_links({name}, others, both);
  }
  void split_core() {
    auto cores = target.of_role("control_node");
    auto rest = site_nodes();
    std::erase_if(rest, [this](auto& name) { return target.role_of(name) == "control_node"; });
    if (sim().draw(2)) {
      log_fault("core cut off from all");
      cut_links(cores, rest, true);
    } else {
      auto isolated = random_of(cores);
      std::erase(cores, isolated);
      // The nodes that are left out here keep their links to the isolated core node.
      std::erase_if(rest, [this](auto&) { return sim().draw(2) == 0; });
      log_fault("core split: " + isolated + " cut off from the other cores and from some nodes");
      cores.insert(cores.end(), rest.begin(), rest.end());
      cut_links({isolated}, cores, true);
    }
  }
  void lose_zone() {
    auto zone = random_of({"zone-a", "zone-b", "zone-c"});
    log_fault("lose " + zone);
    auto back = random_duration(1, 6);
    for (auto& name : nodes_in_zone(zone)) {
      sim().kill(name, disk_loss::unsynced, true);
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
  void degrade_engine();
  void cut_off_agent();
  void freeze_until_takeover();
  void degrade_disk();
  void kill_all_nodes();
  void retire_storage();
  void add_machine();
  void degrade_platform();
  void warn_node();
  void roll_all_engines();
  void replace_and_lose_zone();
  void upgrade();
  void corrupt_disk();
  void duplicate_messages();
  void fail_during_pull();
  void lose_power_after_reply();
  void freeze_proxy_after_message();
};

}  // namespace simulator
