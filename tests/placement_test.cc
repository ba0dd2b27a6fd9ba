// Placement and the prefix index: the design's ordinary path.
#include "placement/placement.h"

#include <catch2/catch.hpp>

#include "prefix/prefix.h"

using namespace herontally;

namespace {

placement::engine ready(std::uint32_t number, std::int64_t usage, std::size_t cached = 0,
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

placement::placement_request ask(std::optional<std::int64_t> delta) {
  placement::placement_request asked;
  asked.weights = "v1";
  asked.prompt_tokens = 1000;
  asked.min_cached_token_delta = delta;
  asked.max_concurrent = 100;
  return asked;
}

}  // namespace

TEST_CASE("load decides the destination, then the largest holder is compared with it") {
  std::mt19937_64 random(1);
  std::vector<placement::engine> engines{ready(0, 5, 40), ready(1, 1, 0), ready(2, 3, 10)};
  auto made = placement::place(ask(100), engines, random);
  REQUIRE(made);
  REQUIRE(made->destination == 1);
  REQUIRE(made->source == std::optional<std::size_t>(0));
  REQUIRE(made->source_blocks == 40);
  // Off unless there is a threshold; a lead of exactly the threshold is not above it.
  REQUIRE_FALSE(placement::place(ask(std::nullopt), engines, random)->source);
  REQUIRE_FALSE(placement::place(ask(640), engines, random)->source);
  REQUIRE(placement::place(ask(639), engines, random)->source);
}

TEST_CASE("a tie and a destination that holds the most stay local") {
  std::mt19937_64 random(1);
  std::vector<placement::engine> tie{ready(0, 5, 20), ready(1, 1, 20)};
  REQUIRE_FALSE(placement::place(ask(0), tie, random)->source);
  std::vector<placement::engine> self{ready(0, 5, 20), ready(1, 1, 60)};
  REQUIRE_FALSE(placement::place(ask(0), self, random)->source);
}

TEST_CASE("near-tied holders are drawn with weights inverse to their queues") {
  std::mt19937_64 random(3);
  auto asked = ask(100);
  asked.near_tie_tokens = 32;
  std::vector<placement::engine> engines{ready(0, 0), ready(1, 9, 40, 0), ready(2, 9, 39, 3),
                                         ready(3, 9, 20, 0)};
  int named[4] = {0, 0, 0, 0};
  for (int turn = 0; turn < 4000; ++turn) ++named[*placement::place(asked, engines, random)->source];
  // 1/(1+0) against 1/(1+3): four to one; the third holds too little to be near.
  REQUIRE(named[3] == 0);
  REQUIRE(named[1] > 3000);
  REQUIRE(named[1] < 3400);
}

TEST_CASE("draining, evacuated, dead and other-weight engines neither serve nor lend") {
  std::mt19937_64 random(5);
  for (int kind = 0; kind < 4; ++kind) {
    auto bad = ready(0, 0, 60);
    if (kind == 0) bad.draining = true;
    if (kind == 1) bad.evacuated = true;
    if (kind == 2) bad.live = false;
    if (kind == 3) bad.weights = "v2";
    std::vector<placement::engine> engines{bad, ready(1, 7)};
    auto made = placement::place(ask(10), engines, random);
    REQUIRE(made);
    REQUIRE(made->destination == 1);
    REQUIRE_FALSE(made->source);
    REQUIRE_FALSE(placement::place(ask(10), {bad}, random));
  }
}

TEST_CASE("a cold engine's cap holds over all proxies together, for turns and for pulls") {
  std::mt19937_64 random(7);
  for (std::int64_t proxies : {1, 3, 12, 60}) {
    for (double age : {0.0, 4.0, 9.0}) {
      std::int64_t turns = 0, pulls = 0;
      for (std::int64_t proxy = 0; proxy < proxies; ++proxy) {
        auto asked = ask(10);
        asked.max_concurrent = 8;
        asked.warm_seconds = 10;
        asked.proxies = proxies;
        asked.rank = proxy;
        auto cold = ready(0, 0, 60);
        cold.age_seconds = age;
        // This proxy alone, with nothing seen of the others: the worst case.
        while (placement::place(asked, {cold}, random)) {
          ++turns;
          ++cold.in_flight;
          ++cold.sent_since_report;
        }
        std::vector<placement::engine> engines{cold, ready(1, 0)};
        while (placement::place(asked, engines, random)->source) {
          ++pulls;
          ++engines[0].our_pulls_from;
        }
      }
      INFO(proxies << " proxies, age " << age);
      REQUIRE(turns == placement::ramped(1, 8, age, 10));
      REQUIRE(pulls == placement::ramped(1, 4, age, 10));
    }
  }
}

TEST_CASE("proxies that learned of the engines in different orders hand out no more than the cap") {
  // The same engine has another index at each proxy; its cap is shared by its name.
  for (int number = 0; number < 50; ++number) {
    std::int64_t taken = 0;
    for (int rank = 0; rank < 3; ++rank) {
      auto asked = ask(std::nullopt);
      asked.proxies = 3;
      asked.rank = rank;
      asked.warm_seconds = 10;
      asked.max_concurrent = 8;
      std::mt19937_64 random(1);
      auto engine = ready(static_cast<std::uint32_t>(7 * rank + number % 5), 0);
      engine.name = "engine-" + std::to_string(number);
      engine.age_seconds = 0.5;
      for (; placement::place(asked, {engine}, random) && engine.in_flight < 9; ++taken) ++engine.in_flight;
    }
    REQUIRE(taken == 1);
  }
}

TEST_CASE("a doubted holder must hold more to be named") {
  std::mt19937_64 random(9);
  auto doubted = ready(0, 5, 40);
  doubted.belief = 0.1;
  REQUIRE_FALSE(placement::place(ask(100), {doubted, ready(1, 0)}, random)->source);
}

TEST_CASE("block hashes keep private history, weights, partners and seeds apart, and share what is shared") {
  std::mt19937_64 random(11);
  std::vector<std::int64_t> tokens(160);
  for (auto& token : tokens) token = static_cast<std::int64_t>(random() % 1000);
  prefix::identity one{"p", "m", "v1", "seed", 16, 50, "a"};
  auto base = prefix::block_hashes(one, tokens);
  REQUIRE(base.size() == 10);
  auto other = one;
  other.program = "b";
  auto across = prefix::block_hashes(other, tokens);
  // 50 shared tokens are three whole blocks; the fourth holds private ones.
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

TEST_CASE("the index ages, forgets and corrects itself as a plain list of facts would") {
  std::mt19937_64 random(13);
  prefix::index held({50, 1000});
  std::map<std::string, std::int64_t> oracle;  // one engine, by time of last use
  std::vector<std::string> chain;
  for (int position = 0; position < 30; ++position) chain.push_back("h" + std::to_string(position));
  std::int64_t now = 0;
  for (int turn = 0; turn < 3000; ++turn) {
    now += static_cast<std::int64_t>(random() % 60);
    auto part =
        std::vector<std::string>(chain.begin(), chain.begin() + static_cast<std::ptrdiff_t>(random() % 31));
    switch (random() % 8) {
      case 0:
        held.forget(0);
        oracle.clear();
        break;
      case 1: {
        auto found = part.empty() ? 0 : random() % (part.size() + 1);
        held.correct(0, part, found, part.size());
        for (auto position = found; position < part.size(); ++position) oracle.erase(part[position]);
        break;
      }
      case 2:
      case 3:
        held.note(0, part, now);
        for (auto& hash : part) oracle[hash] = now;
        break;
      default:
        break;
    }
    std::size_t expected = 0;
    while (expected < part.size() && oracle.count(part[expected]) && now - oracle[part[expected]] <= 1000)
      ++expected;
    REQUIRE(held.leading(0, part, now) == expected);
  }
  REQUIRE(held.belief(0) <= 1);
}
