// Bringing the voters of a joint view up to date before the previous voters stop counting.
#pragma once
#include <set>

#include "reconfiguration/group_move.h"

namespace herontally::reconfiguration {

// Whether every value that a majority of the previous voters may have accepted is held by a majority of the
// new voters, once the voters of `caught_up` (ids of new voters) have fetched what a majority of the previous
// voters holds.
//
// A value was accepted by at least majority(previous) voters. Of those, at most |leaving| don't vote any
// more, and at most |caught_up ∩ previous| are caught-up ones, which hold it anyway.
bool copies_suffice(const view& joint, const std::set<std::string>& caught_up);

// Lets the joining voters (and, where these don't suffice, the ones that stay) fetch what they lack. True
// once the copies suffice for ending the joint view.
runtime::task<bool> catch_up_group(proposer group, view joint, runtime::microseconds deadline);

}  // namespace herontally::reconfiguration
