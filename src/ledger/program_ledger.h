// Enforces token budgets of branching programs across all nodes, and stores their turns under the turns' own
// ids. Every result is agreed by a majority of the storage nodes and synced to their disks, except that one
// copy of a stored turn is enough to read it. The ledger does not send turns to engines and does not remove
// expired records; see storage_node/expiry.h.
//
// Invariant: the spent plus the reserved tokens of a program stay below its budget plus the reservation of
// the turn granted last, through whichever nodes its turns run. A reservation that is never settled counts in
// full.
#pragma once
#include "consensus/proposer.h"
#include "ledger/text.h"

namespace herontally::ledger {

// A stored turn: immutable, found by its id. `previous` is the id of the turn before, empty for the first.
// Input and output are stored unchanged and may contain any bytes.
struct turn_record {
  std::string id, previous, input, output;
  std::int64_t retained_until = 0;  // end of its retention; wall-clock time, microseconds
};

enum class program_reservation {
  granted,       // durable; the turn may be sent to an engine
  budget_spent,  // the budget is used up; nothing was written for this turn
  unreachable,   // no majority, no disk capacity, or an unreadable record; no reservation was made
  unknown  // no majority; a reservation may have been made and counts in full, but no turn runs under it
};
enum class program_settlement { settled, unreachable };

enum class chain_status {
  found,
  missing,      // a quorum confirmed that a turn of the chain is not stored
  unreachable,  // neither was established before the deadline
};
struct chain_result {
  chain_status status = chain_status::unreachable;
  std::vector<turn_record> turns;  // oldest first; the last one is the requested turn
};

// Returns the earliest end of retention of the chain's turns, as a wall-clock time in microseconds, or the
// largest number if there are no turns.
std::int64_t earliest_retention_end(const chain_result& chain);

// Copies share one state. Deadlines are times of the runtime's steady clock, in microseconds.
class program_ledger {
 public:
  explicit program_ledger(consensus::proposer proposer);
  // Reserves `max_tokens`, the most that the turn may output, before it is sent to an engine. Concurrent
  // turns of one program at this node share a consensus round. A repetition for the same turn finds the same
  // reservation.
  runtime::task<program_reservation> reserve(std::string program, std::string turn, std::int64_t budget,
                                             std::int64_t max_tokens, runtime::microseconds deadline);
  // Replaces the turn's reservation by the tokens that were output. If this fails, the reservation counts in
  // full. Does nothing if the turn has no open reservation.
  runtime::task<program_settlement> settle(std::string program, std::string turn, std::int64_t tokens,
                                           runtime::microseconds deadline);
  // Stores the turn under its id. Returns true once it is durable at a majority.
  runtime::task<bool> keep_turn(turn_record record, runtime::microseconds deadline);
  // Reads the chain of turns that ends in the turn with id `last`, from this node's cache or the storage
  // nodes.
  runtime::task<chain_result> read_chain(std::string last, runtime::microseconds deadline);

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace herontally::ledger
