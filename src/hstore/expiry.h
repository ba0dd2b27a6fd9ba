// Conversations whose keeping time is over are closed, and contents that no head can name any more are
// removed.
#pragma once
#include "members/members.h"
#include "register/proposer.h"
#include "register/voter.h"

namespace herontally::hstore {

runtime::task<> expire_forever(reg::voter voter, reg::proposer group, members::members known);

// Programs' heads and kept turns go by the times that they carry themselves: every node clears its own disk,
// and what a peer hands back meanwhile goes again with the next pass.
runtime::task<> expire_programs_forever(reg::voter voter, runtime::handle runtime, logging::journal journal);

// When a kept turn is due: what a voter keeps beside its records for the above.
std::int64_t kept_until_attribute(const std::string& record, std::string_view bytes);

}  // namespace herontally::hstore
