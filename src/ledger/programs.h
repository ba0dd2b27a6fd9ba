// The ledger of programs that branch: budgets over all nodes, and kept turns found by their own ids. Every
// answer rests on a majority of the storage machines' synced disks.
#pragma once
#include "consensus/proposer.h"
#include "ledger/head.h"

namespace herontally::ledger {

// One kept turn: immutable, found by its id. Input and output are the bytes as they came.
struct turn_record {
  std::string id, previous, input, output;
  std::int64_t kept_until = 0;  // wall clock, microseconds
};

enum class reserve_end {
  granted,      // lasting: an engine may hear of the turn
  spent,        // the budget has no room; nothing was written for this turn
  unreachable,  // no majority; certainly no reservation
  unknown       // no majority; a reservation may stand and counts in full, but nothing runs under it
};
enum class settle_result { settled, unreachable };

struct chain_result {
  enum class what { found, missing, unreachable };
  what end = what::unreachable;
  std::vector<turn_record> turns;  // oldest first; the last is the one that was asked for
};

class programs {
 public:
  explicit programs(consensus::proposer stores);
  // Reserves the most that a turn may put out, before an engine hears of it. Turns of one program that arrive
  // together at this node share a round.
  runtime::task<reserve_end> reserve(std::string program, std::string turn, std::int64_t budget,
                                     std::int64_t most, runtime::microseconds deadline);
  // What went out, in place of what was reserved. Without an answer the reservation counts in full.
  runtime::task<settle_result> settle(std::string program, std::string turn, std::int64_t tokens,
                                      runtime::microseconds deadline);
  // Lasting at a majority once this says so.
  runtime::task<bool> keep(turn_record record, runtime::microseconds deadline);
  // `missing` only on a majority's word.
  runtime::task<chain_result> chain(std::string last, runtime::microseconds deadline);

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace herontally::ledger
