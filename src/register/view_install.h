// Installing a chosen view at the voters that it names, and founding a group with its first view.
#pragma once
#include "register/change_view.h"

namespace herontally::reg {

// How long a single message of a membership change may take.
constexpr runtime::microseconds membership_timeout = 600 * runtime::millisecond;

// True once the voter at this address holds the view on its disk.
runtime::task<bool> install_at(wire::port port, voter_place place, view chosen);

// Installs a chosen view until a quorum of it holds it; before that nothing may rely on the view. `leaving`
// are told too, once, without waiting for them: they wipe themselves.
runtime::task<bool> install_everywhere(proposer group, view chosen, std::vector<voter_place> leaving,
                                       runtime::microseconds deadline);

}  // namespace herontally::reg
