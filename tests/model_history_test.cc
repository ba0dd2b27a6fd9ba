// Tests the linearizability check of the register model: which histories it must accept and which it must
// reject.
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
operation uncertain_set(int expected, int value, std::int64_t begin) {
  operation each{operation_kind::uncertain_set, "writer", expected, value};
  each.begin = begin;
  return each;
}
verdict verdict_of(const std::vector<operation>& history) { return check_linearizable(history).outcome; }

}  // namespace

TEST_CASE("a history whose operations follow each other is linearizable") {
  REQUIRE(verdict_of({}) == verdict::linearizable);
  REQUIRE(verdict_of({set(0, 1, 0, 1), read(1, 2, 3), set(1, 2, 4, 5), read(2, 6, 7)}) ==
          verdict::linearizable);
}

TEST_CASE("operations that overlap may take effect in either order") {
  REQUIRE(verdict_of({set(0, 1, 0, 10), read(0, 2, 3)}) == verdict::linearizable);
  REQUIRE(verdict_of({set(0, 1, 0, 10), read(1, 2, 3)}) == verdict::linearizable);
  REQUIRE(verdict_of({set(1, 2, 0, 10), set(0, 1, 2, 9), read(2, 3, 4)}) == verdict::linearizable);
}

TEST_CASE("a stale read is a violation") {
  REQUIRE(verdict_of({set(0, 1, 0, 1), read(0, 2, 3)}) == verdict::violated);
  REQUIRE(verdict_of({set(0, 1, 0, 10), read(1, 2, 3), read(0, 4, 5)}) == verdict::violated);
}

TEST_CASE("the loss of an acknowledged set is a violation") {
  REQUIRE(verdict_of({set(0, 1, 0, 1), set(1, 2, 2, 3), read(1, 4, 5)}) == verdict::violated);
}

TEST_CASE("two sets that replaced the same value are a violation") {
  REQUIRE(verdict_of({set(0, 1, 0, 1), set(1, 2, 2, 9), set(1, 3, 2, 9)}) == verdict::violated);
}

TEST_CASE("an uncertain set may take effect late or never, but only once and not before it began") {
  REQUIRE(verdict_of({uncertain_set(0, 1, 0), read(0, 1, 2)}) == verdict::linearizable);
  REQUIRE(verdict_of({uncertain_set(0, 1, 0), read(0, 1, 2), read(1, 50, 60)}) == verdict::linearizable);
  REQUIRE(verdict_of({uncertain_set(0, 1, 0), read(1, 1, 2), read(0, 3, 4)}) == verdict::violated);
  REQUIRE(verdict_of({read(1, 1, 2), uncertain_set(0, 1, 5)}) == verdict::violated);
  REQUIRE(verdict_of({uncertain_set(0, 1, 0), set(1, 2, 5, 6), read(1, 7, 8)}) == verdict::violated);
}

TEST_CASE("a value whose set had no effect must not be read") {
  auto unsent_set = set(0, 1, 0, 1);
  unsent_set.kind = operation_kind::without_effect;
  REQUIRE(verdict_of({unsent_set, read(0, 2, 3)}) == verdict::linearizable);
  REQUIRE(verdict_of({unsent_set, read(1, 2, 3)}) == verdict::violated);
}
