// What a proxy asks of the ledger. Every answer rests on a majority of the storage machines' synced disks.
#pragma once
#include "consensus/proposer.h"
#include "ledger/head.h"
#include "membership/member_list.h"

namespace herontally::ledger {

struct turn_wish {
  std::string partner, program, turn, request_id, owner;
  std::int64_t owner_incarnation = 0;
  std::int64_t budget = 0, amount = 0, lease_microseconds = 0;
};

enum class open_end {
  granted,      // the grant is lasting: an engine may hear of the turn
  busy,         // another turn of the program is open
  spent,        // the budget is spent, which is written down: this turn never runs
  ended,        // the turn ended before, in the way given
  unreachable,  // no majority; certainly no grant
  full,         // the disks have no room for new work; certainly no grant
  unknown       // no majority; a grant may stand, but nothing was or will be run under it
};
struct open_result {
  open_end end = open_end::unreachable;
  head now;
  std::optional<ending> before;
};

enum class settle_end { settled, superseded, unreachable };

class book {
 public:
  // `gone` tells whether a proxy's life is known to have ended.
  book(consensus::proposer stores, std::function<bool(const std::string&, std::int64_t)> gone);
  runtime::task<open_result> open_turn(turn_wish wish, runtime::microseconds deadline);
  // The turns that the head names, oldest first, each checked against its digest.
  runtime::task<std::optional<std::vector<turn_content>>> chain(head of, runtime::microseconds deadline);
  // One finished turn's content, for giving its outcome again.
  runtime::task<std::optional<turn_content>> content(std::string digest, runtime::microseconds deadline);
  // Makes the content lasting, then moves the head to it and closes the grant of this epoch.
  runtime::task<settle_end> settle_done(turn_wish wish, std::int64_t epoch, turn_content content,
                                        std::int64_t tokens, std::int64_t keep_seconds,
                                        runtime::microseconds deadline);
  // Closes the grant without moving the chain; the tokens that went out are spent all the same.
  runtime::task<settle_end> settle_cut(turn_wish wish, std::int64_t epoch, std::int64_t tokens,
                                       runtime::microseconds deadline);
  runtime::task<std::optional<head>> look(std::string partner, std::string program,
                                          runtime::microseconds deadline);

  // Effectful calls.
  enum class call_end { mine, found, mismatch, unreachable, full, unknown };
  struct call_result {
    call_end end = call_end::unreachable;
    call_record record;
  };
  runtime::task<call_result> begin_call(std::string key, call_record first, runtime::microseconds deadline);
  // Moves on the receipt of this request's attempt; false when it no longer is this attempt's, or can't be
  // settled.
  runtime::task<bool> end_call(std::string key, call_record last, runtime::microseconds deadline);
  struct call_look {
    bool read = false;  // false: no majority could be asked
    std::optional<call_record> record;
  };
  runtime::task<call_look> look_call(std::string key, runtime::microseconds deadline);

 private:
  struct open_step {
    open_result result;
    std::string needed;  // a page of told turns that must be read before anything can be decided
  };
  runtime::task<open_step> open_with(turn_wish wish, std::map<std::string, bool> pages,
                                     runtime::microseconds deadline);
  runtime::task<std::optional<bool>> told_before(std::string digest, std::string turn,
                                                 runtime::microseconds deadline);
  runtime::task<> shelve(turn_wish wish, head now, runtime::microseconds deadline);
  runtime::task<settle_end> settle(turn_wish wish, std::int64_t epoch, ending last, std::int64_t keep_seconds,
                                   runtime::microseconds deadline);
  consensus::proposer stores_;
  std::function<bool(const std::string&, std::int64_t)> gone_;
};

}  // namespace herontally::ledger
