#include "router/shutdown_admission.h"

#include <algorithm>

namespace herontally::router {

namespace {

constexpr microseconds window_length = 30 * runtime::second;
// After this time the platform has probed readiness twice and clients have moved to other nodes.
constexpr microseconds announcement_time = 3 * runtime::second;
// Waiting requests are answered this long before the end.
constexpr microseconds answer_margin = 200 * runtime::millisecond;

}  // namespace

route_durations::windows route_durations::rotated(windows windows_of_route, microseconds now) {
  auto age = now - windows_of_route.begun_at;
  if (age < window_length) return windows_of_route;
  bool adjacent = age < 2 * window_length;
  return {now, 0, adjacent ? windows_of_route.longest : 0};
}

void route_durations::record(const std::string& route, microseconds duration, microseconds now) {
  auto [position, inserted] = routes_.try_emplace(route, windows{now, 0, 0});
  auto& windows_of_route = position->second;
  windows_of_route = rotated(windows_of_route, now);
  windows_of_route.longest = std::max(windows_of_route.longest, duration);
}

std::optional<microseconds> route_durations::recent_max(const std::string& route, microseconds now) const {
  auto found = routes_.find(route);
  if (found == routes_.end()) return std::nullopt;
  auto windows_of_route = rotated(found->second, now);
  auto longest = std::max(windows_of_route.longest, windows_of_route.longest_before);
  return longest > 0 ? std::optional(longest) : std::nullopt;
}

void route_durations::retain_routes(const routing::table& table) {
  std::erase_if(routes_, [&table](auto& entry) {
    return std::none_of(table.routes.begin(), table.routes.end(),
                        [&entry](auto& route) { return route.name == entry.first; });
  });
}

void shutdown_admission::begin(microseconds now, microseconds ends_at) {
  if (has_begun()) return;
  begun_at_ = now;
  ends_at_ = ends_at;
}

microseconds shutdown_admission::limit_to_shutdown(microseconds time) const {
  return ends_at_ ? std::min(time, *ends_at_ - answer_margin) : time;
}

bool shutdown_admission::is_over(microseconds now) const {
  return ends_at_ && now >= *ends_at_ - answer_margin;
}

bool shutdown_admission::may_accept(microseconds deadline, std::optional<microseconds> recent_max,
                                    microseconds now) const {
  if (!ends_at_) return true;
  auto latest = limit_to_shutdown(deadline);
  if (now >= latest) return false;
  if (latest == deadline) return true;
  bool announced = now - begun_at_ >= announcement_time;
  // With a margin of a quarter over the longest recent duration.
  return !announced && recent_max && now + *recent_max * 5 / 4 <= latest;
}

}  // namespace herontally::router
