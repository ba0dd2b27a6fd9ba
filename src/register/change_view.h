// Moving a register group from one set of voters to another, one voter at a time.
#pragma once
#include "register/proposer.h"

namespace herontally::reg {

enum class move_error { unreachable, not_empty, not_a_voter, already_there, lost_race };

struct replacement {
  std::string leaving;   // a voter's id
  voter_place arriving;  // an empty voter, by the identity that it gave itself
};

// Chooses the joint view, installs it, fills the newcomer, and chooses the view without the old voter.
// `catalog` holds the view as a register key; for the core group it is the group itself.
// Any node may begin or go on with a move: the agreed view says how far it is.
runtime::task<std::variant<view, move_error>> replace_voter(proposer group, proposer catalog,
                                                            replacement wanted,
                                                            runtime::microseconds deadline);
// Finishes a move that another node left half-done. True when there is nothing left to do.
runtime::task<bool> finish_move(proposer group, proposer catalog, runtime::microseconds deadline);
// Installs a view that the register names; harmless where it stands already.
runtime::task<bool> install_chosen(proposer group, view chosen, runtime::microseconds deadline);
// The agreed view of a group.
runtime::task<std::optional<view>> agreed_view(proposer catalog, std::string group,
                                               runtime::microseconds deadline);
// Lays the first view over voters that have none; the same call may be made again after a failure.
runtime::task<std::variant<view, move_error>> begin_group(wire::port port, std::string group,
                                                          std::vector<voter_place> voters,
                                                          runtime::microseconds deadline);
inline std::string view_key_of(const std::string& group) { return "view/" + group; }

}  // namespace herontally::reg
