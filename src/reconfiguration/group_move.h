// Reconfiguration: moves a register group from one set of voters to another, by agreement.
//
// A move is a register change of the group's view, made twice: first to a joint view, under which every round
// needs a majority of the previous voters and one of the new voters, then to a view of the new voters alone
// (joint consensus, as in Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm",
// section 6). In between the new voters catch up. While a view is joint its set of new voters may be replaced
// by any other, or given up: whatever was chosen meanwhile stands at a majority of the previous voters as
// well.
//
// `catalog` is the proposer of the group that keeps the views, one register for each group; the core group
// keeps its own. Deadlines are moments of the runtime's clock, in microseconds.
#pragma once
#include "consensus/proposer.h"

namespace herontally::reconfiguration {

using consensus::proposer;
using consensus::view;
using consensus::voter_info;

enum class move_error {
  unreachable,    // the agreed view or a voter can't be reached
  not_empty,      // a joining voter holds records or a view
  not_a_voter,    // the voter to be replaced isn't in the view
  already_there,  // the joining voter is in the view; or a group has begun with another first view
  lost_race,      // another view was chosen meanwhile
  superseded,     // a view was laid under a higher epoch
};
using move_result = std::variant<view, move_error>;
// For logs.
const char* describe(move_error why);

// Chooses the view that leads to the `wanted` voters: a joint one or, where a joint view is agreed whose
// previous voters are the wanted ones, the end of that move. `epoch` is that of the mover's singleton role
// (0: none); a view that was laid under a higher one stands. Joining voters must be empty. The view isn't
// installed yet: `finish_move` goes on.
runtime::task<move_result> begin_move(proposer group, proposer catalog, std::vector<voter_info> wanted,
                                      std::int64_t epoch, runtime::microseconds deadline);

// Installs the agreed view, lets its joining voters catch up and ends the move, also for a mover that is
// gone. True when there is nothing left to do.
runtime::task<bool> finish_move(proposer group, proposer catalog, runtime::microseconds deadline);

struct replacement {
  std::string leaving;  // a voter's id
  voter_info arriving;  // an empty voter, by the identity that it gave itself
};

// A whole move that replaces one voter. A move that is under way is finished first, and lost_race returned.
runtime::task<move_result> replace_voter(proposer group, proposer catalog, replacement wanted,
                                         runtime::microseconds deadline);

// The agreed view of a group; nothing if it can't be read now.
runtime::task<std::optional<view>> agreed_view(proposer catalog, std::string group,
                                               runtime::microseconds deadline);

// The register that keeps a group's view.
inline std::string view_register_key(const std::string& group) { return "view/" + group; }

// Leaves what is there, and writes the first view otherwise.
consensus::mutator first_view_if_none(view first);

}  // namespace herontally::reconfiguration
