// Long days: changes without a pause, faults that overlap, and losses that come in pairs.
#include <algorithm>

#include "platform_site_faults.h"

namespace herontally::platform_simulator {

namespace {

// From when on a machine that came back, or a new one, no longer counts as lost.
constexpr microseconds sync_time = 6 * second;
constexpr microseconds look_period = 100 * millisecond;
// The second loss of a pair comes up to this much after the first.
constexpr std::uint64_t most_between_losses = 3500 * millisecond;

// Faults of one machine that keeps data.
const std::vector<std::string>& machine_faults() {
  static const std::vector<std::string> kinds{"kill",   "power", "freeze",  "cut",
                                              "oneway", "wipe",  "replace", "roll"};
  return kinds;
}

bool keeps_data(const std::string& kind) {
  return kind.starts_with("core") || kind.starts_with("store") || kind == "zone_power" ||
         kind == "acknowledged_power" || kind == "halves";
}

class long_day {
 public:
  long_day(site& place, const run_options& choice, const std::vector<std::string>& kinds)
      : place_(place), world_(place.where()), end_(world_.now() + choice.long_day) {
    for (auto& kind : kinds) (keeps_data(kind) ? of_data_ : others_).push_back(kind);
  }

  void play() {
    place_.where().runtime_of("operator").spawn(change_forever(&place_, end_));
    place_.read_until(end_);
    calm_since_ = world_.now() - sync_time;
    microseconds next_other = world_.now();
    while (world_.now() < end_) {
      if (is_troubled()) calm_since_ = world_.now();
      bool all_back = world_.now() - calm_since_ >= sync_time;
      if (all_back && !of_data_.empty()) strike_data();
      if (!others_.empty() && world_.now() >= next_other) {
        strike_one(others_);
        next_other = world_.now() + static_cast<microseconds>(world_.draw(2500)) * millisecond;
      }
      world_.run_for(look_period);
    }
    // The closing loss comes when all are back, too.
    while (world_.now() - calm_since_ < sync_time) {
      if (is_troubled()) calm_since_ = world_.now();
      world_.run_for(look_period);
    }
  }

 private:
  static task<> change_forever(site* place, microseconds end) {
    auto runtime = place->where().runtime_of("operator");
    static const char* const kinds[] = {"change", "change", "amend", "amend", "race", "invalid"};
    while (place->where().now() < end) {
      change(*place, kinds[place->where().draw(std::size(kinds))]);
      co_await runtime.sleep(static_cast<microseconds>(150 + place->where().draw(500)) * millisecond);
    }
  }

  bool is_troubled() const {
    for (auto* role : {"core", "store"})
      for (auto& name : place_.of_role(role))
        if (place_.judge().in_trouble(name)) return true;
    return world_.now() < halves_until_ || world_.now() < second_loss_;
  }

  void strike_one(const std::vector<std::string>& kinds) {
    auto kind = kinds[world_.draw(kinds.size())];
    place_.tell(kind);
    strike(place_, kind);
  }

  // One of the drawn kinds, and beside a fault of one machine another such one, of either role.
  void strike_data() {
    auto kind = of_data_[world_.draw(of_data_.size())];
    calm_since_ = world_.now();
    place_.tell(kind);
    if (kind == "halves") return cut_in_halves();
    strike(place_, kind);
    auto line = kind.find('_');
    auto& faults = machine_faults();
    bool one_machine = std::find(faults.begin(), faults.end(), kind.substr(line + 1)) != faults.end();
    if (!one_machine || place_.losses() < 2) return;
    std::string other = std::string(world_.draw(2) ? "core_" : "store_") + faults[world_.draw(faults.size())];
    second_loss_ = world_.now() + static_cast<microseconds>(world_.draw(most_between_losses));
    world_.at(second_loss_, [&place = place_, other] {
      place.tell("beside it " + other);
      strike(place, other);
    });
  }

  // Cores and stores are cut into two halves, whatever may be lost at once; everybody else reaches both.
  void cut_in_halves() {
    std::vector<std::string> halves[2];
    for (auto* role : {"core", "store"})
      for (auto& name : place_.of_role(role)) halves[world_.draw(2)].push_back(name);
    auto each_pair = [halves = std::vector(std::begin(halves), std::end(halves))](auto work) {
      for (auto& one : halves[0])
        for (auto& other : halves[1]) work(one, other);
    };
    for (auto& half : halves)
      for (auto& name : half) place_.judge().trouble(name);
    each_pair([this](auto& one, auto& other) {
      world_.cut(one, other);
      world_.cut(other, one);
    });
    halves_until_ = world_.now() + static_cast<microseconds>(1500 + world_.draw(4500)) * millisecond;
    world_.at(halves_until_, [&place = place_, each_pair] {
      each_pair([&place](auto& one, auto& other) {
        place.where().heal(one, other);
        place.where().heal(other, one);
      });
      for (auto* role : {"core", "store"})
        for (auto& name : place.of_role(role)) place.judge().calm(name);
    });
  }

  site& place_;
  simulator::world& world_;
  microseconds end_ = 0, calm_since_ = 0, halves_until_ = 0, second_loss_ = 0;
  std::vector<std::string> of_data_, others_;
};

}  // namespace

void play_long_day(site& where, const run_options& choice, const std::vector<std::string>& kinds) {
  long_day(where, choice, kinds).play();
}

}  // namespace herontally::platform_simulator
