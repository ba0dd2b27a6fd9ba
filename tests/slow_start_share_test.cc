// The shares that nodes take of a cold engine's rate: never too much between them, and never nothing for
// long.
#include <algorithm>
#include <catch2/catch.hpp>

#include "router/attempt_plan.h"

using namespace herontally;
using runtime::microseconds;
using runtime::millisecond;
using runtime::second;

namespace {

// What the users' rule allows in a second: the rate times 1.5, and 5 more.
double most_in_a_second(double rate) { return rate * 1.5 + 5; }

// One engine, cold throughout, and nodes that send it all that they may.
struct fleet {
  routing::table table;
  std::vector<router::engine_pool> pools;
  std::vector<router::node_group> groups;
  std::vector<microseconds> clock_errors;
  std::vector<microseconds> sends;
  std::mt19937_64 random{7};
  std::set<std::string> evacuated;
  microseconds now = 1000 * second;

  fleet(int nodes, double rate) : pools(nodes), groups(nodes), clock_errors(nodes) {
    routing::service service;
    service.name = "s";
    service.connections = 1000;
    service.cold_rate = rate;
    table.services = {service};
    routing::route route;
    route.targets = {{"s", 1}};
    table.routes = {route};
    auto list = nlohmann::json::array(
        {platform_protocol::listed_engine{"engine", "s", "10.0.0.1:80", "a", "", 64, 3600 * 1000, false}});
    for (auto& each : pools) each.set_list(list.dump(), now);
  }
  void listed(int count) {
    for (int rank = 0; rank < count; ++rank) groups[rank] = {count, rank};
  }
  void send_all_that_may() {
    for (std::size_t node = 0; node < pools.size(); ++node) {
      auto wall = now + clock_errors[node];
      router::planning_context context{table, evacuated, "a", 64, groups[node], now, wall};
      platform_protocol::request_metadata metadata;
      router::subject asked{table.routes[0], table.services[0], metadata, {}, 1};
      auto made = router::make_plan(asked, pools[node], context, random);
      if (!std::holds_alternative<router::plan>(made)) continue;
      pools[node].sent(0, 0, now);
      pools[node].ended(0);
      sends.push_back(now);
    }
  }
  void run(microseconds length) {
    auto until = now + length;
    for (; now < until; now += 20 * millisecond) send_all_that_may();
  }
  std::size_t most() const {
    std::size_t worst = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < sends.size(); ++last) {
      while (sends[last] - sends[first] >= second) ++first;
      worst = std::max(worst, last - first + 1);
    }
    return worst;
  }
  double each_second() const {
    return static_cast<double>(sends.size()) * second / static_cast<double>(sends.back() - sends.front());
  }
};

}  // namespace

TEST_CASE("64 nodes stay within a cold engine's rate in every second, and use most of it") {
  for (double rate : {1.0, 2.0, 5.0, 21.0, 63.0, 64.0, 100.0}) {
    INFO("rate " << rate);
    fleet here(64, rate);
    here.listed(64);
    here.run(20 * second);
    CHECK(static_cast<double>(here.most()) <= rate + 1);
    CHECK(here.each_second() >= rate * 0.6);
  }
}

TEST_CASE("six nodes share a rate that is greater than their number") {
  fleet here(6, 22);
  here.listed(6);
  here.run(10 * second);
  CHECK(here.most() <= 22);
  CHECK(here.each_second() >= 20);
}

TEST_CASE("nodes that have just started send a cold engine nothing before they are listed") {
  fleet here(64, 21);
  here.listed(40);
  here.run(3 * second);
  CHECK(here.most() <= 22);
  // The joint step reaches one node after the other; until its end the smaller share of both lists holds.
  for (int rank = 0; rank < 64; ++rank) {
    here.groups[rank] = {64, rank, 40, rank < 40 ? rank : -1};
    here.run(40 * millisecond);
  }
  for (int rank = 0; rank < 64; ++rank) {
    here.groups[rank] = {64, rank};
    here.run(40 * millisecond);
  }
  here.run(3 * second);
  CHECK(here.most() <= 22);
}

TEST_CASE("a third of the nodes may hold an older list without breaking the bound") {
  fleet here(64, 21);
  here.listed(64);
  for (int rank = 0; rank < 16; ++rank) here.groups[rank] = {48, rank};
  here.run(20 * second);
  CHECK(static_cast<double>(here.most()) <= most_in_a_second(21));
}

TEST_CASE("clocks that disagree by seconds don't break the bound") {
  fleet here(64, 21);
  here.listed(64);
  for (int node = 0; node < 64; node += 3) here.clock_errors[node] = 2 * second;
  for (int node = 1; node < 64; node += 7) here.clock_errors[node] = -2 * second;
  here.run(30 * second);
  CHECK(static_cast<double>(here.most()) <= most_in_a_second(21));
}

TEST_CASE("each node gets its turn at each cold engine within the time of one rotation") {
  for (int rank = 0; rank < 64; ++rank) {
    bool had_a_turn = false;
    // A rotation takes 64 nodes x 4 / 21 a second.
    for (microseconds wall = 0; wall < 13 * second; wall += 100 * millisecond)
      had_a_turn = had_a_turn || router::slow_start_share(21, {64, rank}, "engine", wall) > 0;
    CHECK(had_a_turn);
  }
}

TEST_CASE("with all engines cold no node is without one that it may use") {
  for (int rank = 0; rank < 64; ++rank) {
    std::int64_t fewest = 1000;
    for (microseconds wall = 0; wall < 13 * second; wall += 100 * millisecond) {
      std::int64_t usable = 0;
      for (int engine = 0; engine < 60; ++engine)
        usable += router::slow_start_share(21, {64, rank}, "i-" + std::to_string(engine * 7919), wall);
      fewest = std::min(fewest, usable);
    }
    CHECK(fewest >= 3);
  }
}
