#include "interning/symbol_table.h"

#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/identity.hpp>
#include <boost/multi_index/random_access_index.hpp>
#include <boost/multi_index_container.hpp>
#include <cctype>

namespace herontally::interning {

namespace multi_index = boost::multi_index;
using name_container = multi_index::multi_index_container<
    std::string, multi_index::indexed_by<multi_index::random_access<>,
                                         multi_index::hashed_unique<multi_index::identity<std::string>>>>;

struct symbol_table::state {
  name_container names;
};

symbol_table::symbol_table() : state_(std::make_unique<state>()) {}
symbol_table::~symbol_table() = default;
symbol_table::symbol_table(symbol_table&&) noexcept = default;
symbol_table& symbol_table::operator=(symbol_table&&) noexcept = default;

symbol symbol_table::intern(const std::string& name) {
  auto inserted = state_->names.push_back(name);
  return static_cast<symbol>(inserted.first - state_->names.begin());
}

std::optional<symbol> symbol_table::find(const std::string& name) const {
  auto& hashed = state_->names.get<1>();
  auto found = hashed.find(name);
  if (found == hashed.end()) return std::nullopt;
  return static_cast<symbol>(state_->names.project<0>(found) - state_->names.begin());
}

const std::string& symbol_table::name_of(symbol index) const { return state_->names[index]; }
std::size_t symbol_table::size() const { return state_->names.size(); }

bool is_plain_name(const std::string& name) {
  if (name.empty() || name.size() > 120) return false;
  for (unsigned char character : name)
    if (!std::isalnum(character) && character != '-' && character != '_' && character != '.' &&
        character != ':')
      return false;
  return true;
}

}  // namespace herontally::interning
