// Chooses the engine that runs a request (a turn of a conversation or a call) and, optionally, another engine
// from which it pulls cached blocks of the prompt. Placement is a function of the state passed in: it does no
// I/O, keeps no state and reserves nothing; callers count requests and pulls in flight.
#pragma once
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "configuration/snapshot.h"
#include "interning/symbol_table.h"

namespace herontally::placement {

// The state of one engine as this proxy knows it.
struct engine {
  interning::symbol number = 0;
  std::string name, zone, address, weights;
  bool live = false;                   // listed and able to take requests
  bool draining = false;               // announced by the platform or by the engine
  bool evacuated = false;              // its zone is being evacuated
  std::int64_t reported = 0;           // requests waiting and running, from its last report
  std::int64_t queue = 0;              // requests waiting, from its last report
  std::int64_t sent_since_report = 0;  // requests from this proxy since that report
  std::int64_t in_flight = 0;          // all unfinished requests from this proxy
  // Unfinished pulls that this proxy has assigned, with this engine as source and as destination.
  std::int64_t pulls_as_source = 0, pulls_as_destination = 0;
  double age_seconds = 1e9;        // since this incarnation was first seen ready
  std::size_t cached_blocks = 0;   // predicted number of the prompt's leading blocks in its cache
  double prediction_accuracy = 1;  // accuracy of earlier predictions, 0 to 1 (see prefix::index)
  double tie_break_score = 0;      // breaks ties in load and cached prefix; higher is better
};

// What is to be placed, with the limits that apply to it.
struct placement_request {
  std::string weights;             // version of the model's weights that engines must have; empty for any
  std::int64_t block_tokens = 16;  // tokens per cache block
  std::size_t prompt_tokens = 0;
  // A source is chosen only if its cached prefix exceeds the destination's by more than this many tokens;
  // nothing: no source is chosen.
  std::optional<std::int64_t> min_cached_token_delta;
  std::int64_t near_tie_tokens = 0;  // sources within this many tokens of the best one are drawn among
  // Limits on each engine, over all proxies. An engine starts at `slow_start_concurrent` requests and one
  // pull and reaches the full limits after `warm_seconds`.
  std::int64_t max_concurrent = 8, slow_start_concurrent = 1;
  std::int64_t max_pulls_per_source = 4, max_pulls_per_destination = 4;
  double warm_seconds = 20;
  // The number of proxies that share each engine's limits and this proxy's rank among them, from 0; a proxy
  // that isn't listed (rank -1) has no share. While the list of proxies changes, the smaller of the shares in
  // the new and the previous list applies; `previous_proxies` is 0 when there is no previous list.
  std::int64_t proxies = 1, rank = 0, previous_proxies = 0, previous_rank = 0;
  configuration::table table;
  std::vector<interning::symbol> avoid;  // engines on which earlier attempts of this request failed
};

// The result of a placement; positions are indices into the list of engines passed to `place`.
struct choice {
  std::size_t destination = 0;        // engine that runs the request
  std::optional<std::size_t> source;  // engine to pull cached blocks from
  std::size_t source_blocks = 0;      // predicted number of leading blocks in its cache
};

// This proxy's share of a limit on an engine that all proxies share. The shares of all
// proxies add up to `cap`, or to less while the list of proxies changes.
std::int64_t share_of(std::int64_t cap, const placement_request& request, const std::string& engine);
// The limit of an engine during slow start, over all proxies: rises linearly from `cold` to `full` within
// `warm_seconds`, rounded down, and is at least 1 until then.
std::int64_t slow_start_limit(std::int64_t cold, std::int64_t full, double age_seconds, double warm_seconds);
// Whether some engine is eligible for the request, regardless of its load. Where `place` finds none, this
// tells callers whether waiting can help.
bool has_eligible_engine(const placement_request& request, const std::vector<engine>& engines);
// Chooses a destination and, if worthwhile, a source. Returns nothing if no eligible engine is below its
// limit.
std::optional<choice> place(const placement_request& request, const std::vector<engine>& engines,
                            std::mt19937_64& random);

}  // namespace herontally::placement
