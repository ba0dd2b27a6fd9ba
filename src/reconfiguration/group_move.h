// Reconfiguration of a register group: changes its set of voters by agreement.
//
// A move changes the group's view, which is stored in a register, twice: first to a joint view, under which
// every round needs a majority of the previous voters and a majority of the new voters, then to a view of the
// new voters alone (joint consensus, as in Ongaro and Ousterhout, "In Search of an Understandable Consensus
// Algorithm", section 6). Between the two changes the new voters catch up. While a view is joint its set of
// new voters may be replaced by another one, or the move may be given up, because every value chosen
// meanwhile is at a majority of the previous voters as well. This module doesn't decide which machines become
// voters.
//
// `catalog` is the proposer of the group that stores the views, in one register for each group; the core
// group stores its own. Deadlines are points in time of the runtime's steady clock, in microseconds.
#pragma once
#include "consensus/proposer.h"

namespace herontally::reconfiguration {

using consensus::proposer;
using consensus::view;
using consensus::voter_info;

// Why a move was not made.
enum class move_error {
  unreachable,     // the agreed view can't be read, a voter can't be reached, or the deadline has passed
  not_empty,       // a joining voter holds records or a view
  not_a_voter,     // the voter to be replaced isn't in the view
  already_member,  // the joining voter is in the view, or the group already has another first view
  lost_race,       // another view was chosen meanwhile
  superseded,      // the agreed view was chosen under a higher epoch
};
using move_result = std::variant<view, move_error>;
// The name of the error, for logs.
const char* describe(move_error why);

// Chooses the next view towards the `wanted` voters: usually a joint view. If the agreed view is joint and
// its previous voters are the wanted ones, it chooses the view that ends that move. If the wanted voters are
// the agreed ones it returns the agreed view. `epoch` is that of the caller's singleton role (0: none); a
// view that was chosen under a higher epoch isn't replaced. Joining voters must be empty. The chosen view
// isn't installed; call `finish_move` next.
runtime::task<move_result> begin_move(proposer group, proposer catalog, std::vector<voter_info> wanted,
                                      std::int64_t epoch, runtime::microseconds deadline);

// Installs the agreed view, makes its joining voters catch up and ends the move. It also completes a move
// whose caller has failed. True when no move is left to finish.
runtime::task<bool> finish_move(proposer group, proposer catalog, runtime::microseconds deadline);

// A voter to be replaced, and its replacement.
struct replacement {
  std::string leaving;  // a voter's id
  voter_info arriving;  // an empty voter, with its own identity
};

// Replaces one voter in a complete move and returns the final view. If another move is in progress it
// finishes that one and returns lost_race.
runtime::task<move_result> replace_voter(proposer group, proposer catalog, replacement wanted,
                                         runtime::microseconds deadline);

// The agreed view of a group; nullopt if it can't be read or the group has none.
runtime::task<std::optional<view>> agreed_view(proposer catalog, std::string group,
                                               runtime::microseconds deadline);

// Key of the register that stores a group's view.
inline std::string view_register_key(const std::string& group) { return "view/" + group; }

// A mutator that writes the first view if the register is empty, and leaves it unchanged otherwise.
consensus::mutator set_first_view_if_absent(view first);

}  // namespace herontally::reconfiguration
