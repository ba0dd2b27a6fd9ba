// Requests and replies with which proxies exchange the usage of tenants' quotas.
//
// Each struct is one record of schema/inner.avsc; see rpc/consensus_messages.h. The accounting itself is in
// quota/.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "serialization/json_fields.h"

namespace herontally::rpc {

// The requests of one tenant as counted by one incarnation of a proxy. The totals only grow, so of two copies
// the one with the higher totals is newer.
struct tenant_count {
  std::string tenant, node;
  std::int64_t incarnation = 0;  // of `node`: wall-clock time of its start, in microseconds since 1970
  std::int64_t admitted = 0;     // total requests admitted
  std::int64_t returned = 0;     // total admitted requests that no engine has run
  std::int64_t recent = 0;       // admitted and not returned within the last quota window
  std::int64_t offered = 0;      // received within the last quota window, including rejected ones
  HERONTALLY_JSON_FIELDS(tenant_count, tenant, node, incarnation, admitted, returned, recent, offered)
};

// The quota usage that the receiver of a `quota_request` knows.
struct quota_reply {
  static constexpr const char* kind = "quota_receipt";
  // Other nodes' counts of the requested tenants that changed since the versions in the request's `seen`.
  std::vector<tenant_count> counts;
  std::int64_t incarnation = 0, version = 0;  // of the replier, and of its merged counts
  // For each requested tenant: what is left of its quota according to the replier, in thousandths of a
  // request. INT64_MAX: unknown, because the replier has run for less than one quota window.
  std::vector<std::int64_t> levels;
  HERONTALLY_JSON_FIELDS(quota_reply, counts, incarnation, version, levels)
};
// Sends a proxy's counts to a proxy that merges them, and asks for the other nodes' counts.
struct quota_request {
  static constexpr const char* kind = "quota_ask";
  using reply = quota_reply;
  std::string node;
  std::vector<tenant_count> counts;  // the sender's own
  std::int64_t seen_by = 0;          // incarnation of the receiver that `seen` refers to
  std::vector<std::int64_t> seen;    // for each of `counts`: the receiver's version known here; 0: none
  HERONTALLY_JSON_FIELDS(quota_request, node, counts, seen_by, seen)
};

}  // namespace herontally::rpc
