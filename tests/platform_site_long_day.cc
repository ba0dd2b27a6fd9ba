// The long day: continuous changes, overlapping faults, and pairs of losses close to each other.
#include <algorithm>

#include "platform_site_faults.h"

namespace herontally::platform_simulator {

namespace {

// After this long a machine that is back, or a new one, no longer counts as lost.
constexpr microseconds sync_time = 6 * second;
constexpr microseconds check_period = 100 * millisecond;
// The longest time between the two losses of a pair, in microseconds.
constexpr std::uint64_t max_between_losses = 3500 * millisecond;

// Faults that concern one machine that keeps data.
const std::vector<std::string>& machine_faults() {
  static const std::vector<std::string> kinds{"kill",   "power", "freeze",  "cut",
                                              "oneway", "wipe",  "replace", "roll"};
  return kinds;
}

bool concerns_data(const std::string& kind) {
  return kind.starts_with("core") || kind.starts_with("store") || kind == "zone_power" ||
         kind == "acknowledged_power" || kind == "halves";
}

class long_day_run {
 public:
  long_day_run(site& target, const run_options& options, const std::vector<std::string>& kinds)
      : site_(target), world_(target.world()), end_(world_.now() + options.long_day) {
    for (auto& kind : kinds) (concerns_data(kind) ? data_faults_ : other_faults_).push_back(kind);
  }

  void run() {
    site_.world().runtime_of("operator").spawn(change_forever(&site_, end_));
    site_.start_reads(end_);
    fault_free_since_ = world_.now() - sync_time;
    microseconds next_other_fault = world_.now();
    while (world_.now() < end_) {
      if (has_fault()) fault_free_since_ = world_.now();
      bool all_back = world_.now() - fault_free_since_ >= sync_time;
      if (all_back && !data_faults_.empty()) inject_data_fault();
      if (!other_faults_.empty() && world_.now() >= next_other_fault) {
        inject_random_fault(other_faults_);
        next_other_fault = world_.now() + static_cast<microseconds>(world_.draw(2500)) * millisecond;
      }
      world_.run_for(check_period);
    }
    // The closing fault also waits until all machines have recovered.
    while (world_.now() - fault_free_since_ < sync_time) {
      if (has_fault()) fault_free_since_ = world_.now();
      world_.run_for(check_period);
    }
  }

 private:
  static task<> change_forever(site* target, microseconds end) {
    auto runtime = target->world().runtime_of("operator");
    static const char* const kinds[] = {"change", "change", "amend", "amend", "race", "invalid"};
    while (target->world().now() < end) {
      change(*target, kinds[target->world().draw(std::size(kinds))]);
      co_await runtime.sleep(static_cast<microseconds>(150 + target->world().draw(500)) * millisecond);
    }
  }

  bool has_fault() const {
    for (auto* role : {"core", "store"})
      for (auto& name : site_.machines_of_role(role))
        if (site_.rule_oracle().has_fault(name)) return true;
    return world_.now() < partition_until_ || world_.now() < second_loss_;
  }

  void inject_random_fault(const std::vector<std::string>& kinds) {
    auto kind = kinds[world_.draw(kinds.size())];
    site_.log_event(kind);
    inject_fault(site_, kind);
  }

  // Injects one of the kinds. If it concerns one machine and two may be lost, a second machine of either role
  // follows.
  void inject_data_fault() {
    auto kind = data_faults_[world_.draw(data_faults_.size())];
    fault_free_since_ = world_.now();
    site_.log_event(kind);
    if (kind == "halves") return partition_in_halves();
    inject_fault(site_, kind);
    auto line = kind.find('_');
    auto& faults = machine_faults();
    bool one_machine = std::find(faults.begin(), faults.end(), kind.substr(line + 1)) != faults.end();
    if (!one_machine || site_.losses() < 2) return;
    std::string other = std::string(world_.draw(2) ? "core_" : "store_") + faults[world_.draw(faults.size())];
    second_loss_ = world_.now() + static_cast<microseconds>(world_.draw(max_between_losses));
    world_.at(second_loss_, [&target = site_, other] {
      target.log_event("second loss: " + other);
      inject_fault(target, other);
    });
  }

  // Partitions cores and stores into two random groups, however many may be lost at once; edges and the
  // operator reach both.
  void partition_in_halves() {
    std::vector<std::string> halves[2];
    for (auto* role : {"core", "store"})
      for (auto& name : site_.machines_of_role(role)) halves[world_.draw(2)].push_back(name);
    auto each_pair = [halves = std::vector(std::begin(halves), std::end(halves))](auto work) {
      for (auto& one : halves[0])
        for (auto& other : halves[1]) work(one, other);
    };
    for (auto& half : halves)
      for (auto& name : half) site_.rule_oracle().fault_begins(name);
    each_pair([this](auto& one, auto& other) {
      world_.cut(one, other);
      world_.cut(other, one);
    });
    partition_until_ = world_.now() + static_cast<microseconds>(1500 + world_.draw(4500)) * millisecond;
    world_.at(partition_until_, [&target = site_, each_pair] {
      each_pair([&target](auto& one, auto& other) {
        target.world().heal(one, other);
        target.world().heal(other, one);
      });
      for (auto* role : {"core", "store"})
        for (auto& name : target.machines_of_role(role)) target.rule_oracle().fault_ends(name);
    });
  }

  site& site_;
  simulator::world& world_;
  microseconds end_ = 0, fault_free_since_ = 0, partition_until_ = 0, second_loss_ = 0;
  std::vector<std::string> data_faults_, other_faults_;
};

}  // namespace

void run_long_day(site& target, const run_options& options, const std::vector<std::string>& kinds) {
  long_day_run(target, options, kinds).run();
}

}  // namespace herontally::platform_simulator
