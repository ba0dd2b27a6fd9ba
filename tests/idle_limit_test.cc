// How long a connection may have been idle when a request is sent on it.
#include "router/idle_limit.h"

#include <catch2/catch.hpp>

using namespace herontally;
using runtime::millisecond;
using runtime::second;

TEST_CASE("a request lost on an idle connection lowers the service's idle limit for a while") {
  router::idle_limit limits;
  auto now = 1000 * second;
  auto before = limits.max_idle("s", false, now);
  CHECK(before > 300 * millisecond);
  limits.record_loss("s", 400 * millisecond, now);
  CHECK(limits.max_idle("s", false, now) == 200 * millisecond);
  // A later loss after a longer idle time doesn't raise the limit; other services are not affected.
  limits.record_loss("s", 900 * millisecond, now + second);
  CHECK(limits.max_idle("s", false, now + second) == 200 * millisecond);
  CHECK(limits.max_idle("other", false, now) == before);
  // A request that may be repeated risks only one attempt, so its limit stays.
  CHECK(limits.max_idle("s", true, now) > 300 * millisecond);
  CHECK(limits.max_idle("s", false, now + 120 * second) == before);
}

TEST_CASE("a loss on a connection that was just in use doesn't lower the idle limit") {
  router::idle_limit limits;
  auto now = 1000 * second;
  auto before = limits.max_idle("s", false, now);
  limits.record_loss("s", 5 * millisecond, now);
  CHECK(limits.max_idle("s", false, now) == before);
}
