// The check of histories itself: what it must take for linearizable and what not.
#include <catch2/catch.hpp>

#include "model/history.h"

using herontally::model::check_linearizable;
using herontally::model::operation;
using herontally::model::operation_kind;
using herontally::model::verdict;

namespace {

operation read(int value, std::int64_t begin, std::int64_t end) {
  return {operation_kind::read, "reader", 0, value, begin, end};
}
operation set(int expected, int value, std::int64_t begin, std::int64_t end) {
  return {operation_kind::set, "writer", expected, value, begin, end};
}
operation uncertain(int expected, int value, std::int64_t begin) {
  operation each{operation_kind::uncertain_set, "writer", expected, value};
  each.begin = begin;
  return each;
}
verdict found(const std::vector<operation>& history) { return check_linearizable(history).found; }

}  // namespace

TEST_CASE("a history whose operations follow each other is linearizable") {
  REQUIRE(found({}) == verdict::linearizable);
  REQUIRE(found({set(0, 1, 0, 1), read(1, 2, 3), set(1, 2, 4, 5), read(2, 6, 7)}) == verdict::linearizable);
}

TEST_CASE("operations that overlap may take effect in either order") {
  REQUIRE(found({set(0, 1, 0, 10), read(0, 2, 3)}) == verdict::linearizable);
  REQUIRE(found({set(0, 1, 0, 10), read(1, 2, 3)}) == verdict::linearizable);
  REQUIRE(found({set(1, 2, 0, 10), set(0, 1, 2, 9), read(2, 3, 4)}) == verdict::linearizable);
}

TEST_CASE("a stale read is noticed") {
  REQUIRE(found({set(0, 1, 0, 1), read(0, 2, 3)}) == verdict::violated);
  REQUIRE(found({set(0, 1, 0, 10), read(1, 2, 3), read(0, 4, 5)}) == verdict::violated);
}

TEST_CASE("an acknowledged set that is gone is noticed") {
  REQUIRE(found({set(0, 1, 0, 1), set(1, 2, 2, 3), read(1, 4, 5)}) == verdict::violated);
}

TEST_CASE("two sets that replaced the same value are noticed") {
  REQUIRE(found({set(0, 1, 0, 1), set(1, 2, 2, 9), set(1, 3, 2, 9)}) == verdict::violated);
}

TEST_CASE("an uncertain set may have happened, late or never, but only once and not before it began") {
  REQUIRE(found({uncertain(0, 1, 0), read(0, 1, 2)}) == verdict::linearizable);
  REQUIRE(found({uncertain(0, 1, 0), read(0, 1, 2), read(1, 50, 60)}) == verdict::linearizable);
  REQUIRE(found({uncertain(0, 1, 0), read(1, 1, 2), read(0, 3, 4)}) == verdict::violated);
  REQUIRE(found({read(1, 1, 2), uncertain(0, 1, 5)}) == verdict::violated);
  REQUIRE(found({uncertain(0, 1, 0), set(1, 2, 5, 6), read(1, 7, 8)}) == verdict::violated);
}

TEST_CASE("a value that was certainly not written must not be read") {
  auto refused = set(0, 1, 0, 1);
  refused.kind = operation_kind::without_effect;
  REQUIRE(found({refused, read(0, 2, 3)}) == verdict::linearizable);
  REQUIRE(found({refused, read(1, 2, 3)}) == verdict::violated);
}
