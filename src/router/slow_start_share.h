// This node's share of the rate limit of an engine in slow start, chosen so that all nodes together stay
// within the limit. A pure function: counting the requests is up to the caller (engine_pool).
#pragma once
#include <string>

#include "runtime/backend.h"

namespace herontally::router {

using runtime::microseconds;

// This node's rank in the agreed list of edge nodes. While the list changes, the previous list counts as
// well; `nodes_before` is 0 otherwise.
struct node_group {
  std::int64_t nodes = 0, rank = -1;  // rank -1: this node is not in the list
  std::int64_t nodes_before = 0, rank_before = -1;
};

// The number of requests that this node may send to the engine within any one second. `rate`: the limit for
// all nodes, in requests per second. `wall`: wall clock in microseconds since 1970, on which nodes agree
// closely: if the rate is lower than the number of nodes, the right to send rotates among them. Within any
// one second the nodes' shares add up to at most one more than the rate. A node that is not in the list has
// no share.
std::int64_t slow_start_share(double rate, const node_group& group, const std::string& engine_id,
                              microseconds wall);

}  // namespace herontally::router
