// The voters of a replicated register group: a numbered set and, while the group is being reconfigured, the
// set before it. Views are themselves agreed in a register and follow each other by number.
//
// Invariant: a decision under a view needs a majority of its voters and, while it is joint, a majority of the
// previous voters as well. So decisions under consecutive views always share a voter.
#pragma once
#include <string>
#include <vector>

#include "serialization/json_fields.h"

namespace herontally::consensus {

// One voter of a group.
struct voter_info {
  // A random name made with the data folder: an empty disk never has its predecessor's identity.
  std::string id;
  std::string address;  // ip:port of the inner protocol
  std::string node, zone;
  bool operator==(const voter_info&) const = default;

  static constexpr auto json_fields() {
    using serialization::json_field;
    return std::make_tuple(json_field(&voter_info::id, "id"), json_field(&voter_info::address, "address"),
                           json_field(&voter_info::node, "node"), json_field(&voter_info::zone, "zone"));
  }
};

bool contains(const std::vector<voter_info>& voters, const std::string& id);
// Whether both sets have the same identities, in whatever order.
bool same_voters(const std::vector<voter_info>& left, const std::vector<voter_info>& right);
// Voters of the first set that the second one lacks.
std::vector<voter_info> difference(const std::vector<voter_info>& voters,
                                   const std::vector<voter_info>& without);
// The fewest voters that make a majority of the set.
std::size_t majority_size(const std::vector<voter_info>& voters);

// `has(id)` tells whether a voter counts; true when those that do are a majority of the set.
template <class Has>
bool has_majority(const std::vector<voter_info>& voters, Has has) {
  std::size_t count = 0;
  for (auto& voter : voters) count += has(voter.id) ? 1 : 0;
  return count >= majority_size(voters);
}

struct view {
  std::string group;  // "core" or "store"
  std::int64_t number = 0;
  std::vector<voter_info> voters;
  std::vector<voter_info> previous_voters;  // not empty while the view is joint
  // Of the singleton role under which it was proposed; a view with a lower epoch can't follow.
  std::int64_t epoch = 0;
  bool operator==(const view&) const = default;

  static constexpr bool missing_keys_allowed = true;
  static constexpr auto json_fields() {
    using serialization::json_field;
    return std::make_tuple(json_field(&view::group, "group"), json_field(&view::number, "number"),
                           json_field(&view::voters, "voters"), json_field(&view::previous_voters, "before"),
                           json_field(&view::epoch, "epoch"));
  }

  // Being reconfigured: both sets of voters count.
  bool joint() const { return !previous_voters.empty(); }
  bool includes(const std::string& id) const { return contains(voters, id) || contains(previous_voters, id); }
  std::vector<voter_info> joining() const { return difference(voters, previous_voters); }
  std::vector<voter_info> leaving() const { return difference(previous_voters, voters); }
  // Everyone that requests go to, each once.
  std::vector<voter_info> all_voters() const;
  // Whether the voters for which `has(id)` is true may decide.
  template <class Has>
  bool quorum(Has has) const {
    if (voters.empty()) return false;
    return has_majority(voters, has) && (previous_voters.empty() || has_majority(previous_voters, has));
  }
};

std::string to_text(const view& content);
// A default view, with number 0, for a text that is no view.
view view_from_text(const std::string& text);

}  // namespace herontally::consensus
