// Moving a register group from one set of voters to another, by agreement.
//
// A move is a register change of the group's view, twice: first to a joint view, under which every round
// needs a majority of the voters before and one of the new voters, then to a view of the new voters alone.
// Between the two the new voters fetch what they lack. While a view is joint its set of new voters may be
// replaced by any other, or given up: whatever was chosen meanwhile stands at a majority of the voters before
// as well.
#pragma once
#include "register/proposer.h"

namespace herontally::reg {

enum class move_error { unreachable, not_empty, not_a_voter, already_there, lost_race, superseded };

// Chooses the view that leads to the `wanted` voters: a joint one, or, where a joint view is agreed whose
// voters before are the wanted ones, the end of that move. `epoch` is the mover's duty epoch (0: none); a
// view that was laid under a higher one stands. Joining voters must be empty. The view isn't installed yet:
// `finish_move` goes on with it.
runtime::task<std::variant<view, move_error>> begin_move(proposer group, proposer catalog,
                                                         std::vector<voter_place> wanted, std::int64_t epoch,
                                                         runtime::microseconds deadline);
// Installs the agreed view, fills its joining voters and ends it, also for a mover that is gone. True when
// there is nothing left to do. `catalog` holds the view as a register key; for the core group it is the
// group.
runtime::task<bool> finish_move(proposer group, proposer catalog, runtime::microseconds deadline);

struct replacement {
  std::string leaving;   // a voter's id
  voter_place arriving;  // an empty voter, by the identity that it gave itself
};

// A whole move that replaces one voter. A move that is under way is finished first, and then lost_race told.
runtime::task<std::variant<view, move_error>> replace_voter(proposer group, proposer catalog,
                                                            replacement wanted,
                                                            runtime::microseconds deadline);
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
