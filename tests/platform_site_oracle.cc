// Who was in touch, and the rules of runs at engines.
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

void oracle::against(const std::string& rule, const std::string& what) {
  violations.push_back({rule, what, where_.now()});
}

bool oracle::is_core(const std::string& machine) {
  return machine.compare(0, 5, "core-") == 0 || machine.compare(0, 6, "store-") == 0;
}

void oracle::trouble(const std::string& machine, bool planned) {
  spells_[machine].push_back({where_.now(), -1, planned});
}
void oracle::calm(const std::string& machine) {
  for (auto& each : spells_[machine])
    if (each.to < 0) each.to = where_.now();
  notices_.erase(machine);
}
void oracle::notice(const std::string& machine) {
  trouble(machine, true);
  notices_[machine] = where_.now();
}

bool oracle::troubled(const std::string& machine, microseconds since, bool unplanned_alone) const {
  auto found = spells_.find(machine);
  if (found == spells_.end()) return false;
  for (auto& each : found->second) {
    bool counts = !unplanned_alone || !each.planned;
    if (counts && (each.to < 0 || each.to >= since)) return true;
  }
  return false;
}

bool oracle::in_trouble(const std::string& machine) const {
  auto found = spells_.find(machine);
  return found != spells_.end() &&
         std::any_of(found->second.begin(), found->second.end(), [](auto& each) { return each.to < 0; });
}

bool oracle::settled(microseconds since) const {
  // After a closing fault the time is twice as long.
  if (back_ >= 0 && where_.now() < back_ + 2 * contact) return false;
  for (auto& [machine, spells] : spells_)
    if (is_core(machine) && troubled(machine, since)) return false;
  return true;
}

bool oracle::in_touch(const std::string& machine) const {
  auto since = where_.now() - contact;
  return !troubled(machine, since) && settled(since);
}

// A core that is not settled while most of it runs adds the skew; a machine in trouble has no bound.
microseconds oracle::bound_for(const std::string& machine, microseconds bound) const {
  auto since = where_.now() - contact;
  if (troubled(machine, since)) return -1;
  if (settled(since)) return bound;
  bool closing = closed_ >= 0 && (back_ < 0 || where_.now() < back_ + 2 * contact + skew);
  return closing ? -1 : bound + skew;
}

void oracle::request(sent_request one) {
  one.sent = where_.now();
  if (!one.program.empty() && one.budget >= 0) {
    budgets_[one.program] = one.budget;
    most_[one.program] = std::max(most_[one.program], one.most);
  }
  ++counts["requests"];
  bool before = closed_ < 0, after = back_ >= 0 && one.sent > back_ + recovery;
  before_ += before;
  after_ += after;
  requests_[one.attempt] = std::move(one);
}

engine_run* oracle::run(const arrival& seen) {
  auto found = requests_.find(seen.attempt);
  if (found == requests_.end()) {
    against("UNASKED", "an engine runs \"" + seen.attempt + "\", which no client sent");
    return nullptr;
  }
  auto& one = found->second;
  ++counts["runs"];
  judge_body(one, seen);
  judge_route(one, seen);
  judge_leaving(one, seen);
  if (!one.repeatable && !one.runs.empty()) against("TWICE", one.attempt + " runs again at " + seen.engine);
  if (one.promised_not_run) against("REFUSED", one.attempt + " was refused and runs at " + seen.engine);
  engine_run next;
  next.engine = seen.engine;
  next.begun = where_.now();
  one.runs.push_back(next);
  return &one.runs.back();
}

std::string oracle::chain_of(const std::string& turn) const {
  if (turn.empty()) return "";
  auto& one = requests_.at(turn);
  return chain_of(one.previous) + one.body + turns_.at(turn).first;
}

void oracle::judge_body(const sent_request& one, const arrival& seen) {
  if (seen.method != one.method || seen.target != one.target)
    against("UNASKED", one.attempt + " is " + seen.method + " " + seen.target + " at the engine");
  bool known = one.previous.empty() || turns_.count(one.previous);
  if (!known) return against("UNASKED", one.attempt + " runs, but names no turn");
  auto wanted = (one.kept ? chain_of(one.previous) : "") + one.body;
  if (seen.body != wanted) against("UNASKED", one.attempt + " has another body at the engine");
}

// The newest version that this machine must know for this request.
std::int64_t oracle::floor_of(const sent_request& one, const std::string& edge) const {
  auto bound = bound_for(edge, converge);
  std::int64_t floor = 0;
  if (bound < 0) return floor;
  for (auto& [generation, each] : versions_)
    if (each.acknowledged >= 0 && one.sent > each.acknowledged + bound) floor = generation;
  return floor;
}

void oracle::judge_route(const sent_request& one, const arrival& seen) {
  auto path = one.target.substr(0, one.target.find('?'));
  auto floor = floor_of(one, seen.sender);
  bool ever = false, allowed = false, current = false;
  std::int64_t least = 0, most = 0;
  for (auto& [generation, each] : versions_) {
    auto* shape = each.match(path);
    if (!shape || !shape->services.count(seen.service)) continue;
    ever = true;
    if (each.refused || !each.valid) continue;
    if (!allowed) least = generation;
    most = generation;
    allowed = true;
    current = current || generation >= floor;
  }
  auto where = one.attempt + " " + path + " at " + seen.service + " through " + seen.sender;
  if (!ever) return against("ROUTE", where);
  if (!allowed) return against("CONFIG", "a refused configuration is in force: " + where);
  if (!current) against("CONFIG", where + " after version " + std::to_string(floor) + " had to be in force");
  auto& effect = effects_[{seen.sender, where_.find(seen.sender).life}];
  if (most < effect.first && one.sent > effect.second + revert_slack)
    against("CONFIG", "goes back before version " + std::to_string(effect.first) + ": " + where);
  if (least > effect.first) effect = {least, where_.now()};
}

void oracle::judge_leaving(const sent_request& one, const arrival& seen) {
  auto now = where_.now();
  bool touched = in_touch(seen.sender);
  if (touched && seen.shown_draining >= 0 && now > seen.shown_draining + drain_time)
    against("DRAIN", one.attempt + " reaches " + seen.engine + " " +
                         std::to_string((now - seen.shown_draining) / millisecond) + " ms after the list");
  auto zone = evacuated_.find(seen.zone);
  auto bound = bound_for(seen.sender, evacuate_time);
  if (zone != evacuated_.end() && bound >= 0 && now > zone->second + bound)
    against("EVAC", one.attempt + " reaches " + seen.engine + " in " + seen.zone);
  if (!seen.cold) return;
  auto& row = cold_[seen.engine];
  if (seen.sent < seen.cold_since) return;
  row.push_back({seen.sent, now});
  while (row.front().second <= now - second) row.pop_front();
  std::int64_t within = 0;
  for (auto& [sent, arrived] : row) within += sent > now - second;
  if (static_cast<double>(within) > static_cast<double>(cold_rate) * 1.5 + 5)
    against("FAILBACK", seen.engine + " gets " + std::to_string(within) + " in a second while cold");
}

}  // namespace herontally::platform_simulator
