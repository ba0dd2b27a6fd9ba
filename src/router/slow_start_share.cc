#include "router/slow_start_share.h"

#include <algorithm>
#include <numeric>

namespace herontally::router {

namespace {

using runtime::second;

// Of the rate, three quarters are held by nodes whose turn it is; the last quarter is what a second of
// rotation lets in besides.
constexpr std::int64_t rotating_parts = 4;
constexpr double golden_ratio = 0.618;

// FNV-1a over the engine's id, so that nodes are spread over the engines and each engine over the nodes.
std::uint64_t hash_of(const std::string& text) {
  std::uint64_t hash = 1469598103934665603ull;
  for (unsigned char letter : text) hash = (hash ^ letter) * 1099511628211ull;
  return hash >> 33;
}

// Ranks follow names, so that neighbours stand in one zone and are cut off together. Each gets a position far
// from its neighbours'.
std::uint64_t spread_rank(std::uint64_t rank, std::uint64_t count) {
  auto stride = static_cast<std::uint64_t>(static_cast<double>(count) * golden_ratio);
  while (std::gcd(stride, count) != 1) ++stride;
  return rank * stride % count;
}

std::int64_t share_in(std::int64_t rate, std::int64_t nodes, std::int64_t rank, std::uint64_t offset,
                      microseconds wall) {
  if (nodes <= 0 || rank < 0) return 0;
  auto count = static_cast<std::uint64_t>(nodes);
  auto position = spread_rank(static_cast<std::uint64_t>(rank), count) + offset;
  if (rate >= nodes) {
    bool has_remainder = static_cast<std::int64_t>(position % count) < rate % nodes;
    return rate / nodes + (has_remainder ? 1 : 0);
  }
  auto step = rotating_parts * second / rate;
  position += static_cast<std::uint64_t>(wall / step);
  auto holders = rate - rate / rotating_parts;
  return static_cast<std::int64_t>(position % count) < holders ? 1 : 0;
}

}  // namespace

std::int64_t slow_start_share(double rate, const node_group& group, const std::string& engine_id,
                              microseconds wall) {
  auto whole = std::max<std::int64_t>(1, static_cast<std::int64_t>(rate));
  auto offset = hash_of(engine_id);
  auto share = share_in(whole, group.nodes, group.rank, offset, wall);
  if (group.nodes_before == 0) return share;
  return std::min(share, share_in(whole, group.nodes_before, group.rank_before, offset, wall));
}

}  // namespace herontally::router
