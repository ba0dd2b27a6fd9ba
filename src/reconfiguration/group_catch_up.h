// Catch-up of a group: makes the voters of a joint view fetch records until the previous voters are no longer
// needed for any value. It doesn't end the joint view; group_move.h does.
#pragma once
#include <set>

#include "reconfiguration/group_move.h"

namespace herontally::reconfiguration {

// Whether a majority of the new voters holds every value that a majority of the previous voters may have
// accepted, given that the voters of `caught_up` (ids of new voters) have fetched the records of a majority
// of the previous voters.
//
// A value was accepted by at least majority(previous) voters. Of those, at most |leaving| no longer vote, and
// at most |caught_up ∩ previous| are among the caught-up voters, which hold it in any case.
bool copies_suffice(const view& joint, const std::set<std::string>& caught_up);

// Makes the joining voters fetch the records that they lack and, if that isn't sufficient, the voters that
// stay as well. True once the joint view may be ended; false if that wasn't reached by the deadline (steady
// time, in microseconds).
runtime::task<bool> catch_up_group(proposer group, view joint, runtime::microseconds deadline);

}  // namespace herontally::reconfiguration
