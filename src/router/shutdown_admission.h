// Decides which requests a process that is shutting down still accepts: those that can be answered before it
// ends. All times are of the steady clock, in microseconds.
#pragma once
#include <map>
#include <optional>

#include "routing/table.h"
#include "runtime/runtime.h"

namespace herontally::router {

using runtime::microseconds;

// The longest recent duration of answered requests, per route name. Durations are remembered for 30 to 90 s.
class route_durations {
 public:
  void record(const std::string& route, microseconds duration, microseconds now);
  // Without a value: no request of the route was answered recently.
  std::optional<microseconds> recent_max(const std::string& route, microseconds now) const;
  // Removes the routes that the table doesn't have.
  void retain_routes(const routing::table& table);

 private:
  // The maxima of two consecutive time windows; the older one is dropped when a third begins.
  struct windows {
    microseconds begun_at = 0, longest = 0, longest_before = 0;
  };
  static windows rotated(windows windows_of_route, microseconds now);

  std::map<std::string, windows> routes_;
};

class shutdown_admission {
 public:
  // Begins the shutdown at `now`; the process ends at `ends_at`. Later calls are ignored.
  void begin(microseconds now, microseconds ends_at);
  bool has_begun() const { return ends_at_.has_value(); }
  // The earlier of `time` and the time at which all waiting requests must be answered.
  microseconds limit_to_shutdown(microseconds time) const;
  // Whether the time has come at which all waiting requests are rejected.
  bool is_over(microseconds now) const;
  // Whether a request that arrives now is accepted. It is if its deadline comes before the end. In the first
  // seconds of a shutdown clients may not know of it yet: then it suffices that recent requests of the route
  // (`recent_max`, the longest duration) were fast enough.
  bool may_accept(microseconds deadline, std::optional<microseconds> recent_max, microseconds now) const;

 private:
  std::optional<microseconds> ends_at_;
  microseconds begun_at_ = 0;
};

}  // namespace herontally::router
