// Conversations whose keeping time is over are closed, and contents that no head can name any more are
// removed.
#pragma once
#include "members/members.h"
#include "register/proposer.h"
#include "register/voter.h"

namespace herontally::hstore {

runtime::task<> expire_forever(reg::voter voter, reg::proposer group, members::members known);

}  // namespace herontally::hstore
