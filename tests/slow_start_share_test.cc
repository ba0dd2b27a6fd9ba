// The nodes' shares of the rate of an engine in slow start: together they stay within the limit, and no node
// is without a share for long.
#include <algorithm>
#include <catch2/catch.hpp>

#include "router/attempt_plan.h"

using namespace herontally;
using runtime::microseconds;
using runtime::millisecond;
using runtime::second;

namespace {

// Requirement: at most 1.5 times the rate plus 5 requests in any second.
double allowed_in_a_second(double rate) { return rate * 1.5 + 5; }

// One engine that is always in slow start, and nodes that send it as many requests as their shares allow.
struct node_fleet {
  routing::table table;
  std::vector<router::engine_pool> pools;
  std::vector<router::node_group> groups;
  std::vector<microseconds> clock_offsets;
  std::vector<microseconds> sends;
  std::mt19937_64 random{7};
  std::set<std::string> evacuated;
  microseconds now = 1000 * second;

  node_fleet(int nodes, double rate) : pools(nodes), groups(nodes), clock_offsets(nodes) {
    routing::service service;
    service.name = "s";
    service.connections = 1000;
    service.slow_start_rate = rate;
    table.services = {service};
    routing::route route;
    route.targets = {{"s", 1}};
    table.routes = {route};
    auto list = nlohmann::json::array(
        {platform_protocol::listed_engine{"engine", "s", "10.0.0.1:80", "a", "", 64, 3600 * 1000, false}});
    for (auto& each : pools) each.set_list(list.dump(), now);
  }
  void list_nodes(int count) {
    for (int rank = 0; rank < count; ++rank) groups[rank] = {count, rank};
  }
  void send_where_allowed() {
    for (std::size_t node = 0; node < pools.size(); ++node) {
      auto wall = now + clock_offsets[node];
      router::planning_context context{table, evacuated, "a", 64, groups[node], now, wall};
      platform_protocol::request_metadata metadata;
      router::planning_request request{table.routes[0], table.services[0], metadata, {}, 1};
      auto planned = router::make_plan(request, pools[node], context, random);
      if (!std::holds_alternative<router::plan>(planned)) continue;
      pools[node].request_sent(0, 0, now);
      pools[node].request_ended(0);
      sends.push_back(now);
    }
  }
  void run(microseconds length) {
    auto until = now + length;
    for (; now < until; now += 20 * millisecond) send_where_allowed();
  }
  std::size_t max_in_a_second() const {
    std::size_t worst = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < sends.size(); ++last) {
      while (sends[last] - sends[first] >= second) ++first;
      worst = std::max(worst, last - first + 1);
    }
    return worst;
  }
  double mean_per_second() const {
    return static_cast<double>(sends.size()) * second / static_cast<double>(sends.back() - sends.front());
  }
};

}  // namespace

TEST_CASE("64 nodes stay within the slow-start rate in every second, and use most of it") {
  for (double rate : {1.0, 2.0, 5.0, 21.0, 63.0, 64.0, 100.0}) {
    INFO("rate " << rate);
    node_fleet nodes(64, rate);
    nodes.list_nodes(64);
    nodes.run(20 * second);
    CHECK(static_cast<double>(nodes.max_in_a_second()) <= rate + 1);
    CHECK(nodes.mean_per_second() >= rate * 0.6);
  }
}

TEST_CASE("six nodes share a rate that is greater than their number") {
  node_fleet nodes(6, 22);
  nodes.list_nodes(6);
  nodes.run(10 * second);
  CHECK(nodes.max_in_a_second() <= 22);
  CHECK(nodes.mean_per_second() >= 20);
}

TEST_CASE("nodes that have just started send nothing to an engine in slow start before they are listed") {
  node_fleet nodes(64, 21);
  nodes.list_nodes(40);
  nodes.run(3 * second);
  CHECK(nodes.max_in_a_second() <= 22);
  // The change of the list reaches one node after another; until it ends the smaller of both shares applies.
  for (int rank = 0; rank < 64; ++rank) {
    nodes.groups[rank] = {64, rank, 40, rank < 40 ? rank : -1};
    nodes.run(40 * millisecond);
  }
  for (int rank = 0; rank < 64; ++rank) {
    nodes.groups[rank] = {64, rank};
    nodes.run(40 * millisecond);
  }
  nodes.run(3 * second);
  CHECK(nodes.max_in_a_second() <= 22);
}

TEST_CASE("the limit holds while a quarter of the nodes have an older list") {
  node_fleet nodes(64, 21);
  nodes.list_nodes(64);
  for (int rank = 0; rank < 16; ++rank) nodes.groups[rank] = {48, rank};
  nodes.run(20 * second);
  CHECK(static_cast<double>(nodes.max_in_a_second()) <= allowed_in_a_second(21));
}

TEST_CASE("the limit holds while clocks differ by seconds") {
  node_fleet nodes(64, 21);
  nodes.list_nodes(64);
  for (int node = 0; node < 64; node += 3) nodes.clock_offsets[node] = 2 * second;
  for (int node = 1; node < 64; node += 7) nodes.clock_offsets[node] = -2 * second;
  nodes.run(30 * second);
  CHECK(static_cast<double>(nodes.max_in_a_second()) <= allowed_in_a_second(21));
}

TEST_CASE("each node has a share of each engine in slow start within one rotation") {
  for (int rank = 0; rank < 64; ++rank) {
    bool had_a_share = false;
    // A rotation takes 64 nodes x 4 / 21 per second = 12.2 s.
    for (microseconds wall = 0; wall < 13 * second; wall += 100 * millisecond)
      had_a_share = had_a_share || router::slow_start_share(21, {64, rank}, "engine", wall) > 0;
    CHECK(had_a_share);
  }
}

TEST_CASE("with all engines in slow start every node can use at least three of sixty at any time") {
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
