// Installation of a chosen view at the voters that it names, and of the first view of a group. It doesn't
// choose later views; group_move.h does. Deadlines are points in time of the runtime's steady clock, in
// microseconds.
#pragma once
#include "reconfiguration/group_move.h"

namespace herontally::reconfiguration {

// Timeout of a single request of a reconfiguration.
constexpr runtime::microseconds reconfiguration_timeout = 600 * runtime::millisecond;

// Sends the view to one voter. True once the voter has it on disk; false if it refused or didn't reply.
runtime::task<bool> install_at(rpc::endpoint endpoint, voter_info voter, view chosen);

// Installs a chosen view at a quorum of its voters; before that nothing may rely on the view. Then sends it
// to the `leaving` voters once, without waiting for their replies, so that they wipe themselves. False if no
// quorum installed it by the deadline.
runtime::task<bool> install_at_quorum(proposer group, view chosen, std::vector<voter_info> leaving,
                                      runtime::microseconds deadline);

// Installs the agreed view at a quorum of its voters. Voters that have it installed already are not affected.
runtime::task<bool> install_chosen(proposer group, view chosen, runtime::microseconds deadline);

// Creates a group: asks the voters for their identities and installs a first view that names them at all of
// them. After a failure the call may be repeated. Fails with already_member if a voter has another view,
// not_empty if one has records and no view, unreachable if one doesn't reply or the deadline has passed.
runtime::task<move_result> bootstrap_group(rpc::endpoint endpoint, std::string group,
                                           std::vector<voter_info> voters, runtime::microseconds deadline);

}  // namespace herontally::reconfiguration
