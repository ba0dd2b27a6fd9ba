// Bringing the voters of a joint view up to date before the voters before it stop counting.
#pragma once
#include <set>

#include "register/change_view.h"

namespace herontally::reg {

// Whether every value that a majority of the voters before may have accepted is held by a majority of the new
// voters, once `filled` (ids of new voters) have fetched what a majority of the voters before holds.
//
// A value was accepted by at least majority(before) voters. Of those, at most |leaving| don't vote any more,
// and at most |filled ∩ before| are filled ones, which hold it anyway.
bool copies_suffice(const view& joint, const std::set<std::string>& filled);

// Lets the joining voters (and, where these don't suffice, the ones that stay) fetch what they lack. True
// once the copies suffice for ending the joint view.
runtime::task<bool> fill_group(proposer group, view joint, runtime::microseconds deadline);

}  // namespace herontally::reg
