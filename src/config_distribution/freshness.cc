#include "config_distribution/freshness.h"

#include <algorithm>

namespace herontally::config_distribution {

using runtime::microseconds;
using runtime::millisecond;

struct freshness::state {
  runtime::handle runtime;
  std::string own_name;
  microseconds vouched = -1;
  std::map<std::string, microseconds> heard;
  std::vector<std::string> edges, previous_edges;

  // The latest moment that a majority of the set has reached; our own word always counts as of now.
  microseconds quorum_moment(const std::vector<std::string>& set) const {
    if (set.empty() || vouched < 0) return -1;
    std::vector<microseconds> moments;
    for (auto& name : set) {
      auto found = heard.find(name);
      microseconds other = found == heard.end() ? -1 : found->second;
      moments.push_back(name == own_name ? runtime.now() : other);
    }
    std::sort(moments.rbegin(), moments.rend());
    return moments[set.size() / 2];
  }
};

freshness::freshness(runtime::handle runtime, std::string own_name)
    : state_(std::make_shared<state>(state{std::move(runtime), std::move(own_name), -1, {}, {}, {}})) {}
void freshness::vouched(microseconds moment) { state_->vouched = std::max(state_->vouched, moment); }
void freshness::heard_edge(const std::string& name, microseconds moment) {
  auto& known = state_->heard.emplace(name, -1).first->second;
  known = std::max(known, moment);
}
void freshness::set_edges(const std::vector<std::string>& edges, const std::vector<std::string>& previous) {
  state_->edges = edges;
  state_->previous_edges = previous;
}
std::map<std::string, std::int64_t> freshness::ages_milliseconds() const {
  std::map<std::string, std::int64_t> ages;
  auto now = state_->runtime.now();
  for (auto& [name, moment] : state_->heard)
    if (moment >= 0 && now - moment <= max_config_age) ages[name] = (now - moment) / millisecond + 1;
  return ages;
}
bool freshness::is_known() const { return state_->vouched >= 0; }
microseconds freshness::moment() const {
  auto by_edges = state_->quorum_moment(state_->edges);
  if (!state_->previous_edges.empty())
    by_edges = std::min(by_edges, state_->quorum_moment(state_->previous_edges));
  return std::max(state_->vouched, by_edges);
}

}  // namespace herontally::config_distribution
