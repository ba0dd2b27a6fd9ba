// Conversations whose keeping time is over are closed, and contents that no head can name any more are
// removed.
#pragma once
#include "consensus/proposer.h"
#include "membership/member_list.h"
#include "replication/voter.h"

namespace herontally::storage_node {

runtime::task<> expire_forever(replication::voter voter, consensus::proposer group,
                               membership::member_list known);

// Programs' heads and kept turns go by the times that they carry themselves: every node clears its own disk,
// and what a peer hands back meanwhile goes again with the next pass.
runtime::task<> expire_programs_forever(replication::voter voter, runtime::handle runtime,
                                        logging::logger logger);

// When a kept turn is due: what a voter keeps beside its records for the above.
std::int64_t kept_until_attribute(const std::string& record, std::string_view bytes);

}  // namespace herontally::storage_node
