#include "router/engine_pool.h"

#include <algorithm>
#include <cmath>

namespace herontally::router {

using runtime::millisecond;
using runtime::second;

engine_pool::engine_pool() : prefixes_({4000, 120 * second}) {}

void engine_pool::set_list(const std::string& text, microseconds now) {
  auto document = nlohmann::json::parse(text, nullptr, false);
  if (!document.is_array()) return;
  known_ = true;
  for (auto& each : rows_) each.present = false;
  by_service_.clear();
  for (auto& entry : document) {
    auto listed = entry.get<platform_protocol::listed_engine>();
    auto found = by_id_.find(listed.id);
    if (found == by_id_.end()) {
      found = by_id_.emplace(listed.id, static_cast<interning::symbol>(rows_.size())).first;
      rows_.emplace_back();
      rows_.back().number = found->second;
    }
    auto& row = rows_[found->second];
    row.present = true;
    // The list tells how long it stays cold from when the list was made, which lies a while back.
    if (listed.slow_start_milliseconds > 0)
      row.slow_start_until =
          std::max(row.slow_start_until, now + listed.slow_start_milliseconds * millisecond);
    row.listed = std::move(listed);
    by_service_[row.listed.service].push_back(row.number);
  }
  for (auto& each : rows_)
    if (!each.present) prefixes_.forget(each.number);
}

void engine_pool::set_draining(const std::vector<std::string>& ids) {
  for (auto& each : rows_) each.draining = std::find(ids.begin(), ids.end(), each.listed.id) != ids.end();
}

// A cold engine bears so many requests a second from all nodes together. Each node keeps to its share of that
// over every second that slides by.
bool engine_pool::may_take_in_slow_start(engine_row& row, const routing::service& service,
                                         const node_group& group, microseconds wall, microseconds now) {
  if (service.cold_rate <= 0 || now >= row.slow_start_until) return true;
  while (!row.recent_sends.empty() && now - row.recent_sends.front() >= second) row.recent_sends.pop_front();
  auto share = slow_start_share(service.cold_rate, group, row.listed.id, wall);
  return static_cast<std::int64_t>(row.recent_sends.size()) < share;
}

// What one request costs an engine besides its prompt, in prompt tokens: its part of the steps that put out.
constexpr double request_tokens = 200;
constexpr double load_decay_time = 500.0 * millisecond;

double engine_pool::work(const engine_row& row, microseconds now) {
  double faded = row.recent * std::exp(-static_cast<double>(now - row.recent_at) / load_decay_time);
  return faded + static_cast<double>(row.unread) + request_tokens * static_cast<double>(row.in_flight);
}

std::vector<placement::engine> engine_pool::candidates(const routing::service& service,
                                                       const std::set<std::string>& evacuated,
                                                       const std::string& zone, const node_group& group,
                                                       microseconds wall, std::int64_t tokens,
                                                       microseconds now) {
  std::vector<placement::engine> engines;
  auto found = by_service_.find(service.name);
  if (found == by_service_.end()) return engines;
  double least = -1;
  for (auto number : found->second) {
    auto& row = rows_[number];
    placement::engine each;
    each.number = number;
    each.zone = row.listed.zone;
    each.address = row.listed.address;
    each.name = row.listed.id;
    each.draining = row.listed.draining || row.draining;
    each.evacuated = evacuated.contains(row.listed.zone);
    // Out of use for a while after failures; then one request tries it.
    bool down = now < row.down_until || (row.on_probation && row.in_flight > 0);
    each.live = row.present && !down && may_take_in_slow_start(row, service, group, wall, now);
    each.queue = row.in_flight;
    each.in_flight = row.in_flight;
    bool free = each.live && !each.draining && !each.evacuated;
    double load = work(row, now);
    if (free && (least < 0 || load < least)) least = load;
    engines.push_back(std::move(each));
  }
  for (auto& each : engines) {
    auto& row = rows_[each.number];
    if (!service.model) {
      bool near = row.listed.zone == zone, warm = row.last_answer >= 0 && now - row.last_answer < 3 * second;
      each.reported = row.in_flight;
      each.tie_break_score = (near ? 2 : 0) + (warm ? 1 : 0);
      continue;
    }
    // Reading the prompt anew elsewhere costs as much as waiting behind that many tokens: engines that lie
    // closer together in load than this are alike, and what they keep decides.
    double band = static_cast<double>(std::max<std::int64_t>(512, tokens));
    double load = work(row, now);
    each.reported = static_cast<std::int64_t>(std::max(0.0, load - std::max(0.0, least)) / band);
    each.tie_break_score = 1e9 - load;
  }
  return engines;
}

std::size_t engine_pool::usable(const std::string& service, const std::set<std::string>& evacuated,
                                microseconds now) const {
  std::size_t count = 0;
  auto found = by_service_.find(service);
  if (found == by_service_.end()) return 0;
  for (auto number : found->second) {
    auto& row = rows_[number];
    bool out =
        row.listed.draining || row.draining || evacuated.contains(row.listed.zone) || now < row.down_until;
    count += row.present && !out ? 1 : 0;
  }
  return count;
}

void engine_pool::sent(interning::symbol number, std::int64_t unread, microseconds now) {
  auto& row = rows_[number];
  ++row.in_flight;
  row.unread += unread;
  row.recent = row.recent * std::exp(-static_cast<double>(now - row.recent_at) / load_decay_time) +
               static_cast<double>(unread) + request_tokens;
  row.recent_at = now;
  // Counted whether cold or not: it may have turned cold without a word.
  row.recent_sends.push_back(now);
  while (now - row.recent_sends.front() >= second) row.recent_sends.pop_front();
}

void engine_pool::begun(interning::symbol number, std::int64_t unread) { rows_[number].unread -= unread; }

void engine_pool::ended(interning::symbol number) { --rows_[number].in_flight; }

void engine_pool::answered(interning::symbol number, const platform_protocol::response_metadata& metadata,
                           microseconds now) {
  auto& row = rows_[number];
  row.failures = 0;
  row.on_probation = false;
  row.last_answer = now;
  if (metadata.slow_start_milliseconds > 0)
    row.slow_start_until =
        std::max(row.slow_start_until, now + metadata.slow_start_milliseconds * millisecond);
}

void engine_pool::failed(interning::symbol number, bool hard, microseconds now) {
  auto& row = rows_[number];
  ++row.failures;
  row.last_answer = -1;
  // A single broken answer happens to the best; nothing listening at all does not.
  if (!hard && row.failures < 2) return;
  microseconds pause = std::min<microseconds>(4 * second, (250 * millisecond) << std::min(row.failures, 5));
  row.down_until = now + pause;
  row.on_probation = true;
}

void engine_pool::replaced(interning::symbol number) {
  rows_[number].down_until = rows_[number].down_until + 3600 * second;
  prefixes_.forget(number);
}

}  // namespace herontally::router
