#include "control_node/edge_set_manager.h"

#include <algorithm>

#include "config_distribution/freshness.h"

namespace herontally::control_node {

constexpr microseconds review_period = 300 * millisecond;
constexpr microseconds review_jitter = 100 * millisecond;
// After this absence an edge leaves the set.
constexpr microseconds max_absence = 30 * second;

bool edge_set_manager::has_departed(const rpc::member& agent) {
  auto now = context_->runtime.now();
  auto& since = absent_since_[agent.name];
  if (agent.is_live()) {
    since = 0;
    return false;
  }
  if (since == 0) since = now;
  return agent.status == rpc::member_status::left || now - since > max_absence;
}

std::vector<std::string> edge_set_manager::target_edges(const configuration::record& config) {
  std::vector<std::string> target;
  for (auto& agent : context_->members.all()) {
    if (agent.role != rpc::node_role::agent) continue;
    bool departed = has_departed(agent);
    bool listed = std::find(config.edges.begin(), config.edges.end(), agent.name) != config.edges.end();
    if (listed ? !departed : agent.is_live()) target.push_back(agent.name);
  }
  for (auto& name : config.edges)
    if (!context_->members.find(name)) target.push_back(name);
  std::sort(target.begin(), target.end());
  return target;
}

bool edge_set_manager::can_end_joint_step(const configuration::record& config) {
  auto now = context_->runtime.now();
  bool widely_applied = changes_->is_widely_applied(config);
  if (!widely_applied || joint_revision_ != config.revision) {
    joint_revision_ = widely_applied ? config.revision : 0;
    joint_since_ = now;
    return false;
  }
  // A proxy may act on a configuration that is up to this old. After this time no proxy counts majorities by
  // the set before the joint step any more.
  return now - joint_since_ > config_distribution::max_config_age;
}

task<> edge_set_manager::change_edges(std::function<bool(configuration::record&)> update) {
  edit edge_change = [update](const configuration::record& current, const std::string& change_id) {
    edit_result result;
    configuration::record next = current;
    if (update(next)) result.next = configuration::next_revision(next, {}, change_id);
    return result;
  };
  co_await changes_->change(edge_change);
}

task<> edge_set_manager::review() {
  auto self = shared_from_this();
  auto known = self->context_->current_config();
  auto config = known ? *known : configuration::empty_record();
  auto target = self->target_edges(config);
  if (!config.previous_edges.empty()) {
    if (!self->can_end_joint_step(config)) co_return;
    auto expected = config.revision;
    std::function<bool(configuration::record&)> end_joint_step = [expected](configuration::record& next) {
      if (next.revision < expected || next.previous_edges.empty()) return false;
      next.previous_edges.clear();
      return true;
    };
    co_await self->change_edges(end_joint_step);
    co_return;
  }
  if (target == config.edges) co_return;
  std::function<bool(configuration::record&)> begin_joint_step = [target](configuration::record& next) {
    if (!next.previous_edges.empty() || next.edges == target) return false;
    next.previous_edges = next.edges;
    next.edges = target;
    return true;
  };
  co_await self->change_edges(begin_joint_step);
}

task<> edge_set_manager::run() {
  auto self = shared_from_this();
  auto runtime = self->context_->runtime;
  while (true) {
    co_await runtime.sleep(review_period + static_cast<microseconds>(runtime.draw(review_jitter)));
    bool is_owner = self->context_->voter_groups_role.is_owner();
    if (is_owner && self->reader_->is_confirmed()) co_await self->review();
  }
}

}  // namespace herontally::control_node
