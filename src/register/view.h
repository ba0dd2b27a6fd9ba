// Who votes: a numbered set, and, while it changes, the set before it as well.
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
  std::vector<voter_place> before;  // not empty while writes need both majorities
  bool operator==(const view&) const = default;
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(view, group, number, voters, before)

  bool has(const std::string& id) const {
    for (auto& place : voters)
      if (place.id == id) return true;
    for (auto& place : before)
      if (place.id == id) return true;
    return false;
  }
  // Everyone that messages go to, each once.
  std::vector<voter_place> all() const {
    auto places = voters;
    for (auto& old : before) {
      bool listed = false;
      for (auto& place : voters) listed = listed || place.id == old.id;
      if (!listed) places.push_back(old);
    }
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
