// Installing a chosen view at the voters that it names, and founding a group with its first view.
#pragma once
#include "reconfiguration/group_move.h"

namespace herontally::reconfiguration {

// How long a single request of a reconfiguration may take.
constexpr runtime::microseconds reconfiguration_timeout = 600 * runtime::millisecond;

// True once the voter has the view on its disk.
runtime::task<bool> install_at(rpc::endpoint endpoint, voter_info voter, view chosen);

// Installs a chosen view until a quorum of it has it; before that nothing may rely on the view. The `leaving`
// voters are notified too, once, without waiting for them: they wipe themselves.
runtime::task<bool> install_at_quorum(proposer group, view chosen, std::vector<voter_info> leaving,
                                      runtime::microseconds deadline);

// Installs a view that the catalog names, until a quorum has it; harmless where it is installed already.
runtime::task<bool> install_chosen(proposer group, view chosen, runtime::microseconds deadline);

// Installs the first view at voters that have none; the same call may be made again after a failure. The
// voters' identities are asked for and go into the view.
runtime::task<move_result> begin_group(rpc::endpoint endpoint, std::string group,
                                       std::vector<voter_info> voters, runtime::microseconds deadline);

}  // namespace herontally::reconfiguration
