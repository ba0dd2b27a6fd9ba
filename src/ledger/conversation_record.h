// Stored data of a conversation: the record with token budget, open reservation and end of the turn chain,
// the contents of the turns, and pages of refused turns. JSON keys are part of the stored format and must not
// change. Reading and writing the storage nodes is left to conversation_ledger.h.
//
// Times are wall-clock times in microseconds. Correctness does not depend on them: a reservation that is
// considered abandoned too early loses its turn, but its tokens are still counted.
#pragma once
#include <string>
#include <vector>

#include "ledger/text.h"
#include "serialization/json_fields.h"

namespace herontally::ledger {

// Permits one proxy to run one turn until its lease ends.
struct reservation {
  std::string turn, request_id, owner;
  std::int64_t owner_incarnation = 0;
  std::int64_t amount = 0;  // reserved output tokens
  std::int64_t lease_until = 0;

  static constexpr auto json_fields() {
    using serialization::json_field;
    return std::make_tuple(
        json_field(&reservation::turn, "turn"), json_field(&reservation::request_id, "request_id"),
        json_field(&reservation::owner, "owner"),
        json_field(&reservation::owner_incarnation, "owner_incarnation"),
        json_field(&reservation::amount, "amount"), json_field(&reservation::lease_until, "lease_until"));
  }
};

// How a turn ended. The names in the JSON text are part of the stored format.
enum class turn_outcome {
  unrecognized,  // an outcome name that this version doesn't know
  done,          // complete; its content is part of the chain
  aborted,       // ended early; the tokens output so far are spent
  lapsed,        // its proxy disappeared; the whole reservation is spent
};
NLOHMANN_JSON_SERIALIZE_ENUM(turn_outcome, {{turn_outcome::unrecognized, nullptr},
                                            {turn_outcome::done, "done"},
                                            {turn_outcome::aborted, "cut"},
                                            {turn_outcome::lapsed, "lapsed"}})

// One of the most recent turns that ended, in a conversation's record.
struct ended_turn {
  std::string turn;
  turn_outcome outcome = turn_outcome::unrecognized;
  std::string digest;  // of the content; empty unless the outcome is `done`
  std::string request_id;
  std::int64_t tokens = 0;  // output tokens charged to the budget

  static constexpr auto json_fields() {
    using serialization::json_field;
    return std::make_tuple(json_field(&ended_turn::turn, "turn"), json_field(&ended_turn::outcome, "how"),
                           json_field(&ended_turn::digest, "digest"),
                           json_field(&ended_turn::request_id, "request_id"),
                           json_field(&ended_turn::tokens, "tokens"));
  }
};

// The record of one conversation, held in one replicated register.
struct conversation_record {
  std::int64_t epoch = 0;       // counts reservations; a settlement is refused under any other epoch
  std::int64_t generation = 0;  // counts expirations; contents of earlier generations may be removed
  std::int64_t spent = 0;       // tokens
  std::int64_t length = 0;      // number of turns in the chain
  std::int64_t keep_until = 0;
  std::string digest;                      // of the last turn's content; empty if the chain is
  std::vector<reservation> open;           // at most one
  std::vector<ended_turn> endings;         // newest first
  std::vector<std::string> refused_turns;  // refused because the budget was spent; newest first
  std::string refused_archive;             // digest of the newest `refused_page`; empty if there is none
  nlohmann::json unknown_fields;           // from a newer version; written back unchanged
  bool readable = true;                    // false if a record exists that this version can't read

  static constexpr auto json_fields() {
    using serialization::json_field;
    return std::make_tuple(
        json_field(&conversation_record::epoch, "epoch"),
        json_field(&conversation_record::generation, "generation"),
        json_field(&conversation_record::spent, "spent"), json_field(&conversation_record::length, "length"),
        json_field(&conversation_record::keep_until, "keep_until"),
        json_field(&conversation_record::digest, "digest"), json_field(&conversation_record::open, "open"),
        json_field(&conversation_record::endings, "endings"),
        json_field(&conversation_record::refused_turns, "told_spent"),
        json_field(&conversation_record::refused_archive, "told_pages"));
  }
};
std::string to_text(const conversation_record& record);
// Returns an empty record if there is none, and a record with `readable == false` if the text can't be
// parsed.
conversation_record conversation_from_text(const std::optional<std::string>& text);
// Returns the register key of a conversation's record.
std::string conversation_key(const std::string& partner, const std::string& program);

// Returns the completed turn with this id, or nullptr if it is not among the recent ones.
const ended_turn* find_completed_turn(const conversation_record& record, const std::string& turn);
// Returns the ended turn of this request, or nullptr if it is not among the recent ones.
const ended_turn* find_turn_of_request(const conversation_record& record, const std::string& request_id);
// Returns whether the record itself, without its archived pages, lists the turn as refused.
bool was_refused(const conversation_record& record, const std::string& turn);
// Adds the turn as the newest one. Only a bounded number of the most recent turns is kept.
void add_ended_turn(conversation_record& record, ended_turn turn);

// Added to retention times, in microseconds. Clocks of different machines may differ by some seconds, and a
// record must not be removed early.
constexpr std::int64_t retention_margin = 10ll * 1000000;
// Returns whether the conversation's retention, including the margin, has ended at wall-clock time `wall`.
bool is_expired(const conversation_record& record, std::int64_t wall);
// Starts a new generation with an empty chain. Ids of completed turns may be used again; spent tokens and
// refused turns are kept.
void reset_conversation(conversation_record& record);

// Turns refused because the budget was spent that no longer fit into the record itself. Immutable, stored
// under the digest of its text. `previous` is the digest of the next older page, empty if there is none.
struct refused_page {
  std::string previous;
  std::vector<std::string> refused_turns;

  static constexpr auto json_fields() {
    using serialization::json_field;
    return std::make_tuple(json_field(&refused_page::previous, "previous"),
                           json_field(&refused_page::refused_turns, "told_spent"));
  }
};
// A record with more refused turns than this is shortened by moving the oldest to a page.
constexpr std::size_t max_refused_in_record = 64;
std::string to_text(const refused_page& page);
// Returns nullopt if the text can't be parsed.
std::optional<refused_page> refused_page_from_text(const std::string& text);

// One turn of the chain. Immutable, stored under the digest of its text. `previous` is the digest of the turn
// before, empty for the first.
struct turn_content {
  std::string previous, partner, program, turn, prompt, output;
  std::int64_t generation = 0;
  std::vector<std::int64_t> prompt_tokens, output_tokens;

  static constexpr auto json_fields() {
    using serialization::json_field;
    return std::make_tuple(
        json_field(&turn_content::previous, "previous"), json_field(&turn_content::partner, "partner"),
        json_field(&turn_content::program, "program"), json_field(&turn_content::turn, "turn"),
        json_field(&turn_content::prompt, "prompt"), json_field(&turn_content::output, "output"),
        json_field(&turn_content::generation, "generation"),
        json_field(&turn_content::prompt_tokens, "prompt_tokens"),
        json_field(&turn_content::output_tokens, "output_tokens"));
  }
};
std::string to_text(const turn_content& content);
// Returns nullopt if the text can't be parsed.
std::optional<turn_content> turn_content_from_text(const std::string& text);

}  // namespace herontally::ledger
