#include "replication/founding_claim.h"

#include <nlohmann/json.hpp>

namespace herontally::replication {

std::string to_text(const founding_claim& claim) { return nlohmann::json(claim.seeds).dump(); }

founding_claim founding_claim_from_text(const std::string& text) {
  auto document = nlohmann::json::parse(text, nullptr, false);
  founding_claim claim;
  if (!document.is_array()) return claim;
  for (auto& seed : document)
    if (seed.is_string()) claim.seeds.push_back(seed.get<std::string>());
  return claim;
}

}  // namespace herontally::replication
