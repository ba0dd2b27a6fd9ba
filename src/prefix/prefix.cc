#include "prefix/prefix.h"

#include <openssl/evp.h>

#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index/sequenced_index.hpp>
#include <boost/multi_index_container.hpp>
#include <cctype>

#include "runtime/breaks.h"

namespace herontally::prefix {

namespace {
std::string hash_hex(const std::string& text) {
  unsigned char raw[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  EVP_Digest(text.data(), text.size(), raw, &size, EVP_sha256(), nullptr);
  static const char digits[] = "0123456789abcdef";
  std::string out;
  // 128 bits, so that blocks of two programs don't collide by chance.
  for (int position = 0; position < 16; ++position) {
    out += digits[raw[position] >> 4];
    out += digits[raw[position] & 15];
  }
  return out;
}
// Each part is prefixed with its length, so that different lists of parts never give the same text.
std::string join_length_prefixed(std::initializer_list<std::string> parts) {
  std::string out;
  for (auto& part : parts) out += std::to_string(part.size()) + ":" + part;
  return out;
}
}  // namespace

std::vector<std::string> block_hashes(const identity& identity, const std::vector<std::int64_t>& tokens) {
  std::vector<std::string> hashes;
  std::string chain = hash_hex(
      join_length_prefixed({identity.hash_seed, std::to_string(identity.block_tokens), identity.partner,
                            identity.model, broken("weights") ? "" : identity.weights}));
  auto block = static_cast<std::size_t>(identity.block_tokens < 1 ? 1 : identity.block_tokens);
  for (std::size_t begin = 0; begin + block <= tokens.size(); begin += block) {
    std::string content = chain;
    for (std::size_t position = begin; position < begin + block; ++position)
      content += "," + std::to_string(tokens[position]);
    // A block with any private token is hashed with the program, and the chain carries that to all later
    // blocks.
    if (begin + block > identity.shared_tokens && !broken("salt"))
      content += join_length_prefixed({"private", identity.program});
    chain = hash_hex(content);
    hashes.push_back(chain);
  }
  return hashes;
}

std::vector<std::int64_t> tokenize(const std::string& text) {
  std::vector<std::int64_t> tokens;
  std::size_t position = 0;
  while (position < text.size()) {
    // A token has up to four bytes, which are either all alphanumeric or all not.
    std::size_t end = position + 1;
    bool word = std::isalnum(static_cast<unsigned char>(text[position])) != 0;
    while (end < text.size() && end - position < 4 &&
           (std::isalnum(static_cast<unsigned char>(text[end])) != 0) == word)
      ++end;
    std::uint32_t hash = 2166136261u;
    for (; position < end; ++position) hash = (hash ^ static_cast<unsigned char>(text[position])) * 16777619u;
    tokens.push_back(static_cast<std::int64_t>(hash & 0x7fffffff));
  }
  return tokens;
}

namespace multi_index = boost::multi_index;
struct cached_block {
  std::string hash;
  std::int64_t last_used = 0;
};
// Looked up by hash, expired in order of last use.
using block_lru = multi_index::multi_index_container<
    cached_block,
    multi_index::indexed_by<
        multi_index::hashed_unique<multi_index::member<cached_block, std::string, &cached_block::hash>>,
        multi_index::sequenced<>>>;

struct engine_blocks {
  block_lru blocks;
  double prediction_accuracy = 1;  // moving average of the accuracy of predictions
};

struct index::state {
  limits bounds;
  std::vector<engine_blocks> engines;
  engine_blocks& of(interning::symbol engine) {
    if (engines.size() <= engine) engines.resize(engine + 1);
    return engines[engine];
  }
};

index::index() : index(limits{}) {}
index::index(limits bounds) : state_(std::make_unique<state>()) { state_->bounds = bounds; }
index::~index() = default;

void index::record_use(interning::symbol engine, const std::vector<std::string>& hashes, std::int64_t now) {
  auto& blocks = state_->of(engine).blocks;
  auto& order = blocks.get<1>();
  for (auto& hash : hashes) {
    auto found = blocks.find(hash);
    if (found != blocks.end()) {
      blocks.modify(found, [now](cached_block& block) { block.last_used = now; });
      order.relocate(order.end(), blocks.project<1>(found));
    } else {
      blocks.insert({hash, now});
    }
  }
  while (blocks.size() > state_->bounds.blocks_per_engine) order.pop_front();
  while (!order.empty() && now - order.front().last_used > state_->bounds.longest_age) order.pop_front();
}

std::size_t index::cached_prefix_length(interning::symbol engine, const std::vector<std::string>& hashes,
                                        std::int64_t now) const {
  if (engine >= state_->engines.size()) return 0;
  auto& blocks = state_->engines[engine].blocks;
  std::size_t count = 0;
  for (auto& hash : hashes) {
    auto found = blocks.find(hash);
    if (found == blocks.end() || now - found->last_used > state_->bounds.longest_age) break;
    ++count;
  }
  return count;
}

void index::forget(interning::symbol engine) { state_->of(engine) = engine_blocks{}; }

void index::report_outcome(interning::symbol engine, const std::vector<std::string>& hashes,
                           std::size_t found, std::size_t predicted) {
  auto& entry = state_->of(engine);
  for (std::size_t position = found; position < hashes.size(); ++position)
    entry.blocks.erase(hashes[position]);
  if (predicted == 0) return;
  double right = static_cast<double>(found < predicted ? found : predicted) / static_cast<double>(predicted);
  entry.prediction_accuracy = 0.7 * entry.prediction_accuracy + 0.3 * right;
}

double index::prediction_accuracy(interning::symbol engine) const {
  return engine < state_->engines.size() ? state_->engines[engine].prediction_accuracy : 1;
}
std::size_t index::size(interning::symbol engine) const {
  return engine < state_->engines.size() ? state_->engines[engine].blocks.size() : 0;
}

}  // namespace herontally::prefix
