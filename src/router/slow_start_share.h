// How many requests a second this node may send to a cold engine, so that all nodes together stay within the
// engine's rate.
#pragma once
#include <string>

#include "runtime/backend.h"

namespace herontally::router {

using runtime::microseconds;

// This node's rank in the agreed list of edge nodes. While the list changes, the one before still counts.
struct node_group {
  std::int64_t nodes = 0, rank = -1;  // rank -1: this node isn't listed yet
  std::int64_t nodes_before = 0, rank_before = -1;
};

// Requests that may be sent within any one second. `wall` is the time of day, which nodes share closely: with
// fewer requests a second than nodes the right to send rotates among them. Summed over a group the shares of
// any one second are at most one above the rate; a node that isn't listed has none.
std::int64_t slow_start_share(double rate, const node_group& group, const std::string& engine_id,
                              microseconds wall);

}  // namespace herontally::router
