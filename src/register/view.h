// The membership of a register group: a numbered set of voters and, during a joint change, the set before it.
#pragma once
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace herontally::reg {

struct voter_place {
  std::string id;       // made with the data folder; an empty disk never has its predecessor's
  std::string address;  // inner address
  std::string node, zone;
  bool operator==(const voter_place&) const = default;
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(voter_place, id, address, node, zone)
};

struct view {
  std::string group;  // "core" or "store"
  std::int64_t number = 0;
  std::vector<voter_place> voters;
  std::vector<voter_place> before;  // not empty while the view is joint: writes need both majorities
  std::int64_t epoch = 0;           // of the duty holder that proposed it; a lower epoch can't follow
  bool operator==(const view&) const = default;
  NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(view, group, number, voters, before, epoch)

  bool joint() const { return !before.empty(); }

  static bool contains(const std::vector<voter_place>& set, const std::string& id) {
    for (auto& place : set)
      if (place.id == id) return true;
    return false;
  }
  static bool same_members(const std::vector<voter_place>& left, const std::vector<voter_place>& right) {
    if (left.size() != right.size()) return false;
    for (auto& place : left)
      if (!contains(right, place.id)) return false;
    return true;
  }
  bool has(const std::string& id) const { return contains(voters, id) || contains(before, id); }
  // Members of one set that the other lacks.
  static std::vector<voter_place> difference(const std::vector<voter_place>& set,
                                             const std::vector<voter_place>& without) {
    std::vector<voter_place> rest;
    for (auto& place : set)
      if (!contains(without, place.id)) rest.push_back(place);
    return rest;
  }
  std::vector<voter_place> joining() const { return difference(voters, before); }
  std::vector<voter_place> leaving() const { return difference(before, voters); }
  // Everyone that messages go to, each once.
  std::vector<voter_place> all() const {
    auto places = voters;
    for (auto& place : leaving()) places.push_back(place);
    return places;
  }
  template <class Has>
  static bool majority(const std::vector<voter_place>& set, Has has) {
    std::size_t count = 0;
    for (auto& place : set) count += has(place.id) ? 1 : 0;
    return count * 2 > set.size();
  }
  template <class Has>
  bool quorum(Has has) const {
    if (voters.empty()) return false;
    return majority(voters, has) && (before.empty() || majority(before, has));
  }
};

inline std::string view_text(const view& content) { return nlohmann::json(content).dump(); }
inline view view_from(const std::string& text) {
  auto document = nlohmann::json::parse(text, nullptr, false);
  if (!document.is_object()) return {};
  try {
    return document.get<view>();
  } catch (const nlohmann::json::exception&) {
    // A peer's text that is no view counts as none.
    return {};
  }
}

}  // namespace herontally::reg
