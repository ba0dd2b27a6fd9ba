// Which engine holds which prefix: guessed from our own traffic, aged, and corrected when engines say
// otherwise.
#pragma once
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "interning/symbol_table.h"

namespace herontally::prefix {

// Everything that two engines must agree on for their blocks to be the same.
struct identity {
  std::string partner, model, weights, hash_seed;
  std::int64_t block_tokens = 16;
  // Tokens from this one on are private to the program: blocks that hold any of them carry its name.
  std::size_t shared_tokens = 0;
  std::string program;
};

// Chained hashes of the whole blocks, in hexadecimal.
std::vector<std::string> block_hashes(const identity& who, const std::vector<std::int64_t>& tokens);

// The stand-in for a model's own tokenizer: what the engines and the proxies must share.
std::vector<std::int64_t> tokenize(const std::string& text);

class index {
 public:
  struct limits {
    std::size_t blocks_per_engine = 20000;
    std::int64_t longest_age = 600ll * 1000000;  // microseconds without a sign of use
  };
  index();
  explicit index(limits bounds);
  ~index();
  // These blocks were sent to or produced by this engine at this moment.
  void note(interning::symbol engine, const std::vector<std::string>& hashes, std::int64_t now);
  // How many leading blocks the engine is believed to hold.
  std::size_t leading(interning::symbol engine, const std::vector<std::string>& hashes,
                      std::int64_t now) const;
  // An engine restarted, changed weights, drains or left: nothing is believed of it any more.
  void forget(interning::symbol engine);
  // It was said to hold `foretold` blocks and had `found`: beyond those it is believed no more, and
  // what is believed of it counts for less until it proves right again.
  void correct(interning::symbol engine, const std::vector<std::string>& hashes, std::size_t found,
               std::size_t predicted);
  double belief(interning::symbol engine) const;
  std::size_t size(interning::symbol engine) const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace herontally::prefix
