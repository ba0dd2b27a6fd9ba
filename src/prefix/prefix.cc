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
std::string hash_text(const std::string& text) {
  unsigned char raw[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  EVP_Digest(text.data(), text.size(), raw, &size, EVP_sha256(), nullptr);
  static const char digits[] = "0123456789abcdef";
  std::string out;
  // 128 bits: two programs' blocks must not meet by chance.
  for (int position = 0; position < 16; ++position) {
    out += digits[raw[position] >> 4];
    out += digits[raw[position] & 15];
  }
  return out;
}
// Lengths stand before the parts, so that no two lists of parts join to the same text.
std::string join(std::initializer_list<std::string> parts) {
  std::string out;
  for (auto& part : parts) out += std::to_string(part.size()) + ":" + part;
  return out;
}
}  // namespace

std::vector<std::string> block_hashes(const identity& who, const std::vector<std::int64_t>& tokens) {
  std::vector<std::string> hashes;
  std::string chain = hash_text(join({who.hash_seed, std::to_string(who.block_tokens), who.partner, who.model,
                                      broken("weights") ? "" : who.weights}));
  auto block = static_cast<std::size_t>(who.block_tokens < 1 ? 1 : who.block_tokens);
  for (std::size_t begin = 0; begin + block <= tokens.size(); begin += block) {
    std::string content = chain;
    for (std::size_t position = begin; position < begin + block; ++position)
      content += "," + std::to_string(tokens[position]);
    // A block with even one private token belongs to the program alone, and so does all that follows it.
    if (begin + block > who.shared_tokens && !broken("salt")) content += join({"private", who.program});
    chain = hash_text(content);
    hashes.push_back(chain);
  }
  return hashes;
}

std::vector<std::int64_t> tokenize(const std::string& text) {
  std::vector<std::int64_t> tokens;
  std::size_t position = 0;
  while (position < text.size()) {
    // A token is up to four bytes and never crosses from a word into the space behind it.
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

namespace boxes = boost::multi_index;
struct held {
  std::string hash;
  std::int64_t used = 0;
};
// By hash for look-up, by order of use for aging.
using shelf = boxes::multi_index_container<
    held, boxes::indexed_by<boxes::hashed_unique<boxes::member<held, std::string, &held::hash>>,
                            boxes::sequenced<>>>;

struct engine_shelf {
  shelf blocks;
  double belief = 1;
};

struct index::state {
  limits bounds;
  std::vector<engine_shelf> engines;
  engine_shelf& of(interning::symbol engine) {
    if (engines.size() <= engine) engines.resize(engine + 1);
    return engines[engine];
  }
};

index::index() : index(limits{}) {}
index::index(limits bounds) : state_(std::make_unique<state>()) { state_->bounds = bounds; }
index::~index() = default;

void index::note(interning::symbol engine, const std::vector<std::string>& hashes, std::int64_t now) {
  auto& blocks = state_->of(engine).blocks;
  auto& order = blocks.get<1>();
  for (auto& hash : hashes) {
    auto found = blocks.find(hash);
    if (found != blocks.end()) {
      blocks.modify(found, [now](held& entry) { entry.used = now; });
      order.relocate(order.end(), blocks.project<1>(found));
    } else {
      blocks.insert({hash, now});
    }
  }
  while (blocks.size() > state_->bounds.blocks_per_engine) order.pop_front();
  while (!order.empty() && now - order.front().used > state_->bounds.longest_age) order.pop_front();
}

std::size_t index::leading(interning::symbol engine, const std::vector<std::string>& hashes,
                           std::int64_t now) const {
  if (engine >= state_->engines.size()) return 0;
  auto& blocks = state_->engines[engine].blocks;
  std::size_t count = 0;
  for (auto& hash : hashes) {
    auto found = blocks.find(hash);
    if (found == blocks.end() || now - found->used > state_->bounds.longest_age) break;
    ++count;
  }
  return count;
}

void index::forget(interning::symbol engine) { state_->of(engine) = engine_shelf{}; }

void index::correct(interning::symbol engine, const std::vector<std::string>& hashes, std::size_t found,
                    std::size_t predicted) {
  auto& shelf_of = state_->of(engine);
  for (std::size_t position = found; position < hashes.size(); ++position)
    shelf_of.blocks.erase(hashes[position]);
  if (predicted == 0) return;
  double right = static_cast<double>(found < predicted ? found : predicted) / static_cast<double>(predicted);
  shelf_of.belief = 0.7 * shelf_of.belief + 0.3 * right;
}

double index::belief(interning::symbol engine) const {
  return engine < state_->engines.size() ? state_->engines[engine].belief : 1;
}
std::size_t index::size(interning::symbol engine) const {
  return engine < state_->engines.size() ? state_->engines[engine].blocks.size() : 0;
}

}  // namespace herontally::prefix
