// Views: the voter sets of a replicated register group. A view is a numbered set of voters and, while the
// group is being reconfigured (joint consensus), the previous set as well. Views are agreed in a register,
// each one with the number after that of its predecessor. This file defines the type and its quorums; the
// reconfiguration package chooses and installs views.
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
  // A random name that is created with the data directory, so that a voter whose disk was emptied never has
  // the identity that it had before.
  std::string id;
  std::string address;     // ip:port for requests between nodes
  std::string node, zone;  // names of the voter's node and of the node's zone
  bool operator==(const voter_info&) const = default;

  static constexpr auto json_fields() {
    using serialization::json_field;
    return std::make_tuple(json_field(&voter_info::id, "id"), json_field(&voter_info::address, "address"),
                           json_field(&voter_info::node, "node"), json_field(&voter_info::zone, "zone"));
  }
};

// Whether a voter with this identity is in the set.
bool contains(const std::vector<voter_info>& voters, const std::string& id);
// Whether both sets have the same identities, in any order.
bool same_voters(const std::vector<voter_info>& left, const std::vector<voter_info>& right);
// Voters of the first set whose identities aren't in the second set.
std::vector<voter_info> difference(const std::vector<voter_info>& voters,
                                   const std::vector<voter_info>& excluded);
// The fewest voters that make a majority of the set.
std::size_t majority_size(const std::vector<voter_info>& voters);

// Whether the voters for which `has(id)` is true are a majority of the set.
template <class Has>
bool has_majority(const std::vector<voter_info>& voters, Has has) {
  std::size_t count = 0;
  for (auto& voter : voters) count += has(voter.id) ? 1 : 0;
  return count >= majority_size(voters);
}

// A numbered voter set of a group. The default view, with number 0, stands for none.
struct view {
  std::string group;  // "core" or "store"
  std::int64_t number = 0;
  std::vector<voter_info> voters;
  std::vector<voter_info> previous_voters;  // not empty while the view is joint
  // Epoch of the singleton role under which the view was proposed (0: none). It never decreases from one view
  // to the next, so that a proposer whose role has passed to another node can't change the view any more.
  std::int64_t epoch = 0;
  bool operator==(const view&) const = default;

  static constexpr bool missing_keys_allowed = true;
  static constexpr auto json_fields() {
    using serialization::json_field;
    return std::make_tuple(json_field(&view::group, "group"), json_field(&view::number, "number"),
                           json_field(&view::voters, "voters"), json_field(&view::previous_voters, "before"),
                           json_field(&view::epoch, "epoch"));
  }

  // Whether the group is being reconfigured, when decisions need a majority of both sets.
  bool joint() const { return !previous_voters.empty(); }
  bool includes(const std::string& id) const { return contains(voters, id) || contains(previous_voters, id); }
  std::vector<voter_info> joining() const { return difference(voters, previous_voters); }
  std::vector<voter_info> leaving() const { return difference(previous_voters, voters); }
  // The voters of both sets, each once: the receivers of a round's requests.
  std::vector<voter_info> all_voters() const;
  // Whether the voters for which `has(id)` is true are a quorum.
  template <class Has>
  bool quorum(Has has) const {
    if (voters.empty()) return false;
    return has_majority(voters, has) && (previous_voters.empty() || has_majority(previous_voters, has));
  }
};

// The view as JSON, as it is stored and sent.
std::string to_text(const view& content);
// Parses to_text's output. A text that is no view gives the default view, with number 0.
view view_from_text(const std::string& text);

}  // namespace herontally::consensus
