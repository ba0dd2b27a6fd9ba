#include "control_node/edge_set_manager.h"

#include <algorithm>

#include "config_distribution/freshness.h"

namespace herontally::control_node {

constexpr microseconds review_period = 300 * millisecond;
constexpr microseconds review_spread = 100 * millisecond;
// After this absence an edge no longer counts.
constexpr microseconds max_absence = 30 * second;

bool edge_set_manager::is_long_gone(const rpc::member& agent) {
  auto now = context_->runtime.now();
  auto& since = gone_since_[agent.name];
  if (agent.is_live()) {
    since = 0;
    return false;
  }
  if (since == 0) since = now;
  return agent.status == rpc::member_status::left || now - since > max_absence;
}

std::vector<std::string> edge_set_manager::wanted_edges(const configuration::record& content) {
  std::vector<std::string> wanted;
  for (auto& agent : context_->members.all()) {
    if (agent.role != rpc::node_role::agent) continue;
    bool long_gone = is_long_gone(agent);
    bool listed = std::find(content.edges.begin(), content.edges.end(), agent.name) != content.edges.end();
    if (listed ? !long_gone : agent.is_live()) wanted.push_back(agent.name);
  }
  for (auto& name : content.edges)
    if (!context_->members.find(name)) wanted.push_back(name);
  std::sort(wanted.begin(), wanted.end());
  return wanted;
}

bool edge_set_manager::may_end_joint(const configuration::record& content) {
  auto now = context_->runtime.now();
  bool wide = changes_->is_widely_applied(content);
  if (!wide || joint_revision_ != content.revision) {
    joint_revision_ = wide ? content.revision : 0;
    joint_since_ = now;
    return false;
  }
  // A proxy that still counts by the previous list must have stopped: it may be this much behind.
  return now - joint_since_ > config_distribution::max_config_age;
}

task<> edge_set_manager::change_edges(std::function<bool(configuration::record&)> move) {
  edit wanted = [move](const configuration::record& current, const std::string& change_id) {
    edit_result result;
    configuration::record next = current;
    if (move(next)) result.next = configuration::next_revision(next, {}, change_id);
    return result;
  };
  co_await changes_->change(wanted);
}

task<> edge_set_manager::review() {
  auto self = shared_from_this();
  auto known = self->context_->current_config();
  auto content = known ? *known : configuration::empty_record();
  auto wanted = self->wanted_edges(content);
  if (!content.previous_edges.empty()) {
    if (!self->may_end_joint(content)) co_return;
    auto expected = content.revision;
    std::function<bool(configuration::record&)> end_joint = [expected](configuration::record& next) {
      if (next.revision < expected || next.previous_edges.empty()) return false;
      next.previous_edges.clear();
      return true;
    };
    co_await self->change_edges(end_joint);
    co_return;
  }
  if (wanted == content.edges) co_return;
  std::function<bool(configuration::record&)> begin_joint = [wanted](configuration::record& next) {
    if (!next.previous_edges.empty() || next.edges == wanted) return false;
    next.previous_edges = next.edges;
    next.edges = wanted;
    return true;
  };
  co_await self->change_edges(begin_joint);
}

task<> edge_set_manager::run() {
  auto self = shared_from_this();
  auto runtime = self->context_->runtime;
  while (true) {
    co_await runtime.sleep(review_period + static_cast<microseconds>(runtime.draw(review_spread)));
    bool responsible = self->context_->voter_groups_role.is_owner();
    if (responsible && self->reader_->is_confirmed()) co_await self->review();
  }
}

}  // namespace herontally::control_node
