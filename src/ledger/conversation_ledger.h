// Serializes the turns of conversations: each conversation has at most one open turn, a token budget and a
// chain of completed turns. Every result is agreed by a majority of the storage nodes and synced to their
// disks. The ledger does not send turns to engines and does not expire conversations; see
// storage_node/expiry.h.
//
// Invariants:
// - A turn is sent to an engine only under a durable reservation.
// - A reservation carries its owner and an epoch, and a settlement under another epoch is refused. So a turn
//   is settled once.
// - As a consequence, a budget is exceeded by at most one turn.
// - A turn's content is durable at a majority before any record refers to it.
// - A turn that was refused because the budget was spent never runs, even if the budget is raised later.
#pragma once
#include "consensus/proposer.h"
#include "ledger/conversation_record.h"

namespace herontally::ledger {

// Identifies a turn and the proxy that runs it. `budget` and `amount` are in tokens; `amount` is the most
// that the turn may output. `request_id` is unique to one attempt of the turn.
struct reservation_request {
  std::string partner, program, turn, request_id, owner;
  std::int64_t owner_incarnation = 0;
  std::int64_t budget = 0, amount = 0, lease_microseconds = 0;
};

enum class reservation_status {
  granted,        // durable; the turn may be sent to an engine
  busy,           // another turn of the conversation is open
  budget_spent,   // the refusal is durable; this turn never runs
  already_ended,  // the turn was completed earlier; `before` holds its outcome
  unreachable,    // no majority, or the record can't be read; no reservation was made
  disk_full,      // no disk capacity for new work; no reservation was made
  unknown,        // no majority; a reservation may have been made, but no turn runs under it
};
struct reservation_result {
  reservation_status status = reservation_status::unreachable;
  conversation_record now;                    // the agreed record, if it is known
  std::optional<ended_turn> earlier_outcome;  // set for `already_ended`
};

enum class settlement_status {
  settled,
  superseded,   // the reservation is no longer open under this epoch
  unreachable,  // no majority, or no disk capacity
};

// Deadlines are times of the runtime's steady clock, in microseconds.
class conversation_ledger {
 public:
  // Returns whether this incarnation of a proxy is known to have ended.
  using ended_check = std::function<bool(const std::string& owner, std::int64_t incarnation)>;

  conversation_ledger(consensus::proposer proposer, ended_check owner_ended);
  // Reserves `request.amount`, the maximum output of the turn. An abandoned reservation of another request is
  // settled at its full amount first. A repetition with the same `request_id` finds the same reservation.
  runtime::task<reservation_result> reserve(reservation_request request, runtime::microseconds deadline);
  // Makes the content durable, then appends it to the chain and closes the reservation of this epoch. The
  // conversation's retention starts anew with `keep_seconds`.
  runtime::task<settlement_status> commit_turn(reservation_request request, std::int64_t epoch,
                                               turn_content content, std::int64_t tokens,
                                               std::int64_t keep_seconds, runtime::microseconds deadline);
  // Closes the reservation without extending the chain. The tokens that were output are charged nevertheless.
  runtime::task<settlement_status> abort_turn(reservation_request request, std::int64_t epoch,
                                              std::int64_t tokens, runtime::microseconds deadline);
  // Reads the turns of the record's chain, oldest first, each verified against its digest. Returns nullopt
  // unless the whole chain can be read before the deadline.
  runtime::task<std::optional<std::vector<turn_content>>> read_chain(conversation_record record,
                                                                     runtime::microseconds deadline);
  // Reads the content of one completed turn. Returns nullopt if it can't be read before the deadline.
  runtime::task<std::optional<turn_content>> read_turn(std::string digest, runtime::microseconds deadline);
  // Reads the agreed record. Returns nullopt if no majority answers or the record can't be parsed.
  runtime::task<std::optional<conversation_record>> read(std::string partner, std::string program,
                                                         runtime::microseconds deadline);

 private:
  // For each page of refused turns that was read, by digest: whether the turn is on it or on an older page.
  using page_lookups = std::map<std::string, bool>;
  struct reservation_attempt {
    reservation_result result;
    std::string needed_page;  // digest of a page to read before the decision; empty if it was decided
  };
  runtime::task<reservation_attempt> try_reserve(reservation_request request, page_lookups pages,
                                                 runtime::microseconds deadline);
  // Returns whether the turn is on this page or an older one, or nullopt if not all of them can be read.
  runtime::task<std::optional<bool>> was_archived_as_refused(std::string page, std::string turn,
                                                             runtime::microseconds deadline);
  // Moves the oldest refused turns of the record to a new page. The page is made durable before the turns are
  // removed from the record.
  runtime::task<> archive_refused(reservation_request request, conversation_record record,
                                  runtime::microseconds deadline);
  // Closes the reservation of this epoch with the given outcome.
  runtime::task<settlement_status> settle(reservation_request request, std::int64_t epoch, ended_turn ended,
                                          std::int64_t keep_seconds, runtime::microseconds deadline);

  consensus::proposer proposer_;
  ended_check owner_ended_;
};

// Returns whether `digest` is the digest of `body`.
bool matches_digest(const std::string& digest, const std::string& body);

}  // namespace herontally::ledger
