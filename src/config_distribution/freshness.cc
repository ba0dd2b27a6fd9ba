#include "config_distribution/freshness.h"

#include <algorithm>

namespace herontally::config_distribution {

using runtime::microseconds;
using runtime::millisecond;

struct freshness::state {
  runtime::handle runtime;
  std::string own_name;
  microseconds confirmed = -1;
  std::map<std::string, microseconds> reported;
  std::vector<std::string> edges, previous_edges;

  // The latest time up to which a majority of the set has reported. This node counts as having reported now.
  microseconds majority_time(const std::vector<std::string>& set) const {
    if (set.empty() || confirmed < 0) return -1;
    std::vector<microseconds> times;
    for (auto& name : set) {
      auto found = reported.find(name);
      microseconds other = found == reported.end() ? -1 : found->second;
      times.push_back(name == own_name ? runtime.now() : other);
    }
    std::sort(times.rbegin(), times.rend());
    return times[set.size() / 2];
  }
};

freshness::freshness(runtime::handle runtime, std::string own_name)
    : state_(std::make_shared<state>(state{std::move(runtime), std::move(own_name), -1, {}, {}, {}})) {}
void freshness::confirm(microseconds time) { state_->confirmed = std::max(state_->confirmed, time); }
void freshness::record_edge_report(const std::string& name, microseconds time) {
  auto& latest = state_->reported.emplace(name, -1).first->second;
  latest = std::max(latest, time);
}
void freshness::set_edges(const std::vector<std::string>& edges, const std::vector<std::string>& previous) {
  state_->edges = edges;
  state_->previous_edges = previous;
}
std::map<std::string, std::int64_t> freshness::ages_milliseconds() const {
  std::map<std::string, std::int64_t> ages;
  auto now = state_->runtime.now();
  for (auto& [name, time] : state_->reported)
    if (time >= 0 && now - time <= max_config_age) ages[name] = (now - time) / millisecond + 1;
  return ages;
}
bool freshness::is_confirmed() const { return state_->confirmed >= 0; }
microseconds freshness::confirmed_until() const {
  auto by_edges = state_->majority_time(state_->edges);
  if (!state_->previous_edges.empty())
    by_edges = std::min(by_edges, state_->majority_time(state_->previous_edges));
  return std::max(state_->confirmed, by_edges);
}

}  // namespace herontally::config_distribution
