// Anti-entropy repair between voters: each voter compares its records with its peers by checksums of record
// ranges, and sends them the records that they miss. A voter doesn't fetch what it misses itself, and a
// joining voter takes no part (see catch_up.h). Internal to the replication package.
#pragma once
#include "replication/replica.h"

namespace herontally::replication {

// Repairs every peer of the installed view in rounds, about 2 seconds apart, until the process stops.
runtime::task<> repair_forever(std::shared_ptr<replica> self);

// Serves repair_record_request. The record is a late copy of an accept that its proposer had sent, and is
// accepted or refused by the same rule.
runtime::task<rpc::repair_record_reply> repair_record(std::shared_ptr<replica> self,
                                                      rpc::repair_record_request request);

}  // namespace herontally::replication
