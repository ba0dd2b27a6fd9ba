// Which requests a process that is about to end still takes: those that can be answered before it does.
#pragma once
#include <map>
#include <optional>

#include "routing/table.h"
#include "runtime/runtime.h"

namespace herontally::router {

using runtime::microseconds;

// The longest that requests of each route have taken of late. Routes are known by their names.
class route_durations {
 public:
  void note(const std::string& route, microseconds duration, microseconds now);
  // Nothing: no request of the route was answered of late.
  std::optional<microseconds> longest(const std::string& route, microseconds now) const;
  // Forgets the routes that the table doesn't have.
  void keep_routes_of(const routing::table& table);

 private:
  // The longest of two spans of time that follow each other; the older one goes when a third begins.
  struct spans {
    microseconds begun = 0, longest = 0, longest_before = 0;
  };
  static spans moved_on(spans of, microseconds now);

  std::map<std::string, spans> routes_;
};

class shutdown_admission {
 public:
  // The process had its notice at `now`, and ends at `ends_at`.
  void begin(microseconds now, microseconds ends_at);
  bool begun() const { return ends_at_.has_value(); }
  // `wanted`, or the time at which whoever waits for something must be answered, if that comes first.
  microseconds bounded(microseconds wanted) const;
  // The end has come: nothing new is taken.
  bool is_over(microseconds now) const;
  // Whether a request that has come now can be answered in time. Its deadline tells for certain. Its client
  // may not have heard of the shutdown in its first seconds: then what such requests take of late is enough.
  bool may_take(microseconds deadline, std::optional<microseconds> longest_of_late, microseconds now) const;

 private:
  std::optional<microseconds> ends_at_;
  microseconds begun_at_ = 0;
};

}  // namespace herontally::router
