// Which machines had faults, and the rules for runs at engines.
#include "platform_site_oracle.h"

#include <algorithm>

namespace herontally::platform_simulator {

const route_shape* version::match(const std::string& path) const {
  const route_shape* best = nullptr;
  std::size_t longest = 0;
  for (auto& [prefix, shape] : routes)
    if (path.compare(0, prefix.size(), prefix) == 0 && prefix.size() > longest) {
      best = &shape;
      longest = prefix.size();
    }
  return best;
}

void oracle::report_violation(const std::string& rule, const std::string& what) {
  violations.push_back({rule, what, world_.now()});
}

bool oracle::keeps_data(const std::string& machine) {
  return machine.compare(0, 5, "core-") == 0 || machine.compare(0, 6, "store-") == 0;
}

void oracle::fault_begins(const std::string& machine, bool planned) {
  fault_periods_[machine].push_back({world_.now(), -1, planned});
}
void oracle::fault_ends(const std::string& machine) {
  for (auto& each : fault_periods_[machine])
    if (each.to < 0) each.to = world_.now();
  shutdown_notices_.erase(machine);
}
void oracle::shutdown_notice(const std::string& machine) {
  fault_begins(machine, true);
  shutdown_notices_[machine] = world_.now();
}

bool oracle::had_fault(const std::string& machine, microseconds since, bool unplanned_only) const {
  auto found = fault_periods_.find(machine);
  if (found == fault_periods_.end()) return false;
  for (auto& each : found->second) {
    bool counts = !unplanned_only || !each.planned;
    if (counts && (each.to < 0 || each.to >= since)) return true;
  }
  return false;
}

bool oracle::has_fault(const std::string& machine) const {
  auto found = fault_periods_.find(machine);
  return found != fault_periods_.end() &&
         std::any_of(found->second.begin(), found->second.end(), [](auto& each) { return each.to < 0; });
}

bool oracle::is_settled(microseconds since) const {
  // After a closing fault the machines have twice the time.
  if (machines_back_at_ >= 0 && world_.now() < machines_back_at_ + 2 * contact) return false;
  for (auto& [machine, periods] : fault_periods_)
    if (keeps_data(machine) && had_fault(machine, since)) return false;
  return true;
}

bool oracle::is_up_to_date(const std::string& machine) const {
  auto since = world_.now() - contact;
  return !had_fault(machine, since) && is_settled(since);
}

// While a core or store has a fault and most of them run, the bound grows by `skew`. A machine with a fault
// has no bound.
microseconds oracle::time_bound_for(const std::string& machine, microseconds bound) const {
  auto since = world_.now() - contact;
  if (had_fault(machine, since)) return -1;
  if (is_settled(since)) return bound;
  bool closing = closing_fault_at_ >= 0 &&
                 (machines_back_at_ < 0 || world_.now() < machines_back_at_ + 2 * contact + skew);
  return closing ? -1 : bound + skew;
}

void oracle::request_sent(sent_request request) {
  request.sent = world_.now();
  if (!request.program.empty() && request.budget >= 0) {
    budgets_[request.program] = request.budget;
    largest_turns_[request.program] = std::max(largest_turns_[request.program], request.max_tokens);
  }
  ++counts["requests"];
  bool before = closing_fault_at_ < 0,
       after = machines_back_at_ >= 0 && request.sent > machines_back_at_ + recovery;
  requests_before_ += before;
  requests_after_ += after;
  requests_[request.attempt] = std::move(request);
}

engine_run* oracle::run_started(const arrival& seen) {
  auto found = requests_.find(seen.attempt);
  if (found == requests_.end()) {
    report_violation("UNASKED", "an engine runs \"" + seen.attempt + "\", which no client sent");
    return nullptr;
  }
  auto& request = found->second;
  ++counts["runs"];
  check_body(request, seen);
  check_route(request, seen);
  check_engine_state(request, seen);
  if (!request.repeatable && !request.runs.empty())
    report_violation("TWICE", request.attempt + " runs again at " + seen.engine);
  if (request.refused_as_not_run)
    report_violation("REFUSED", request.attempt + " was refused and runs at " + seen.engine);
  engine_run next;
  next.engine = seen.engine;
  next.begun = world_.now();
  request.runs.push_back(next);
  return &request.runs.back();
}

std::string oracle::input_of_chain(const std::string& turn) const {
  if (turn.empty()) return "";
  auto& request = requests_.at(turn);
  return input_of_chain(request.previous) + request.body + completed_turns_.at(turn).first;
}

void oracle::check_body(const sent_request& request, const arrival& seen) {
  if (seen.method != request.method || seen.target != request.target)
    report_violation("UNASKED",
                     request.attempt + " is " + seen.method + " " + seen.target + " at the engine");
  bool known = request.previous.empty() || completed_turns_.count(request.previous);
  if (!known) return report_violation("UNASKED", request.attempt + " runs, but names no turn");
  auto wanted = (request.kept ? input_of_chain(request.previous) : "") + request.body;
  if (seen.body != wanted) report_violation("UNASKED", request.attempt + " has another body at the engine");
}

// The oldest version that this edge may use for this request.
std::int64_t oracle::min_version_for(const sent_request& request, const std::string& edge) const {
  auto bound = time_bound_for(edge, converge);
  std::int64_t floor = 0;
  if (bound < 0) return floor;
  for (auto& [generation, each] : versions_)
    if (each.acknowledged >= 0 && request.sent > each.acknowledged + bound) floor = generation;
  return floor;
}

void oracle::check_route(const sent_request& request, const arrival& seen) {
  auto path = request.target.substr(0, request.target.find('?'));
  auto floor = min_version_for(request, seen.sender);
  bool ever = false, allowed = false, current = false;
  std::int64_t oldest = 0, newest = 0;
  for (auto& [generation, each] : versions_) {
    auto* shape = each.match(path);
    if (!shape || !shape->services.count(seen.service)) continue;
    ever = true;
    if (each.refused || !each.valid) continue;
    if (!allowed) oldest = generation;
    newest = generation;
    allowed = true;
    current = current || generation >= floor;
  }
  auto route_use = request.attempt + " " + path + " at " + seen.service + " through " + seen.sender;
  if (!ever) return report_violation("ROUTE", route_use);
  if (!allowed) return report_violation("CONFIG", "a refused configuration is in force: " + route_use);
  if (!current)
    report_violation("CONFIG", route_use + " after version " + std::to_string(floor) + " had to be in force");
  auto& effect = versions_in_effect_[{seen.sender, world_.find(seen.sender).life}];
  if (newest < effect.first && request.sent > effect.second + revert_slack)
    report_violation("CONFIG", "goes back before version " + std::to_string(effect.first) + ": " + route_use);
  if (oldest > effect.first) effect = {oldest, world_.now()};
}

void oracle::check_engine_state(const sent_request& request, const arrival& seen) {
  auto now = world_.now();
  bool up_to_date = is_up_to_date(seen.sender);
  if (up_to_date && seen.listed_draining_at >= 0 && now > seen.listed_draining_at + drain_time)
    report_violation("DRAIN", request.attempt + " reaches " + seen.engine + " " +
                                  std::to_string((now - seen.listed_draining_at) / millisecond) +
                                  " ms after the list");
  auto zone = evacuated_.find(seen.zone);
  auto bound = time_bound_for(seen.sender, evacuate_time);
  if (zone != evacuated_.end() && bound >= 0 && now > zone->second + bound)
    report_violation("EVAC", request.attempt + " reaches " + seen.engine + " in " + seen.zone);
  if (!seen.cold) return;
  auto& row = cold_requests_[seen.engine];
  if (seen.sent < seen.cold_since) return;
  row.push_back({seen.sent, now});
  while (row.front().second <= now - second) row.pop_front();
  std::int64_t within = 0;
  for (auto& [sent, arrived] : row) within += sent > now - second;
  if (static_cast<double>(within) > static_cast<double>(cold_rate) * 1.5 + 5)
    report_violation("FAILBACK", seen.engine + " gets " + std::to_string(within) + " in a second while cold");
}

}  // namespace herontally::platform_simulator
