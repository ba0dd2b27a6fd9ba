#include "router/slow_start_share.h"

#include <algorithm>
#include <numeric>

namespace herontally::router {

namespace {

using runtime::second;

// Three of four parts of the rate go to the nodes that may send at a given moment; the last part covers the
// nodes that rotation adds within one second.
constexpr std::int64_t rate_parts = 4;
constexpr double inverse_golden_ratio = 0.618;

// FNV-1a of the engine's id: different engines start the rotation at different nodes.
std::uint64_t hash_id(const std::string& text) {
  std::uint64_t hash = 1469598103934665603ull;
  for (unsigned char letter : text) hash = (hash ^ letter) * 1099511628211ull;
  return hash >> 33;
}

// Ranks are ordered by name, so that nodes of adjacent ranks are in the same zone and fail together. Maps
// each rank to a position far from those of adjacent ranks.
std::uint64_t spread_rank(std::uint64_t rank, std::uint64_t count) {
  auto stride = static_cast<std::uint64_t>(static_cast<double>(count) * inverse_golden_ratio);
  while (std::gcd(stride, count) != 1) ++stride;
  return rank * stride % count;
}

std::int64_t share_of_group(std::int64_t rate, std::int64_t nodes, std::int64_t rank, std::uint64_t offset,
                            microseconds wall) {
  if (nodes <= 0 || rank < 0) return 0;
  auto count = static_cast<std::uint64_t>(nodes);
  auto position = spread_rank(static_cast<std::uint64_t>(rank), count) + offset;
  if (rate >= nodes) {
    bool has_remainder = static_cast<std::int64_t>(position % count) < rate % nodes;
    return rate / nodes + (has_remainder ? 1 : 0);
  }
  auto step = rate_parts * second / rate;
  position += static_cast<std::uint64_t>(wall / step);
  auto holders = rate - rate / rate_parts;
  return static_cast<std::int64_t>(position % count) < holders ? 1 : 0;
}

}  // namespace

std::int64_t slow_start_share(double rate, const node_group& group, const std::string& engine_id,
                              microseconds wall) {
  auto whole = std::max<std::int64_t>(1, static_cast<std::int64_t>(rate));
  auto offset = hash_id(engine_id);
  auto share = share_of_group(whole, group.nodes, group.rank, offset, wall);
  if (group.nodes_before == 0) return share;
  return std::min(share, share_of_group(whole, group.nodes_before, group.rank_before, offset, wall));
}

}  // namespace herontally::router
