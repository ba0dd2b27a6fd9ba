#include "placement/placement.h"

#include <algorithm>
#include <cmath>

#include "runtime/breaks.h"

namespace herontally::placement {

namespace {

// A random number in [0, 1) with 53 bits of precision.
double uniform(std::mt19937_64& random) {
  return static_cast<double>(random() >> 11) * (1.0 / 9007199254740992.0);
}

// The zone's weight times the engine's own weight; 1 where the table has neither.
double weight_of(const configuration::table& table, const engine& candidate) {
  double weight = 1;
  auto zone = table.zone_weights.find(candidate.zone);
  if (zone != table.zone_weights.end()) weight *= zone->second;
  auto own = table.engine_weights.find(candidate.name);
  if (own != table.engine_weights.end()) weight *= own->second;
  return weight;
}

// Whether the engine may run the request or lend cached blocks for it, regardless of its load.
bool is_eligible(const placement_request& request, const engine& candidate) {
  bool draining = candidate.draining && !broken("drain"),
       evacuated = candidate.evacuated && !broken("evacuation");
  return candidate.live && !draining && !evacuated &&
         (request.weights.empty() || candidate.weights == request.weights || broken("weights"));
}

// Whether the engine is below the limit on concurrent requests that all proxies share and, while it is cold,
// below this proxy's share of that limit.
bool has_capacity(const placement_request& request, const engine& candidate) {
  if (!is_eligible(request, candidate)) return false;
  std::int64_t cap = slow_start_limit(request.slow_start_concurrent, request.max_concurrent,
                                      candidate.age_seconds, request.warm_seconds);
  bool cold = candidate.age_seconds < request.warm_seconds && !broken("cold");
  if (candidate.reported + candidate.sent_since_report >= cap) return false;
  // Proxies don't see each other's requests until the engine reports them; without shares, many of them would
  // overload a cold engine.
  return !cold || candidate.in_flight < share_of(cap, request, candidate.name);
}

// Concurrent pulls that this proxy may assign to the engine; `full` is the limit of a warm engine over all
// proxies.
std::int64_t pull_limit(std::int64_t full, const placement_request& request, const engine& candidate) {
  std::int64_t cap = slow_start_limit(1, full, candidate.age_seconds, request.warm_seconds);
  bool cold = candidate.age_seconds < request.warm_seconds && !broken("cold");
  if (cold) return share_of(cap, request, candidate.name);
  // A warm engine enforces its own limit. At least 1, since a share of 0 would exclude it where there are
  // more proxies than pulls.
  return std::max<std::int64_t>(1, cap / std::max<std::int64_t>(1, request.proxies));
}

// Tokens of the prompt that the engine is expected to have cached.
std::int64_t expected_cached_tokens(const placement_request& request, const engine& candidate) {
  // Scaled by the accuracy of earlier predictions, so that an engine whose predictions were wrong needs a
  // longer predicted prefix to be chosen.
  return static_cast<std::int64_t>(static_cast<double>(candidate.cached_blocks) *
                                   candidate.prediction_accuracy) *
         request.block_tokens;
}

// Sets the source of a cache transfer in `result` if some engine is expected to have enough more of the
// prompt cached than the destination.
void choose_source(const placement_request& request, const std::vector<engine>& engines,
                   std::mt19937_64& random, choice& result) {
  // Transfers are disabled for models without a threshold.
  if (!request.min_cached_token_delta) return;
  const engine& destination = engines[result.destination];
  // Pulls into a cold destination are limited as well.
  if (destination.pulls_as_destination >= pull_limit(request.max_pulls_per_destination, request, destination))
    return;
  std::int64_t own = expected_cached_tokens(request, destination);
  std::int64_t largest = 0;
  std::vector<std::size_t> holders;
  for (std::size_t position = 0; position < engines.size(); ++position) {
    const engine& candidate = engines[position];
    if (position == result.destination || !is_eligible(request, candidate)) continue;
    if (candidate.pulls_as_source >= pull_limit(request.max_pulls_per_source, request, candidate)) continue;
    holders.push_back(position);
    largest = std::max(largest, expected_cached_tokens(request, candidate));
  }
  // Without an advantage above the threshold, the destination computes the rest of the prompt itself.
  if (largest - own <= *request.min_cached_token_delta) return;
  // Draws among the sources close to the best one, weighted by the inverse of the queue length.
  std::vector<double> weights;
  std::vector<std::size_t> near_ties;
  double total = 0;
  for (std::size_t position : holders) {
    std::int64_t cached = expected_cached_tokens(request, engines[position]);
    if (cached < largest - request.near_tie_tokens || cached - own <= *request.min_cached_token_delta)
      continue;
    near_ties.push_back(position);
    weights.push_back(1.0 / (1.0 + static_cast<double>(std::max<std::int64_t>(0, engines[position].queue))));
    total += weights.back();
  }
  double remaining = uniform(random) * total;
  std::size_t chosen = 0;
  while (chosen + 1 < near_ties.size() && remaining >= weights[chosen]) remaining -= weights[chosen++];
  result.source = near_ties[chosen];
  result.source_blocks = engines[near_ties[chosen]].cached_blocks;
}

}  // namespace

// The share of the proxy with this rank in a cap; the shares of all ranks add up to the cap. `key`, a hash of
// the engine's name, rotates the ranks, so that the remainder goes to different proxies for different
// engines.
static std::int64_t share_of_rank(std::int64_t cap, std::int64_t proxies, std::int64_t rank,
                                  std::uint64_t key) {
  if (rank < 0) return 0;
  std::int64_t slot = (rank + static_cast<std::int64_t>(key >> 33)) % proxies;
  return cap / proxies + (slot < cap % proxies ? 1 : 0);
}

std::int64_t share_of(std::int64_t cap, const placement_request& request, const std::string& engine) {
  // FNV-1a of the name, from hashing::placement_basis. The engine's symbol can't be used, because each proxy
  // assigns symbols on its own.
  std::uint64_t key = 1469598103934665603ull;
  for (unsigned char letter : engine) key = (key ^ letter) * 1099511628211ull;
  auto now = share_of_rank(cap, request.proxies, request.rank, key);
  if (request.previous_proxies == 0) return now;
  return std::min(now, share_of_rank(cap, request.previous_proxies, request.previous_rank, key));
}

std::int64_t slow_start_limit(std::int64_t cold, std::int64_t full, double age_seconds, double warm_seconds) {
  if (broken("cold")) return full;
  if (warm_seconds <= 0 || age_seconds >= warm_seconds) return full;
  double part = std::max(0.0, age_seconds / warm_seconds);
  double cap = static_cast<double>(cold) + static_cast<double>(full - cold) * part;
  return std::max<std::int64_t>(1, static_cast<std::int64_t>(std::floor(cap)));
}

bool has_eligible_engine(const placement_request& request, const std::vector<engine>& engines) {
  for (auto& candidate : engines) {
    bool avoided =
        std::find(request.avoid.begin(), request.avoid.end(), candidate.number) != request.avoid.end();
    if (is_eligible(request, candidate) && weight_of(request.table, candidate) > 0 && !avoided) return true;
  }
  return false;
}

std::optional<choice> place(const placement_request& request, const std::vector<engine>& engines,
                            std::mt19937_64& random) {
  double best = 0;
  std::vector<std::size_t> tied;
  for (std::size_t position = 0; position < engines.size(); ++position) {
    const engine& candidate = engines[position];
    double weight = weight_of(request.table, candidate);
    if (weight <= 0 || !has_capacity(request, candidate)) continue;
    if (std::find(request.avoid.begin(), request.avoid.end(), candidate.number) != request.avoid.end())
      continue;
    // Load comes first; a cached prefix lowers the score by at most `prefix_preference`, which is 0 unless
    // the table sets it.
    double usage = static_cast<double>(candidate.reported + candidate.sent_since_report) + 1;
    double cached_fraction = request.prompt_tokens == 0
                                 ? 0
                                 : static_cast<double>(expected_cached_tokens(request, candidate)) /
                                       static_cast<double>(request.prompt_tokens);
    double score = request.table.usage_weight * usage / weight -
                   request.table.prefix_preference * std::min(1.0, cached_fraction);
    if (tied.empty() || score < best - 1e-9) {
      tied.assign(1, position);
      best = score;
    } else if (score < best + 1e-9) {
      tied.push_back(position);
    }
  }
  if (tied.empty()) return std::nullopt;
  choice result;
  // Among engines with equal scores, those with the most of the prompt cached are preferred.
  std::int64_t largest = 0;
  for (std::size_t position : tied)
    largest = std::max(largest, expected_cached_tokens(request, engines[position]));
  std::erase_if(tied, [&](std::size_t position) {
    return expected_cached_tokens(request, engines[position]) < largest;
  });
  double best_score = engines[tied.front()].tie_break_score;
  for (std::size_t position : tied) best_score = std::max(best_score, engines[position].tie_break_score);
  std::erase_if(tied, [&](std::size_t position) { return engines[position].tie_break_score < best_score; });
  // The remaining ties are broken at random, so that proxies with the same view don't all choose one engine.
  result.destination = tied[random() % tied.size()];
  choose_source(request, engines, random, result);
  return result;
}

}  // namespace herontally::placement
