#include "control_node/voter_plan.h"

#include <algorithm>
#include <map>

namespace herontally::control_node {

using consensus::view;
using consensus::voter_info;

namespace {

// Selects up to `size` voters one after the other, each from the zone with the fewest selected so far.
class selection {
 public:
  selection(std::size_t size, std::size_t zone_limit) : size_(size), zone_limit_(zone_limit) {}

  void add_within_limit(const std::vector<voter_info>& candidates) { add(candidates, zone_limit_); }
  void add_without_zone_limit(const std::vector<voter_info>& candidates) { add(candidates, size_); }
  std::vector<voter_info> take() { return std::move(selected_); }

 private:
  void add(const std::vector<voter_info>& candidates, std::size_t zone_limit) {
    while (selected_.size() < size_) {
      auto* next = candidate_of_smallest_zone(candidates, zone_limit);
      if (!next) return;
      ++count_by_zone_[next->zone];
      selected_.push_back(*next);
    }
  }
  const voter_info* candidate_of_smallest_zone(const std::vector<voter_info>& candidates,
                                               std::size_t zone_limit) {
    const voter_info* best = nullptr;
    for (auto& candidate : candidates) {
      if (consensus::contains(selected_, candidate.id) || count_by_zone_[candidate.zone] >= zone_limit)
        continue;
      if (!best || count_by_zone_[candidate.zone] < count_by_zone_[best->zone]) best = &candidate;
    }
    return best;
  }

  std::size_t size_, zone_limit_;
  std::vector<voter_info> selected_;
  std::map<std::string, std::size_t> count_by_zone_;
};

// The voters of a group, from the first choice for a place in the plan to the last.
struct voter_classes {
  std::vector<voter_info> staying;   // present voters of the newest set
  std::vector<voter_info> leaving;   // present voters that the joint view removes
  std::vector<voter_info> retiring;  // present, but to hold no data any more
  std::vector<voter_info> lost;      // voters whose disks may come back with their records
};

voter_classes classify(const view& agreed_view, const std::vector<voter_observation>& observed) {
  voter_classes classes;
  for (auto& observation : observed) {
    bool in_newest_set = consensus::contains(agreed_view.voters, observation.voter.id);
    bool holds_records =
        !agreed_view.joint() || consensus::contains(agreed_view.previous_voters, observation.voter.id);
    if (observation.condition == voter_condition::lost) {
      if (holds_records) classes.lost.push_back(observation.voter);
    } else if (observation.retiring) {
      classes.retiring.push_back(observation.voter);
    } else {
      (in_newest_set ? classes.staying : classes.leaving).push_back(observation.voter);
    }
  }
  return classes;
}

// A group of an even size tolerates no more losses than one with a voter less.
std::size_t round_down_to_odd(std::size_t count) { return count == 0 ? 0 : count - (count % 2 == 0 ? 1 : 0); }

}  // namespace

loss_budget loss_budget_from(const settings::settings& node_settings) {
  return {node_settings.machine_losses, node_settings.zone_losses};
}

std::size_t max_voters_per_zone(std::size_t group_size, const loss_budget& budget) {
  if (group_size == 0 || budget.zones <= 0) return group_size;
  return std::max<std::size_t>(1, (group_size - 1) / 2 / static_cast<std::size_t>(budget.zones));
}

std::vector<voter_info> plan_voters(const view& agreed_view, const std::vector<voter_observation>& observed,
                                    const std::vector<voter_info>& spares, const loss_budget& budget) {
  auto classes = classify(agreed_view, observed);
  auto& settled_voters = agreed_view.joint() ? agreed_view.previous_voters : agreed_view.voters;
  std::size_t available = classes.staying.size() + classes.leaving.size() + spares.size();
  std::size_t size = std::min(budget.voters(), std::max(round_down_to_odd(available), settled_voters.size()));
  selection target(size, max_voters_per_zone(size, budget));
  target.add_within_limit(classes.staying);
  target.add_within_limit(classes.leaving);
  target.add_within_limit(spares);
  target.add_without_zone_limit(classes.staying);
  target.add_without_zone_limit(classes.leaving);
  target.add_without_zone_limit(spares);
  target.add_without_zone_limit(classes.retiring);
  target.add_without_zone_limit(classes.lost);
  return target.take();
}

voter_shortfall shortfall_of(const std::vector<voter_info>& voters, const loss_budget& budget) {
  voter_shortfall shortfall;
  if (voters.size() < budget.voters()) shortfall.missing_voters = budget.voters() - voters.size();
  std::map<std::string, std::size_t> count_by_zone;
  for (auto& voter : voters) ++count_by_zone[voter.zone];
  auto zone_limit = max_voters_per_zone(voters.size(), budget);
  for (auto& [zone, count] : count_by_zone)
    if (count > zone_limit) shortfall.over_zone_limit += count - zone_limit;
  return shortfall;
}

}  // namespace herontally::control_node
