// How long a connection may have been idle before a request is risked on it.
#include "router/idle_limit.h"

#include <catch2/catch.hpp>

using namespace herontally;
using runtime::millisecond;
using runtime::second;

TEST_CASE("a request lost on an idle connection shortens the rest that later ones risk") {
  router::idle_limit limits;
  auto now = 1000 * second;
  auto before = limits.longest("s", false, now);
  CHECK(before > 300 * millisecond);
  limits.lost("s", 400 * millisecond, now);
  CHECK(limits.longest("s", false, now) == 200 * millisecond);
  // A greater rest that is lost later doesn't lengthen it; another service is another matter.
  limits.lost("s", 900 * millisecond, now + second);
  CHECK(limits.longest("s", false, now + second) == 200 * millisecond);
  CHECK(limits.longest("other", false, now) == before);
  // What may be sent again risks no more than one attempt.
  CHECK(limits.longest("s", true, now) > 300 * millisecond);
  CHECK(limits.longest("s", false, now + 120 * second) == before);
}

TEST_CASE("a loss on a connection that was just in use says nothing about idle ones") {
  router::idle_limit limits;
  auto now = 1000 * second;
  auto before = limits.longest("s", false, now);
  limits.lost("s", 5 * millisecond, now);
  CHECK(limits.longest("s", false, now) == before);
}
