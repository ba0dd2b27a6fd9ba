#include "placement/placement.h"

#include <algorithm>
#include <cmath>

#include "runtime/breaks.h"

namespace herontally::placement {

namespace {

double uniform(std::mt19937_64& random) {
  return static_cast<double>(random() >> 11) * (1.0 / 9007199254740992.0);
}

double weight_of(const configuration::table& table, const engine& each) {
  double weight = 1;
  auto zone = table.zone_weights.find(each.zone);
  if (zone != table.zone_weights.end()) weight *= zone->second;
  auto own = table.engine_weights.find(each.name);
  if (own != table.engine_weights.end()) weight *= own->second;
  return weight;
}

bool may_serve(const placement_request& asked, const engine& each) {
  bool draining = each.draining && !broken("drain"), evacuated = each.evacuated && !broken("evacuation");
  return each.live && !draining && !evacuated &&
         (asked.weights.empty() || each.weights == asked.weights || broken("weights"));
}

// Free to take the turn: under the cap that holds over all proxies together, and under this proxy's part of
// it.
bool is_free(const placement_request& asked, const engine& each) {
  if (!may_serve(asked, each)) return false;
  std::int64_t cap =
      ramped(asked.slow_start_concurrent, asked.max_concurrent, each.age_seconds, asked.warm_seconds);
  bool cold = each.age_seconds < asked.warm_seconds && !broken("cold");
  if (each.reported + each.sent_since_report >= cap) return false;
  // A cold engine is not flooded by many proxies that can't see each other's turns yet.
  return !cold || each.in_flight < share_of(cap, asked, each.name);
}

std::int64_t pull_cap(std::int64_t full, const placement_request& asked, const engine& each) {
  std::int64_t cap = ramped(1, full, each.age_seconds, asked.warm_seconds);
  bool cold = each.age_seconds < asked.warm_seconds && !broken("cold");
  if (cold) return share_of(cap, asked, each.name);
  // A warm engine refuses above its own cap: many proxies need not be kept from it by a share of nothing.
  return std::max<std::int64_t>(1, cap / std::max<std::int64_t>(1, asked.proxies));
}

std::int64_t tokens(const placement_request& asked, const engine& each) {
  // Belief scales what is held: an engine that was wrong must promise more to be named.
  return static_cast<std::int64_t>(static_cast<double>(each.cached_blocks) * each.belief) *
         asked.block_tokens;
}

void name_source(const placement_request& asked, const std::vector<engine>& engines, std::mt19937_64& random,
                 choice& made) {
  // Off unless the model has a threshold.
  if (!asked.min_cached_token_delta) return;
  const engine& destination = engines[made.destination];
  // A cold borrower isn't flooded by pulls either.
  if (destination.our_pulls_into >= pull_cap(asked.max_pulls_per_destination, asked, destination)) return;
  std::int64_t own = tokens(asked, destination);
  std::int64_t most = 0;
  std::vector<std::size_t> holders;
  for (std::size_t position = 0; position < engines.size(); ++position) {
    const engine& each = engines[position];
    if (position == made.destination || !may_serve(asked, each)) continue;
    if (each.our_pulls_from >= pull_cap(asked.max_pulls_per_source, asked, each)) continue;
    holders.push_back(position);
    most = std::max(most, tokens(asked, each));
  }
  // A tie, or a lead that the threshold swallows, stays local.
  if (most - own <= *asked.min_cached_token_delta) return;
  std::vector<double> weights;
  std::vector<std::size_t> near;
  double total = 0;
  for (std::size_t position : holders) {
    std::int64_t lead = tokens(asked, engines[position]);
    if (lead < most - asked.near_tie_tokens || lead - own <= *asked.min_cached_token_delta) continue;
    near.push_back(position);
    weights.push_back(1.0 / (1.0 + static_cast<double>(std::max<std::int64_t>(0, engines[position].queue))));
    total += weights.back();
  }
  double drawn = uniform(random) * total;
  std::size_t chosen = 0;
  while (chosen + 1 < near.size() && drawn >= weights[chosen]) drawn -= weights[chosen++];
  made.source = near[chosen];
  made.source_blocks = engines[near[chosen]].cached_blocks;
}

}  // namespace

static std::int64_t part_of(std::int64_t cap, std::int64_t proxies, std::int64_t rank, std::uint64_t key) {
  if (rank < 0) return 0;
  // What doesn't divide goes to some proxies alone, others for each engine; the sum over all is the cap.
  std::int64_t turn = (rank + static_cast<std::int64_t>(key >> 33)) % proxies;
  return cap / proxies + (turn < cap % proxies ? 1 : 0);
}

std::int64_t share_of(std::int64_t cap, const placement_request& asked, const std::string& engine) {
  // By the engine's name: its index is this proxy's own and differs from proxy to proxy.
  std::uint64_t key = 1469598103934665603ull;
  for (unsigned char letter : engine) key = (key ^ letter) * 1099511628211ull;
  auto now = part_of(cap, asked.proxies, asked.rank, key);
  if (asked.proxies_before == 0) return now;
  return std::min(now, part_of(cap, asked.proxies_before, asked.rank_before, key));
}

std::int64_t ramped(std::int64_t cold, std::int64_t full, double age_seconds, double warm_seconds) {
  if (broken("cold")) return full;
  if (warm_seconds <= 0 || age_seconds >= warm_seconds) return full;
  double part = std::max(0.0, age_seconds / warm_seconds);
  double cap = static_cast<double>(cold) + static_cast<double>(full - cold) * part;
  return std::max<std::int64_t>(1, static_cast<std::int64_t>(std::floor(cap)));
}

bool could_serve(const placement_request& asked, const std::vector<engine>& engines) {
  for (auto& each : engines) {
    bool avoided = std::find(asked.avoid.begin(), asked.avoid.end(), each.number) != asked.avoid.end();
    if (may_serve(asked, each) && weight_of(asked.table, each) > 0 && !avoided) return true;
  }
  return false;
}

std::optional<choice> place(const placement_request& asked, const std::vector<engine>& engines,
                            std::mt19937_64& random) {
  double best = 0;
  std::vector<std::size_t> equals;
  for (std::size_t position = 0; position < engines.size(); ++position) {
    const engine& each = engines[position];
    double weight = weight_of(asked.table, each);
    if (weight <= 0 || !is_free(asked, each)) continue;
    if (std::find(asked.avoid.begin(), asked.avoid.end(), each.number) != asked.avoid.end()) continue;
    // Load decides first; a held prefix is at most a bounded discount on it, none unless the table says so.
    double usage = static_cast<double>(each.reported + each.sent_since_report) + 1;
    double held = asked.prompt_tokens == 0
                      ? 0
                      : static_cast<double>(tokens(asked, each)) / static_cast<double>(asked.prompt_tokens);
    double score =
        asked.table.usage_weight * usage / weight - asked.table.prefix_preference * std::min(1.0, held);
    if (equals.empty() || score < best - 1e-9) {
      equals.assign(1, position);
      best = score;
    } else if (score < best + 1e-9) {
      equals.push_back(position);
    }
  }
  if (equals.empty()) return std::nullopt;
  choice made;
  // Local hits first: among equals in load, those that hold most of the prompt.
  std::int64_t most = 0;
  for (std::size_t position : equals) most = std::max(most, tokens(asked, engines[position]));
  std::erase_if(equals, [&](std::size_t position) { return tokens(asked, engines[position]) < most; });
  double nearest = engines[equals.front()].tie_break_score;
  for (std::size_t position : equals) nearest = std::max(nearest, engines[position].tie_break_score);
  std::erase_if(equals, [&](std::size_t position) { return engines[position].tie_break_score < nearest; });
  // Equals are drawn, so that many proxies with the same view don't all choose the same engine.
  made.destination = equals[random() % equals.size()];
  name_source(asked, engines, random, made);
  return made;
}

}  // namespace herontally::placement
