#include "control_node/voter_plan.h"

#include <algorithm>
#include <map>

namespace herontally::control_node {

using consensus::view;
using consensus::voter_info;

namespace {

// Selects voters one after the other, each from the zone with the fewest so far.
class selection {
 public:
  selection(std::size_t size, std::size_t limit) : size_(size), limit_(limit) {}

  void add_within_limit(const std::vector<voter_info>& candidates) { add(candidates, limit_); }
  void add_regardless(const std::vector<voter_info>& candidates) { add(candidates, size_); }
  std::vector<voter_info> take() { return std::move(selected_); }

 private:
  void add(const std::vector<voter_info>& candidates, std::size_t limit) {
    while (selected_.size() < size_) {
      auto* next = least_crowded(candidates, limit);
      if (!next) return;
      ++in_zone_[next->zone];
      selected_.push_back(*next);
    }
  }
  const voter_info* least_crowded(const std::vector<voter_info>& candidates, std::size_t limit) {
    const voter_info* best = nullptr;
    for (auto& place : candidates) {
      if (consensus::contains(selected_, place.id) || in_zone_[place.zone] >= limit) continue;
      if (!best || in_zone_[place.zone] < in_zone_[best->zone]) best = &place;
    }
    return best;
  }

  std::size_t size_, limit_;
  std::vector<voter_info> selected_;
  std::map<std::string, std::size_t> in_zone_;
};

// The voters of a group by how much they are wanted.
struct voter_classes {
  std::vector<voter_info> staying;   // present voters of the newest set
  std::vector<voter_info> leaving;   // present ones that a joint view would leave out
  std::vector<voter_info> retiring;  // present, but to be emptied
  std::vector<voter_info> lost;      // gone; their disks may come back with what they held
};

voter_classes classify(const view& agreed, const std::vector<voter_observation>& observed) {
  voter_classes classes;
  for (auto& each : observed) {
    bool newest = consensus::contains(agreed.voters, each.voter.id);
    bool holds_records = !agreed.joint() || consensus::contains(agreed.previous_voters, each.voter.id);
    if (each.condition == voter_condition::lost) {
      if (holds_records) classes.lost.push_back(each.voter);
    } else if (each.retiring) {
      classes.retiring.push_back(each.voter);
    } else {
      (newest ? classes.staying : classes.leaving).push_back(each.voter);
    }
  }
  return classes;
}

// An even group bears no more losses than the odd one below it.
std::size_t odd_floor(std::size_t count) { return count == 0 ? 0 : count - (count % 2 == 0 ? 1 : 0); }

}  // namespace

loss_budget budget_of(const settings::settings& place) { return {place.machine_losses, place.zone_losses}; }

std::size_t zone_limit(std::size_t size, const loss_budget& budget) {
  if (size == 0 || budget.zones <= 0) return size;
  return std::max<std::size_t>(1, (size - 1) / 2 / static_cast<std::size_t>(budget.zones));
}

std::vector<voter_info> plan_voters(const view& agreed, const std::vector<voter_observation>& observed,
                                    const std::vector<voter_info>& spares, const loss_budget& budget) {
  auto classes = classify(agreed, observed);
  auto& before = agreed.joint() ? agreed.previous_voters : agreed.voters;
  std::size_t usable = classes.staying.size() + classes.leaving.size() + spares.size();
  std::size_t size = std::min(budget.voters(), std::max(odd_floor(usable), before.size()));
  selection chosen(size, zone_limit(size, budget));
  chosen.add_within_limit(classes.staying);
  chosen.add_within_limit(classes.leaving);
  chosen.add_within_limit(spares);
  chosen.add_regardless(classes.staying);
  chosen.add_regardless(classes.leaving);
  chosen.add_regardless(spares);
  chosen.add_regardless(classes.retiring);
  chosen.add_regardless(classes.lost);
  return chosen.take();
}

voter_shortfall shortfall_of(const std::vector<voter_info>& voters, const loss_budget& budget) {
  voter_shortfall found;
  if (voters.size() < budget.voters()) found.voters = budget.voters() - voters.size();
  std::map<std::string, std::size_t> in_zone;
  for (auto& place : voters) ++in_zone[place.zone];
  auto limit = zone_limit(voters.size(), budget);
  for (auto& [zone, count] : in_zone)
    if (count > limit) found.crowded += count - limit;
  return found;
}

}  // namespace herontally::control_node
