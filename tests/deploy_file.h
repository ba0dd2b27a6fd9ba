// Reads from the deploy file on how many machines a role runs. For tests; the path is the macro DEPLOY_FILE.
#pragma once
#include <toml++/toml.h>

#include <cmath>
#include <stdexcept>
#include <string>
#include <vector>

namespace herontally::deploy_file {

// The fraction of each zone's machines that run the role. Throws std::runtime_error if the file has none for
// it.
inline double share_of(const std::string& role) {
  auto document = toml::parse_file(DEPLOY_FILE);
  auto share = document["roles"][role]["share"].value<double>();
  if (!share) throw std::runtime_error("the deploy file has no share for " + role);
  return *share;
}

// For each zone, `share` of its machines, rounded up.
inline std::vector<int> machines_in_use(const std::vector<int>& machines_by_zone, double share) {
  std::vector<int> in_use;
  in_use.reserve(machines_by_zone.size());
  for (int machines : machines_by_zone) in_use.push_back(static_cast<int>(std::ceil(machines * share)));
  return in_use;
}

}  // namespace herontally::deploy_file
