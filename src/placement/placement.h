// Where a turn or call goes and who lends it cache: a function of what is known, without any I/O.
#pragma once
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "configuration/snapshot.h"
#include "interning/symbol_table.h"

namespace herontally::placement {

// One engine, as this proxy knows it.
struct engine {
  interning::symbol number = 0;
  std::string name, zone, address, weights;
  bool live = false;                   // it answers us
  bool draining = false;               // the platform or the engine itself said so
  bool evacuated = false;              // its zone is
  std::int64_t reported = 0;           // waiting and running, by its own last report
  std::int64_t queue = 0;              // waiting alone
  std::int64_t sent_since_report = 0;  // ours, sent on since that report
  std::int64_t in_flight = 0;          // ours in all
  std::int64_t our_pulls_from = 0,
               our_pulls_into = 0;  // pulls under way that we named it for, as lender and as borrower
  double age_seconds = 1e9;         // since this life of it was first seen ready
  std::size_t cached_blocks = 0;    // believed leading blocks of the prompt at hand
  double belief = 1;
  double tie_break_score = 0;  // decides between engines alike in load and in what they keep: the larger
};

struct placement_request {
  std::string weights;  // the model's version; empty for calls
  std::int64_t block_tokens = 16;
  std::size_t prompt_tokens = 0;
  std::optional<std::int64_t> min_cached_token_delta;
  std::int64_t near_tie_tokens = 0;
  std::int64_t max_concurrent = 8, slow_start_concurrent = 1;
  std::int64_t max_pulls_per_source = 4, max_pulls_per_destination = 4;
  double warm_seconds = 20;
  // Proxies that share each engine's caps, and this one's place among them; a proxy that isn't listed (rank
  // -1) has no share. While the list changes the one before counts as well, and the smaller share holds.
  std::int64_t proxies = 1, rank = 0, proxies_before = 0, rank_before = 0;
  configuration::table table;
  std::vector<interning::symbol> avoid;  // engines that earlier attempts of this request failed on
};

struct choice {
  std::size_t destination = 0;        // position in the list of engines
  std::optional<std::size_t> source;  // lender
  std::size_t source_blocks = 0;      // what the lender is believed to hold
};

// This proxy's share of a cap that holds for all proxies together.
std::int64_t share_of(std::int64_t cap, const placement_request& asked, const std::string& engine);
// What a cold engine may have at once, over all proxies.
std::int64_t ramped(std::int64_t cold, std::int64_t full, double age_seconds, double warm_seconds);
// Whether any engine could take it once it has room.
bool could_serve(const placement_request& asked, const std::vector<engine>& engines);
// Nothing means that no engine is free to take it now.
std::optional<choice> place(const placement_request& asked, const std::vector<engine>& engines,
                            std::mt19937_64& random);

}  // namespace herontally::placement
