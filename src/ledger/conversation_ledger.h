// The ledger of conversations: one open turn each, a token budget, and the chain of finished turns. Every
// answer rests on a majority of the storage machines' synced disks.
//
// Invariants:
// - An engine hears of a turn only under a reservation that is durable; a reservation carries its owner and
// an epoch, and
//   a settlement under another epoch is refused. So a turn is settled once, and overspending is bounded by
//   one turn.
// - A content is durable at a majority before any record names it.
// - A turn that was refused for a spent budget is never run later, also under a larger budget.
#pragma once
#include "consensus/proposer.h"
#include "ledger/conversation_record.h"

namespace herontally::ledger {

// Amounts in tokens, the lease in microseconds.
struct reservation_request {
  std::string partner, program, turn, request_id, owner;
  std::int64_t owner_incarnation = 0;
  std::int64_t budget = 0, amount = 0, lease_microseconds = 0;
};

enum class reservation_status {
  granted,        // durable: an engine may hear of the turn
  busy,           // another turn of the conversation is open
  budget_spent,   // written down: this turn never runs
  already_ended,  // the turn ended before, as `before` tells
  unreachable,    // no majority; certainly no reservation
  disk_full,      // the disks have no capacity for new work; certainly no reservation
  unknown,        // no majority; a reservation may stand, but nothing was or will be run under it
};
struct reservation_result {
  reservation_status status = reservation_status::unreachable;
  conversation_record now;
  std::optional<ended_turn> before;
};

enum class settlement_status {
  settled,
  superseded,   // another reservation took its place
  unreachable,  // no majority, or no capacity
};

class conversation_ledger {
 public:
  // Whether an incarnation of a proxy is known to have ended.
  using ended_check = std::function<bool(const std::string& owner, std::int64_t incarnation)>;

  conversation_ledger(consensus::proposer stores, ended_check owner_ended);
  // Reserves the most that a turn may put out.
  runtime::task<reservation_result> reserve(reservation_request request, runtime::microseconds deadline);
  // Makes the content durable, then moves the record to it and closes the reservation of this epoch.
  runtime::task<settlement_status> commit_turn(reservation_request request, std::int64_t epoch,
                                               turn_content content, std::int64_t tokens,
                                               std::int64_t keep_seconds, runtime::microseconds deadline);
  // Closes the reservation without moving the chain; the tokens that were put out are spent all the same.
  runtime::task<settlement_status> abort_turn(reservation_request request, std::int64_t epoch,
                                              std::int64_t tokens, runtime::microseconds deadline);
  // The turns that the record names, oldest first, each checked against its digest.
  runtime::task<std::optional<std::vector<turn_content>>> read_chain(conversation_record of,
                                                                     runtime::microseconds deadline);
  // One finished turn's content.
  runtime::task<std::optional<turn_content>> read_turn(std::string digest, runtime::microseconds deadline);
  // The agreed record; nothing if it can't be read now.
  runtime::task<std::optional<conversation_record>> read(std::string partner, std::string program,
                                                         runtime::microseconds deadline);

 private:
  // Which pages of refused turns were read, and whether the turn is in one of them or in an older one.
  using read_pages = std::map<std::string, bool>;
  struct reservation_attempt {
    reservation_result result;
    std::string needed_page;  // that must be read before anything can be decided; empty: none
  };
  runtime::task<reservation_attempt> try_reserve(reservation_request request, read_pages pages,
                                                 runtime::microseconds deadline);
  runtime::task<std::optional<bool>> was_archived_as_refused(std::string page, std::string turn,
                                                             runtime::microseconds deadline);
  runtime::task<> archive_refused(reservation_request request, conversation_record now,
                                  runtime::microseconds deadline);
  runtime::task<settlement_status> settle(reservation_request request, std::int64_t epoch, ended_turn last,
                                          std::int64_t keep_seconds, runtime::microseconds deadline);

  consensus::proposer stores_;
  ended_check owner_ended_;
};

// Whether a body is what its digest says.
bool is_content(const std::string& digest, const std::string& body);

}  // namespace herontally::ledger
