// Limits how long a pooled connection may have been idle when a request is written to it. Engines may drop an
// idle connection without closing it; a request written to such a connection is lost, and may or may not have
// run.
#pragma once
#include <map>
#include <string>

#include "runtime/backend.h"

namespace herontally::router {

using runtime::microseconds;

// Per service, lowered for a while after each loss. Durations and times in microseconds.
class idle_limit {
 public:
  // `repeatable`: the request may be sent again, so that a loss costs one attempt and not the whole request.
  microseconds max_idle(const std::string& service, bool repeatable, microseconds now) const;
  // Records that a request was lost on a connection that had been idle for `idle`.
  void record_loss(const std::string& service, microseconds idle, microseconds now);

 private:
  struct loss {
    microseconds limit = 0, until = 0;
  };
  std::map<std::string, loss> losses_;
};

}  // namespace herontally::router
