#include "interning/symbol_table.h"

#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/identity.hpp>
#include <boost/multi_index/random_access_index.hpp>
#include <boost/multi_index_container.hpp>
#include <cctype>

namespace herontally::interning {

namespace index_of = boost::multi_index;
using container = index_of::multi_index_container<
    std::string, index_of::indexed_by<index_of::random_access<>,
                                      index_of::hashed_unique<index_of::identity<std::string>>>>;

struct symbol_table::state {
  container names;
};

symbol_table::symbol_table() : state_(std::make_unique<state>()) {}
symbol_table::~symbol_table() = default;
symbol_table::symbol_table(symbol_table&&) noexcept = default;
symbol_table& symbol_table::operator=(symbol_table&&) noexcept = default;

symbol symbol_table::intern(const std::string& name) {
  auto placed = state_->names.push_back(name);
  return static_cast<symbol>(placed.first - state_->names.begin());
}

std::optional<symbol> symbol_table::find(const std::string& name) const {
  auto& hashed = state_->names.get<1>();
  auto found = hashed.find(name);
  if (found == hashed.end()) return std::nullopt;
  return static_cast<symbol>(state_->names.project<0>(found) - state_->names.begin());
}

const std::string& symbol_table::name_of(symbol position) const { return state_->names[position]; }
std::size_t symbol_table::size() const { return state_->names.size(); }

bool is_plain_name(const std::string& name) {
  if (name.empty() || name.size() > 120) return false;
  for (unsigned char letter : name)
    if (!std::isalnum(letter) && letter != '-' && letter != '_' && letter != '.' && letter != ':')
      return false;
  return true;
}

}  // namespace herontally::interning
