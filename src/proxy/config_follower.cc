#include "proxy/config_follower.h"

#include <algorithm>

#include "membership/member_list.h"

namespace herontally::proxy {

constexpr std::int64_t poll_wait_milliseconds = 150;
constexpr microseconds poll_timeout = 600 * millisecond;
constexpr microseconds retry_pause = 100 * millisecond;

bool config_follower::apply_members(const rpc::config_update_reply& reply) {
  auto rows = membership::members_from_text(reply.members);
  bool only_changes = reply.members_since > 0;
  if (rows.empty() && !only_changes) return false;
  // Changes relative to a version that this process doesn't have can't be applied.
  if (only_changes && reply.members_since != members_version_) return false;
  if (!only_changes) context_->members.clear();
  for (auto& row : rows) {
    if (row.role == rpc::node_role::agent && row.inner == context_->node_settings.agent)
      agent_name_ = row.name;
    context_->members[row.name] = row;
  }
  members_version_ = reply.members_version;
  return !rows.empty();
}

// Ranks come from the agreed list of edges rather than from membership: proxies with different views of which
// members are live would together exceed the caps. A proxy that isn't listed yet has no share.
void config_follower::update_ranks() {
  auto rank_in = [this](const std::vector<std::string>& edges) -> std::int64_t {
    auto found = std::find(edges.begin(), edges.end(), agent_name_);
    return found == edges.end() ? -1 : found - edges.begin();
  };
  auto& config = *context_->config;
  auto& ranks = context_->ranks;
  ranks.rank = rank_in(config.edges);
  ranks.proxies = std::max<std::int64_t>(1, static_cast<std::int64_t>(config.edges.size()));
  ranks.previous_rank = rank_in(config.previous_edges);
  ranks.previous_proxies = static_cast<std::int64_t>(config.previous_edges.size());
}

bool config_follower::apply_config(const rpc::config_update_reply& reply) {
  auto& shared = *context_;
  if (reply.config.empty() || reply.revision <= revision()) return false;
  auto content = configuration::record_from_text(reply.config);
  if (!content) return false;
  shared.config = configuration::snapshot_of(*content);
  shared.trace.add(content->revision, "in force", "agent");
  shared.logger.info("configuration in force", {{"revision", content->revision}});
  shared.logger.gauge("herontally_configuration_revision", static_cast<double>(content->revision));
  shared.capacity.notify_all();
  return true;
}

void config_follower::apply(const rpc::config_update_reply& reply, microseconds requested_at) {
  auto& shared = *context_;
  bool own_protocol = !shared.platform.adapter;
  update_changes changed;
  changed.members = apply_members(reply);
  if (!reply.engines.empty()) {
    engines_epoch_ = reply.engines_epoch;
    engines_sequence_ = reply.engines_sequence;
    if (own_protocol) shared.engines.set_list(reply.engines);
  }
  if (own_protocol) shared.engines.set_draining(reply.draining_engines);
  changed.configuration = apply_config(reply);
  if (shared.config && (changed.configuration || changed.members)) update_ranks();
  on_update_(reply, changed);
  // The agent states how old its knowledge was when it replied. Counted from the request, which was earlier,
  // the age is never underestimated.
  if (reply.age_milliseconds >= 0 && revision() >= reply.revision)
    shared.config_fresh_at =
        std::max(shared.config_fresh_at, requested_at - reply.age_milliseconds * millisecond);
}

rpc::config_update_request config_follower::next_request() const {
  rpc::config_update_request request;
  request.node = context_->node_settings.name;
  request.revision = revision();
  request.applied_revision = revision();
  request.engines_epoch = engines_epoch_;
  request.engines_sequence = engines_sequence_;
  request.wait_milliseconds = poll_wait_milliseconds;
  request.incarnation = context_->incarnation;
  request.http = context_->node_settings.inner;
  request.members_version = members_version_;
  request.takes_member_changes = true;
  return request;
}

task<> config_follower::run() {
  auto self = shared_from_this();
  auto shared = self->context_;
  while (true) {
    auto requested_at = shared->runtime.now();
    auto result =
        co_await shared->endpoint.call(shared->node_settings.agent, self->next_request(), poll_timeout);
    auto* reply = std::get_if<rpc::config_update_reply>(&result);
    if (reply)
      self->apply(*reply, requested_at);
    else
      co_await shared->runtime.sleep(retry_pause);
    auto age_milliseconds = (shared->runtime.now() - shared->config_fresh_at) / millisecond;
    shared->logger.gauge("herontally_configuration_age_milliseconds", static_cast<double>(age_milliseconds));
    shared->logger.gauge("herontally_fresh", shared->is_fresh() ? 1 : 0);
  }
}

}  // namespace herontally::proxy
