#include "consensus/view.h"

#include <algorithm>

namespace herontally::consensus {

bool contains(const std::vector<voter_info>& voters, const std::string& id) {
  return std::any_of(voters.begin(), voters.end(), [&id](auto& voter) { return voter.id == id; });
}

bool same_voters(const std::vector<voter_info>& left, const std::vector<voter_info>& right) {
  return left.size() == right.size() && difference(left, right).empty();
}

std::vector<voter_info> difference(const std::vector<voter_info>& voters,
                                   const std::vector<voter_info>& excluded) {
  std::vector<voter_info> remaining;
  for (auto& voter : voters)
    if (!contains(excluded, voter.id)) remaining.push_back(voter);
  return remaining;
}

std::size_t majority_size(const std::vector<voter_info>& voters) { return voters.size() / 2 + 1; }

std::vector<voter_info> view::all_voters() const {
  auto all = voters;
  for (auto& voter : leaving()) all.push_back(voter);
  return all;
}

std::string to_text(const view& content) { return nlohmann::json(content).dump(); }

view view_from_text(const std::string& text) {
  auto document = nlohmann::json::parse(text, nullptr, false);
  if (!document.is_object()) return {};
  try {
    return document.get<view>();
  } catch (const nlohmann::json::exception&) {
    // A text from a peer that is no valid view is treated as no view.
    return {};
  }
}

}  // namespace herontally::consensus
