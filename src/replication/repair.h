// Anti-entropy repair between voters: each compares itself with its peers by checksums of record ranges, and
// hands over what they miss. Internal to the replication package.
#pragma once
#include "replication/replica.h"

namespace herontally::replication {

// Compares with every peer of the view again and again, until the process stops.
runtime::task<> repair_forever(std::shared_ptr<replica> self);

// Serves repair_record_request: a record handed over is a late copy of an accept that its proposer had sent,
// and is taken by the same rule.
runtime::task<rpc::repair_record_reply> take_repaired(std::shared_ptr<replica> self,
                                                      rpc::repair_record_request request);

}  // namespace herontally::replication
