// How long a pooled connection may have been idle before a request is written to it. Engines may forget an
// idle connection without a word; a request that is written to one then is lost, and may or may not have run.
#pragma once
#include <map>
#include <string>

#include "runtime/backend.h"

namespace herontally::router {

using runtime::microseconds;

class idle_limit {
 public:
  // `repeatable`: a lost request costs one more attempt, not the whole request.
  microseconds longest(const std::string& service, bool repeatable, microseconds now) const;
  // A request was lost on a connection that had been idle this long.
  void lost(const std::string& service, microseconds idle, microseconds now);

 private:
  struct loss {
    microseconds limit = 0, until = 0;
  };
  std::map<std::string, loss> losses_;
};

}  // namespace herontally::router
