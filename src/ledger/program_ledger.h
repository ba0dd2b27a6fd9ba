// The ledger of programs that branch: token budgets over all nodes, and kept turns found by their own ids.
// Every answer rests on a majority of the storage machines' synced disks.
//
// Invariant: what a program has spent plus what is reserved stays below its budget plus the most of the turn
// that was granted last, whichever nodes its turns go through. A reservation that nobody settles counts in
// full.
#pragma once
#include "consensus/proposer.h"
#include "ledger/text.h"

namespace herontally::ledger {

// One kept turn: immutable, found by its id. Input and output are the bytes as they came.
struct turn_record {
  std::string id, previous, input, output;
  std::int64_t kept_until = 0;  // wall clock, microseconds
};

enum class program_reservation {
  granted,       // lasting: an engine may hear of the turn
  budget_spent,  // the budget has no room; nothing was written for this turn
  unreachable,   // no majority; certainly no reservation
  unknown        // no majority; a reservation may stand and counts in full, but nothing runs under it
};
enum class program_settlement { settled, unreachable };

enum class chain_status {
  found,
  missing,      // on a quorum's word
  unreachable,  // it can't be read now
};
struct chain_result {
  chain_status status = chain_status::unreachable;
  std::vector<turn_record> turns;  // oldest first; the last is the one that was asked for
};

// When the first turn of the chain may be removed; the largest number for a chain without turns.
std::int64_t kept_until(const chain_result& chain);

class program_ledger {
 public:
  explicit program_ledger(consensus::proposer stores);
  // Reserves the most that a turn may put out, before an engine hears of it. Turns of one program that arrive
  // together at this node share a round.
  runtime::task<program_reservation> reserve(std::string program, std::string turn, std::int64_t budget,
                                             std::int64_t most, runtime::microseconds deadline);
  // What went out, in place of what was reserved. Without an answer the reservation counts in full.
  runtime::task<program_settlement> settle(std::string program, std::string turn, std::int64_t tokens,
                                           runtime::microseconds deadline);
  // Lasting at a majority once this says so.
  runtime::task<bool> keep_turn(turn_record record, runtime::microseconds deadline);
  // `missing` only on a majority's part.
  runtime::task<chain_result> read_chain(std::string last, runtime::microseconds deadline);

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace herontally::ledger
