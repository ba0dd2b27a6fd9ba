// Block hashes of prompts, and an index that predicts which leading blocks of a prompt each engine has
// cached. The index learns from this process's own requests, expires entries by age and count, and is
// corrected by what engines report; it doesn't ask the engines and may be wrong.
#pragma once
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "interning/symbol_table.h"

namespace herontally::prefix {

// What must be equal for two cached blocks with the same tokens to be interchangeable.
struct identity {
  std::string partner, model, weights, hash_seed;
  std::int64_t block_tokens = 16;  // tokens per block; values below 1 count as 1
  // Tokens from this position on are private to the program: the hash of a block that has any of them
  // includes the program's name.
  std::size_t shared_tokens = 0;
  std::string program;
};

// The hash of each complete block, in hexadecimal; a hash covers all earlier blocks too. Tokens after the
// last complete block are ignored.
std::vector<std::string> block_hashes(const identity& identity, const std::vector<std::int64_t>& tokens);

// Splits a text into token ids. It stands in for a model's own tokenizer; engines and proxies must use the
// same one.
std::vector<std::int64_t> tokenize(const std::string& text);

// Predicts the cached blocks of each engine. Times are microseconds of one monotonic clock and must not go
// back.
class index {
 public:
  struct limits {
    std::size_t blocks_per_engine = 20000;       // the least recently used ones are dropped
    std::int64_t longest_age = 600ll * 1000000;  // microseconds since the last known use
  };
  index();
  explicit index(limits bounds);
  ~index();
  // Records that the engine received or produced these blocks at time `now`.
  void record_use(interning::symbol engine, const std::vector<std::string>& hashes, std::int64_t now);
  // The number of leading blocks that the engine is predicted to have cached.
  std::size_t cached_prefix_length(interning::symbol engine, const std::vector<std::string>& hashes,
                                   std::int64_t now) const;
  // Drops all entries of an engine and resets its accuracy, for an engine that restarted, changed weights,
  // drains or left.
  void forget(interning::symbol engine);
  // The engine was predicted to have `predicted` blocks cached and had `found`: drops the entries of `hashes`
  // after the first `found` and updates the engine's accuracy, unless `predicted` is 0.
  void report_outcome(interning::symbol engine, const std::vector<std::string>& hashes, std::size_t found,
                      std::size_t predicted);
  // The moving average of the share of predicted blocks that the engine had, 0 to 1; 1 for an unknown engine.
  double prediction_accuracy(interning::symbol engine) const;
  // The number of entries of this engine, including expired ones that are not yet removed.
  std::size_t size(interning::symbol engine) const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace herontally::prefix
