// What the stores keep of a conversation: its record with budget, open reservation and end of the chain, the
// turns' contents, and archived refusals. JSON keys are part of the stored data and stay as they are.
//
// Times are of the wall clock, in microseconds. They only hurry matters along: a reservation that was taken
// for abandoned too early loses its turn, never tokens that nobody counted.
#pragma once
#include <string>
#include <vector>

#include "ledger/text.h"
#include "serialization/json_fields.h"

namespace herontally::ledger {

// The right of one proxy to run one turn, for as long as its lease lasts.
struct reservation {
  std::string turn, request_id, owner;
  std::int64_t owner_incarnation = 0;
  std::int64_t amount = 0;  // tokens
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

// How a turn ended.
enum class turn_outcome {
  unrecognized,  // a word that this version doesn't know
  done,          // complete: its content is part of the chain
  aborted,       // ended early; what was put out is spent
  lapsed,        // its owner vanished; the whole reservation is spent
};
NLOHMANN_JSON_SERIALIZE_ENUM(turn_outcome, {{turn_outcome::unrecognized, nullptr},
                                            {turn_outcome::done, "done"},
                                            {turn_outcome::aborted, "cut"},
                                            {turn_outcome::lapsed, "lapsed"}})

struct ended_turn {
  std::string turn;
  turn_outcome outcome = turn_outcome::unrecognized;
  std::string digest;  // of the content, if it is done
  std::string request_id;
  std::int64_t tokens = 0;  // that were put out

  static constexpr auto json_fields() {
    using serialization::json_field;
    return std::make_tuple(json_field(&ended_turn::turn, "turn"), json_field(&ended_turn::outcome, "how"),
                           json_field(&ended_turn::digest, "digest"),
                           json_field(&ended_turn::request_id, "request_id"),
                           json_field(&ended_turn::tokens, "tokens"));
  }
};

struct conversation_record {
  std::int64_t epoch = 0;       // counts reservations: the one that a settlement must still find
  std::int64_t generation = 0;  // counts expiries: contents of earlier generations may be removed
  std::int64_t spent = 0;       // tokens
  std::int64_t length = 0;      // turns of the chain
  std::int64_t keep_until = 0;
  std::string digest;                      // of the last turn's content
  std::vector<reservation> open;           // none or one
  std::vector<ended_turn> endings;         // newest first
  std::vector<std::string> refused_turns;  // refused for a spent budget; newest first
  std::string refused_archive;             // digest of the newest page of older ones; empty: none
  nlohmann::json unknown_fields;           // of a newer version: written back as they came
  bool readable = true;                    // false: there is a record that this version can't read

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
std::string to_text(const conversation_record& content);
// An empty record if there is none; one that isn't `readable` if the text can't be read.
conversation_record conversation_from_text(const std::optional<std::string>& text);
std::string conversation_key(const std::string& partner, const std::string& program);

// The finished turn of this name, or nullptr.
const ended_turn* find_done(const conversation_record& content, const std::string& turn);
// How this request's turn ended, or nullptr.
const ended_turn* find_request(const conversation_record& content, const std::string& request_id);
bool was_refused(const conversation_record& content, const std::string& turn);
void add_ending(conversation_record& content, ended_turn last);

// Clocks of different machines may differ by some seconds; a conversation is rather kept too long.
constexpr std::int64_t retention_margin = 10ll * 1000000;
// Whether the conversation's retention is over.
bool is_expired(const conversation_record& content, std::int64_t wall);
// Gives up what was said so far; the turns' names are free for the new conversation.
void begin_conversation(conversation_record& content);

// Turns that were refused for a spent budget and no longer fit into the record itself. Immutable, under its
// digest.
struct refused_page {
  std::string previous;
  std::vector<std::string> refused_turns;

  static constexpr auto json_fields() {
    using serialization::json_field;
    return std::make_tuple(json_field(&refused_page::previous, "previous"),
                           json_field(&refused_page::refused_turns, "told_spent"));
  }
};
constexpr std::size_t max_refused_in_record = 64;
std::string to_text(const refused_page& content);
std::optional<refused_page> refused_page_from_text(const std::string& text);

// One turn of the chain. Immutable, under the digest of its text.
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
std::optional<turn_content> turn_content_from_text(const std::string& text);

}  // namespace herontally::ledger
