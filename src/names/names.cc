#include "names/names.h"

#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/identity.hpp>
#include <boost/multi_index/random_access_index.hpp>
#include <boost/multi_index_container.hpp>
#include <cctype>

namespace herontally::names {

namespace index_of = boost::multi_index;
using container = index_of::multi_index_container<
    std::string, index_of::indexed_by<index_of::random_access<>,
                                      index_of::hashed_unique<index_of::identity<std::string>>>>;

struct table::state {
  container names;
};

table::table() : state_(std::make_unique<state>()) {}
table::~table() = default;
table::table(table&&) noexcept = default;
table& table::operator=(table&&) noexcept = default;

index table::intern(const std::string& name) {
  auto placed = state_->names.push_back(name);
  return static_cast<index>(placed.first - state_->names.begin());
}

std::optional<index> table::find(const std::string& name) const {
  auto& hashed = state_->names.get<1>();
  auto found = hashed.find(name);
  if (found == hashed.end()) return std::nullopt;
  return static_cast<index>(state_->names.project<0>(found) - state_->names.begin());
}

const std::string& table::name_of(index position) const { return state_->names[position]; }
std::size_t table::size() const { return state_->names.size(); }

bool is_plain(const std::string& name) {
  if (name.empty() || name.size() > 120) return false;
  for (unsigned char letter : name)
    if (!std::isalnum(letter) && letter != '-' && letter != '_' && letter != '.' && letter != ':')
      return false;
  return true;
}

}  // namespace herontally::names
