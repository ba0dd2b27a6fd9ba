// The right to create the first view of a group. A voter gets it from the settings of the first start of the
// whole system and stores it with its identity, so that a restart before the first view doesn't lose it. A
// voter that loses its disk, or that a view leaves out, loses the claim with its identity.
#pragma once
#include <string>
#include <vector>

namespace herontally::replication {

// Names the seeds of the first start, all of which have the same claim. A first view is made of exactly
// these. Without seeds it is no claim.
struct founding_claim {
  std::vector<std::string> seeds;  // inner addresses
  bool operator==(const founding_claim&) const = default;
};

// The claim as it is stored: a JSON array of addresses. Text that is none gives no claim.
std::string to_text(const founding_claim& claim);
founding_claim founding_claim_from_text(const std::string& text);

}  // namespace herontally::replication
