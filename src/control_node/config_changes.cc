#include "control_node/config_changes.h"

#include "runtime/breaks.h"

namespace herontally::control_node {

namespace {

// Both timeouts count from the operator's call. A change that is acknowledged at 3 s is in force at every
// proxy 1.5 s later, or that proxy has stopped.
constexpr microseconds choose_timeout = 2500 * millisecond;
constexpr microseconds apply_timeout = 3 * second;
constexpr microseconds announce_timeout = 500 * millisecond;

task<> announce_to(rpc::endpoint endpoint, std::string address, rpc::config_committed_request request) {
  co_await endpoint.call(std::move(address), std::move(request), announce_timeout);
}

// The findings of the mutator's last run.
struct edit_attempt {
  change_report report;
  bool repeated = false;  // an earlier round of this same change went through, though its answer was lost
};

consensus::mutator mutator_of(edit requested_edit, std::string change_id,
                              std::shared_ptr<edit_attempt> last) {
  return [requested_edit, change_id,
          last](const std::optional<std::string>& text) -> std::optional<std::string> {
    auto current = configuration::record_or_empty(text);
    last->report.now = current;
    last->repeated = configuration::has_change(current, change_id);
    if (last->repeated) return std::nullopt;
    auto result = requested_edit(current, change_id);
    last->report.outcome = result.refusal;
    last->report.violations = result.violations;
    last->report.reason = result.reason;
    if (!result.next) return std::nullopt;
    return to_text(*result.next);
  };
}

}  // namespace

bool config_changes::is_widely_applied(const configuration::record& content) const {
  if (broken("edges")) return true;
  auto has_applied = [&](const std::string& edge) {
    auto found = applied_.find(edge);
    return found != applied_.end() && found->second >= content.revision;
  };
  auto majority = [&](const std::vector<std::string>& edges) {
    std::size_t count = 0;
    for (auto& edge : edges) count += has_applied(edge) ? 1 : 0;
    return count * 2 > edges.size() || edges.empty();
  };
  return majority(content.edges) && majority(content.previous_edges);
}

void config_changes::note_applied(const std::string& edge, std::int64_t revision) {
  auto& known = applied_[edge];
  if (revision <= known) return;
  known = revision;
  for (auto& waiter : waiting_) waiter.set(true);
}

task<bool> config_changes::wait_until_applied(configuration::record content, microseconds deadline) {
  auto self = shared_from_this();
  auto runtime = self->context_->runtime;
  while (!self->is_widely_applied(content)) {
    auto left = deadline - runtime.now();
    if (left <= 0) co_return false;
    runtime::slot<bool> notifier(runtime);
    self->waiting_.push_back(notifier);
    auto timer = runtime.after(left, [notifier] { notifier.set(false); });
    co_await notifier.wait();
    runtime.cancel(timer);
    std::erase_if(self->waiting_, [](auto& waiter) { return waiter.is_set(); });
  }
  co_return true;
}

void config_changes::announce(const configuration::record& chosen) const {
  auto& shared = *context_;
  rpc::config_committed_request request{chosen.revision,
                                        to_text(configuration::without_operator_source(chosen))};
  for (auto& core : shared.members.live(rpc::node_role::core))
    if (core.name != shared.node_settings.name)
      shared.runtime.spawn(announce_to(shared.endpoint, core.inner, request));
}

task<change_report> config_changes::change(edit requested_edit) {
  auto self = shared_from_this();
  auto shared = self->context_;
  std::string change_id = shared->new_change_id();
  auto started = shared->runtime.now();
  auto last = std::make_shared<edit_attempt>();
  auto result = co_await shared->catalog.change(configuration::config_key,
                                                mutator_of(std::move(requested_edit), change_id, last),
                                                started + choose_timeout);
  change_report report = last->report;
  if (result.status == consensus::change_status::declined && !last->repeated) co_return report;
  if (result.status == consensus::change_status::unreachable ||
      result.status == consensus::change_status::disk_full) {
    report.outcome = change_outcome::unreachable;
    co_return report;
  }
  if (result.status == consensus::change_status::unknown || !result.value) {
    report.outcome = change_outcome::unknown;
    co_return report;
  }
  auto chosen = configuration::record_from_text(*result.value);
  if (chosen) report.now = *chosen;
  shared->trace.add(report.now.revision, "chosen", "register");
  shared->learn_config(*result.value, "register");
  shared->logger.info("configuration chosen",
                      {{"revision", report.now.revision}, {"version", report.now.version}});
  self->announce(report.now);
  bool applied = co_await self->wait_until_applied(report.now, started + apply_timeout);
  report.outcome = applied ? change_outcome::applied : change_outcome::chosen;
  shared->trace.add(report.now.revision, applied ? "acknowledged" : "not confirmed", "edges");
  co_return report;
}

}  // namespace herontally::control_node
