// Requests and replies between proxies about tenants' quotas.
//
// Each struct is one record of schema/inner.avsc; see rpc/consensus_messages.h.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "serialization/json_fields.h"

namespace herontally::rpc {

// What one incarnation of a proxy has counted of one tenant. The totals only grow, so that of two copies the
// higher one is the newer.
struct tenant_count {
  std::string tenant, node;
  std::int64_t incarnation = 0;  // of the node: wall clock of its start, in microseconds
  std::int64_t admitted = 0;     // requests in total
  std::int64_t returned = 0;     // of these, requests that no engine has run
  std::int64_t recent = 0;       // admitted and not returned within the last quota window
  std::int64_t offered = 0;      // requests within the last quota window, rejected ones too
  HERONTALLY_JSON_FIELDS(tenant_count, tenant, node, incarnation, admitted, returned, recent, offered)
};

struct quota_reply {
  static constexpr const char* kind = "quota_receipt";
  // Other nodes' counts of the tenants asked about, as far as they changed since the version that was seen.
  std::vector<tenant_count> counts;
  std::int64_t incarnation = 0, version = 0;  // of the replier, and of what it knows
  // For each tenant asked about: what is left of its quota by all that the replier knows, in thousandths of a
  // request.
  std::vector<std::int64_t> levels;
  HERONTALLY_JSON_FIELDS(quota_reply, counts, incarnation, version, levels)
};
// A proxy hands its counts to one that merges them, and learns of the other nodes' counts.
struct quota_request {
  static constexpr const char* kind = "quota_ask";
  using reply = quota_reply;
  std::string node;
  std::vector<tenant_count> counts;  // the sender's own
  std::int64_t seen_by = 0;          // incarnation of the receiver whose versions `seen` holds
  std::vector<std::int64_t> seen;    // for each of `counts`: the version that the sender knows; 0: none
  HERONTALLY_JSON_FIELDS(quota_request, node, counts, seen_by, seen)
};

}  // namespace herontally::rpc
