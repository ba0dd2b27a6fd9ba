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
  has_list_ = true;
  for (auto& each : entries_) each.present = false;
  by_service_.clear();
  for (auto& item : document) {
    auto listed = item.get<platform_protocol::listed_engine>();
    auto found = by_id_.find(listed.id);
    if (found == by_id_.end()) {
      found = by_id_.emplace(listed.id, static_cast<interning::symbol>(entries_.size())).first;
      entries_.emplace_back();
      entries_.back().number = found->second;
    }
    auto& entry = entries_[found->second];
    entry.present = true;
    // The remaining slow start counts from when the list was made, which was a while ago.
    if (listed.slow_start_milliseconds > 0)
      entry.slow_start_until =
          std::max(entry.slow_start_until, now + listed.slow_start_milliseconds * millisecond);
    entry.listed = std::move(listed);
    by_service_[entry.listed.service].push_back(entry.number);
  }
  for (auto& each : entries_)
    if (!each.present) prefixes_.forget(each.number);
}

void engine_pool::set_draining(const std::vector<std::string>& ids) {
  for (auto& each : entries_) each.draining = std::find(ids.begin(), ids.end(), each.listed.id) != ids.end();
}

// An engine in slow start can handle a limited number of requests per second from all nodes together. Each
// node stays within its share over a sliding window of one second.
bool engine_pool::within_slow_start_share(engine_entry& entry, const routing::service& service,
                                          const node_group& group, microseconds wall, microseconds now) {
  if (service.slow_start_rate <= 0 || now >= entry.slow_start_until) return true;
  while (!entry.recent_sends.empty() && now - entry.recent_sends.front() >= second)
    entry.recent_sends.pop_front();
  auto share = slow_start_share(service.slow_start_rate, group, entry.listed.id, wall);
  return static_cast<std::int64_t>(entry.recent_sends.size()) < share;
}

// The load of one request besides its prompt, in prompt tokens: its part of the engine's decoding steps.
constexpr double tokens_per_request = 200;
constexpr double load_decay_time = 500.0 * millisecond;

double engine_pool::current_load(const engine_entry& entry, microseconds now) {
  double decayed =
      entry.recent_load * std::exp(-static_cast<double>(now - entry.recent_load_at) / load_decay_time);
  return decayed + static_cast<double>(entry.pending_prompt_tokens) +
         tokens_per_request * static_cast<double>(entry.in_flight);
}

std::vector<placement::engine> engine_pool::candidates(const routing::service& service,
                                                       const std::set<std::string>& evacuated,
                                                       const std::string& zone, const node_group& group,
                                                       microseconds wall, std::int64_t tokens,
                                                       microseconds now) {
  std::vector<placement::engine> engines;
  auto found = by_service_.find(service.name);
  if (found == by_service_.end()) return engines;
  double min_load = -1;
  for (auto number : found->second) {
    auto& entry = entries_[number];
    placement::engine each;
    each.number = number;
    each.zone = entry.listed.zone;
    each.address = entry.listed.address;
    each.name = entry.listed.id;
    each.draining = entry.listed.draining || entry.draining;
    each.evacuated = evacuated.contains(entry.listed.zone);
    // Ejected for a while after failures; after that one request at a time probes the engine.
    bool ejected = now < entry.ejected_until || (entry.on_probation && entry.in_flight > 0);
    each.live = entry.present && !ejected && within_slow_start_share(entry, service, group, wall, now);
    each.queue = entry.in_flight;
    each.in_flight = entry.in_flight;
    bool available = each.live && !each.draining && !each.evacuated;
    double load = current_load(entry, now);
    if (available && (min_load < 0 || load < min_load)) min_load = load;
    engines.push_back(std::move(each));
  }
  for (auto& each : engines) {
    auto& entry = entries_[each.number];
    if (!service.model) {
      bool same_zone = entry.listed.zone == zone,
           recently_used = entry.last_answer_at >= 0 && now - entry.last_answer_at < 3 * second;
      each.reported = entry.in_flight;
      each.tie_break_score = (same_zone ? 2 : 0) + (recently_used ? 1 : 0);
      continue;
    }
    // Recomputing the prompt at another engine costs as much as waiting behind that many tokens. Engines
    // whose load differs by less than this count as equally loaded, and what they have cached decides.
    double band = static_cast<double>(std::max<std::int64_t>(512, tokens));
    double load = current_load(entry, now);
    each.reported = static_cast<std::int64_t>(std::max(0.0, load - std::max(0.0, min_load)) / band);
    each.tie_break_score = 1e9 - load;
  }
  return engines;
}

std::size_t engine_pool::count_usable(const std::string& service, const std::set<std::string>& evacuated,
                                      microseconds now) const {
  std::size_t count = 0;
  auto found = by_service_.find(service);
  if (found == by_service_.end()) return 0;
  for (auto number : found->second) {
    auto& entry = entries_[number];
    bool excluded = entry.listed.draining || entry.draining || evacuated.contains(entry.listed.zone) ||
                    now < entry.ejected_until;
    count += entry.present && !excluded ? 1 : 0;
  }
  return count;
}

void engine_pool::request_sent(interning::symbol number, std::int64_t uncached_tokens, microseconds now) {
  auto& entry = entries_[number];
  ++entry.in_flight;
  entry.pending_prompt_tokens += uncached_tokens;
  entry.recent_load =
      entry.recent_load * std::exp(-static_cast<double>(now - entry.recent_load_at) / load_decay_time) +
      static_cast<double>(uncached_tokens) + tokens_per_request;
  entry.recent_load_at = now;
  // Counted for engines outside slow start too: an engine may have entered it without notice.
  entry.recent_sends.push_back(now);
  while (now - entry.recent_sends.front() >= second) entry.recent_sends.pop_front();
}

void engine_pool::started_answering(interning::symbol number, std::int64_t uncached_tokens) {
  entries_[number].pending_prompt_tokens -= uncached_tokens;
}

void engine_pool::request_ended(interning::symbol number) { --entries_[number].in_flight; }

void engine_pool::request_answered(interning::symbol number,
                                   const platform_protocol::response_metadata& metadata, microseconds now) {
  auto& entry = entries_[number];
  entry.consecutive_failures = 0;
  entry.on_probation = false;
  entry.last_answer_at = now;
  if (metadata.slow_start_milliseconds > 0)
    entry.slow_start_until =
        std::max(entry.slow_start_until, now + metadata.slow_start_milliseconds * millisecond);
}

void engine_pool::request_failed(interning::symbol number, bool hard, microseconds now) {
  auto& entry = entries_[number];
  ++entry.consecutive_failures;
  entry.last_answer_at = -1;
  // A single failed answer can happen to a healthy engine; a request that could not even be sent can't.
  if (!hard && entry.consecutive_failures < 2) return;
  microseconds pause =
      std::min<microseconds>(4 * second, (250 * millisecond) << std::min(entry.consecutive_failures, 5));
  entry.ejected_until = now + pause;
  entry.on_probation = true;
}

void engine_pool::replaced(interning::symbol number) {
  entries_[number].ejected_until = entries_[number].ejected_until + 3600 * second;
  prefixes_.forget(number);
}

}  // namespace herontally::router
