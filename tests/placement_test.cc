// Placement of requests on engines, and the prefix index, without faults.
#include "placement/placement.h"

#include <catch2/catch.hpp>

#include "prefix/prefix.h"

using namespace herontally;

namespace {

placement::engine ready_engine(std::uint32_t number, std::int64_t usage, std::size_t cached = 0,
                               std::int64_t queue = 0) {
  placement::engine each;
  each.number = number;
  each.name = "e" + std::to_string(number);
  each.zone = "z";
  each.weights = "v1";
  each.live = true;
  each.reported = usage;
  each.queue = queue;
  each.cached_blocks = cached;
  return each;
}

placement::placement_request request_with_threshold(std::optional<std::int64_t> delta) {
  placement::placement_request request;
  request.weights = "v1";
  request.prompt_tokens = 1000;
  request.min_cached_token_delta = delta;
  request.max_concurrent = 100;
  return request;
}

}  // namespace

TEST_CASE("the destination is chosen by load, then compared with the engine that has the most cached") {
  std::mt19937_64 random(1);
  std::vector<placement::engine> engines{ready_engine(0, 5, 40), ready_engine(1, 1, 0),
                                         ready_engine(2, 3, 10)};
  auto result = placement::place(request_with_threshold(100), engines, random);
  REQUIRE(result);
  REQUIRE(result->destination == 1);
  REQUIRE(result->source == std::optional<std::size_t>(0));
  REQUIRE(result->source_blocks == 40);
  // No source without a threshold, nor with an advantage of exactly the threshold.
  REQUIRE_FALSE(placement::place(request_with_threshold(std::nullopt), engines, random)->source);
  REQUIRE_FALSE(placement::place(request_with_threshold(640), engines, random)->source);
  REQUIRE(placement::place(request_with_threshold(639), engines, random)->source);
}

TEST_CASE("no source is chosen on a tie or if the destination has the most cached") {
  std::mt19937_64 random(1);
  std::vector<placement::engine> tie{ready_engine(0, 5, 20), ready_engine(1, 1, 20)};
  REQUIRE_FALSE(placement::place(request_with_threshold(0), tie, random)->source);
  std::vector<placement::engine> self{ready_engine(0, 5, 20), ready_engine(1, 1, 60)};
  REQUIRE_FALSE(placement::place(request_with_threshold(0), self, random)->source);
}

TEST_CASE("nearly equal sources are drawn with weights inverse to their queue lengths") {
  std::mt19937_64 random(3);
  auto request = request_with_threshold(100);
  request.near_tie_tokens = 32;
  std::vector<placement::engine> engines{ready_engine(0, 0), ready_engine(1, 9, 40, 0),
                                         ready_engine(2, 9, 39, 3), ready_engine(3, 9, 20, 0)};
  int named[4] = {0, 0, 0, 0};
  for (int turn = 0; turn < 4000; ++turn) ++named[*placement::place(request, engines, random)->source];
  // Weights 1/(1+0) and 1/(1+3), four to one; engine 3 has too little cached to be nearly equal.
  REQUIRE(named[3] == 0);
  REQUIRE(named[1] > 3000);
  REQUIRE(named[1] < 3400);
}

TEST_CASE(
    "draining, evacuated and dead engines and those with other weights are neither destination nor source") {
  std::mt19937_64 random(5);
  for (int kind = 0; kind < 4; ++kind) {
    auto bad = ready_engine(0, 0, 60);
    if (kind == 0) bad.draining = true;
    if (kind == 1) bad.evacuated = true;
    if (kind == 2) bad.live = false;
    if (kind == 3) bad.weights = "v2";
    std::vector<placement::engine> engines{bad, ready_engine(1, 7)};
    auto result = placement::place(request_with_threshold(10), engines, random);
    REQUIRE(result);
    REQUIRE(result->destination == 1);
    REQUIRE_FALSE(result->source);
    REQUIRE_FALSE(placement::place(request_with_threshold(10), {bad}, random));
  }
}

TEST_CASE("all proxies together keep to a cold engine's limits on turns and pulls") {
  std::mt19937_64 random(7);
  for (std::int64_t proxies : {1, 3, 12, 60}) {
    for (double age : {0.0, 4.0, 9.0}) {
      std::int64_t turns = 0, pulls = 0;
      for (std::int64_t proxy = 0; proxy < proxies; ++proxy) {
        auto request = request_with_threshold(10);
        request.max_concurrent = 8;
        request.warm_seconds = 10;
        request.proxies = proxies;
        request.rank = proxy;
        auto cold = ready_engine(0, 0, 60);
        cold.age_seconds = age;
        // The worst case: this proxy sees nothing of the others' turns.
        while (placement::place(request, {cold}, random)) {
          ++turns;
          ++cold.in_flight;
          ++cold.sent_since_report;
        }
        std::vector<placement::engine> engines{cold, ready_engine(1, 0)};
        while (placement::place(request, engines, random)->source) {
          ++pulls;
          ++engines[0].pulls_as_source;
        }
      }
      INFO(proxies << " proxies, age " << age);
      REQUIRE(turns == placement::slow_start_limit(1, 8, age, 10));
      REQUIRE(pulls == placement::slow_start_limit(1, 4, age, 10));
    }
  }
}

TEST_CASE("proxies that number the engines differently still keep to the limit together") {
  // The engine has a different symbol at each proxy; shares are computed from its name.
  for (int number = 0; number < 50; ++number) {
    std::int64_t taken = 0;
    for (int rank = 0; rank < 3; ++rank) {
      auto request = request_with_threshold(std::nullopt);
      request.proxies = 3;
      request.rank = rank;
      request.warm_seconds = 10;
      request.max_concurrent = 8;
      std::mt19937_64 random(1);
      auto engine = ready_engine(static_cast<std::uint32_t>(7 * rank + number % 5), 0);
      engine.name = "engine-" + std::to_string(number);
      engine.age_seconds = 0.5;
      for (; placement::place(request, {engine}, random) && engine.in_flight < 9; ++taken) ++engine.in_flight;
    }
    REQUIRE(taken == 1);
  }
}

TEST_CASE("an engine with low prediction accuracy needs more cached blocks to be a source") {
  std::mt19937_64 random(9);
  auto inaccurate = ready_engine(0, 5, 40);
  inaccurate.prediction_accuracy = 0.1;
  REQUIRE_FALSE(
      placement::place(request_with_threshold(100), {inaccurate, ready_engine(1, 0)}, random)->source);
}

TEST_CASE(
    "block hashes differ by program for private tokens and by identity for all, and agree on shared tokens") {
  std::mt19937_64 random(11);
  std::vector<std::int64_t> tokens(160);
  for (auto& token : tokens) token = static_cast<std::int64_t>(random() % 1000);
  prefix::identity one{"p", "m", "v1", "seed", 16, 50, "a"};
  auto base = prefix::block_hashes(one, tokens);
  REQUIRE(base.size() == 10);
  auto other = one;
  other.program = "b";
  auto across = prefix::block_hashes(other, tokens);
  // 50 shared tokens fill three blocks; the fourth block has private tokens.
  for (std::size_t position = 0; position < 10; ++position)
    REQUIRE((base[position] == across[position]) == (position < 3));
  for (int field = 0; field < 5; ++field) {
    auto changed = one;
    if (field == 0) changed.partner = "q";
    if (field == 1) changed.model = "n";
    if (field == 2) changed.weights = "v2";
    if (field == 3) changed.hash_seed = "other";
    if (field == 4) changed.block_tokens = 8;
    auto hashes = prefix::block_hashes(changed, tokens);
    for (auto& hash : hashes) REQUIRE(std::find(base.begin(), base.end(), hash) == base.end());
  }
}

TEST_CASE("the index expires, forgets and corrects entries like a map of last uses") {
  std::mt19937_64 random(13);
  prefix::index index({50, 1000});
  std::map<std::string, std::int64_t> expected_uses;  // of one engine: time of last use by block hash
  std::vector<std::string> chain;
  for (int position = 0; position < 30; ++position) chain.push_back("h" + std::to_string(position));
  std::int64_t now = 0;
  for (int turn = 0; turn < 3000; ++turn) {
    now += static_cast<std::int64_t>(random() % 60);
    auto part =
        std::vector<std::string>(chain.begin(), chain.begin() + static_cast<std::ptrdiff_t>(random() % 31));
    switch (random() % 8) {
      case 0:
        index.forget(0);
        expected_uses.clear();
        break;
      case 1: {
        auto found = part.empty() ? 0 : random() % (part.size() + 1);
        index.report_outcome(0, part, found, part.size());
        for (auto position = found; position < part.size(); ++position) expected_uses.erase(part[position]);
        break;
      }
      case 2:
      case 3:
        index.record_use(0, part, now);
        for (auto& hash : part) expected_uses[hash] = now;
        break;
      default:
        break;
    }
    std::size_t expected = 0;
    while (expected < part.size() && expected_uses.count(part[expected]) &&
           now - expected_uses[part[expected]] <= 1000)
      ++expected;
    REQUIRE(index.cached_prefix_length(0, part, now) == expected);
  }
  REQUIRE(index.prediction_accuracy(0) <= 1);
}
