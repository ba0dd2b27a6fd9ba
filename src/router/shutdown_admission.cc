#include "router/shutdown_admission.h"

#include <algorithm>

namespace herontally::router {

namespace {

constexpr microseconds span_length = 30 * runtime::second;
// Until the platform has asked for readiness twice and clients have moved on.
constexpr microseconds announcement_time = 3 * runtime::second;
// What waits is answered this long before the end.
constexpr microseconds answer_time = 200 * runtime::millisecond;

}  // namespace

route_durations::spans route_durations::moved_on(spans of, microseconds now) {
  auto age = now - of.begun;
  if (age < span_length) return of;
  bool adjacent = age < 2 * span_length;
  return {now, 0, adjacent ? of.longest : 0};
}

void route_durations::note(const std::string& route, microseconds duration, microseconds now) {
  auto [place, fresh] = routes_.try_emplace(route, spans{now, 0, 0});
  auto& of = place->second;
  of = moved_on(of, now);
  of.longest = std::max(of.longest, duration);
}

std::optional<microseconds> route_durations::longest(const std::string& route, microseconds now) const {
  auto found = routes_.find(route);
  if (found == routes_.end()) return std::nullopt;
  auto of = moved_on(found->second, now);
  auto longest = std::max(of.longest, of.longest_before);
  return longest > 0 ? std::optional(longest) : std::nullopt;
}

void route_durations::keep_routes_of(const routing::table& table) {
  std::erase_if(routes_, [&table](auto& entry) {
    return std::none_of(table.routes.begin(), table.routes.end(),
                        [&entry](auto& route) { return route.name == entry.first; });
  });
}

void shutdown_admission::begin(microseconds now, microseconds ends_at) {
  if (begun()) return;
  begun_at_ = now;
  ends_at_ = ends_at;
}

microseconds shutdown_admission::bounded(microseconds wanted) const {
  return ends_at_ ? std::min(wanted, *ends_at_ - answer_time) : wanted;
}

bool shutdown_admission::is_over(microseconds now) const {
  return ends_at_ && now >= *ends_at_ - answer_time;
}

bool shutdown_admission::may_take(microseconds deadline, std::optional<microseconds> longest_of_late,
                                  microseconds now) const {
  if (!ends_at_) return true;
  auto latest = bounded(deadline);
  if (now >= latest) return false;
  if (latest == deadline) return true;
  bool announced = now - begun_at_ >= announcement_time;
  // A quarter more than was seen.
  return !announced && longest_of_late && now + *longest_of_late * 5 / 4 <= latest;
}

}  // namespace herontally::router
