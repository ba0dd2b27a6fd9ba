// A program's ledger head, as the register keeps it: budget spent, open grant, end of the chain.
#pragma once
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace herontally::ledger {

// Times are of the wall clock, in microseconds. They only hurry matters along: a grant that was taken for
// abandoned too early loses its turn, never tokens that nobody counted.
struct grant {
  std::string turn, request_id, owner;
  std::int64_t owner_incarnation = 0, amount = 0, lease_until = 0;
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(grant, turn, request_id, owner, owner_incarnation, amount, lease_until)
};

// How a request's turn ended: "done" (content digest), "cut" or "lapsed" (its owner vanished).
struct ending {
  std::string turn, how, digest, request_id;
  std::int64_t tokens = 0;
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(ending, turn, how, digest, request_id, tokens)
};

struct head {
  std::int64_t epoch = 0;       // counts grants: the one that a settlement must still find
  std::int64_t generation = 0;  // counts expiries: contents of earlier ones may go
  std::int64_t spent = 0, length = 0, keep_until = 0;
  std::string digest;
  std::vector<grant> open;              // none or one
  std::vector<ending> endings;          // newest first
  std::vector<std::string> told_spent;  // newest first
  std::string told_pages;               // digest of the newest page of older ones; empty: none
  nlohmann::json unknown;               // fields of a newer version: given on as they came
  bool readable = true;                 // false: there is a record that this version can't read
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(head, epoch, generation, spent, length, keep_until, digest, open, endings,
                                 told_spent, told_pages)
};

// Turns that were told "spent" and no longer stand in the head itself. Immutable, addressed by digest.
struct told_page {
  std::string previous;
  std::vector<std::string> told_spent;
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(told_page, previous, told_spent)
};
constexpr std::size_t told_in_head = 64;
std::string to_text(const told_page& content);
std::optional<told_page> told_page_from(const std::string& text);

std::string to_text(const head& content);
// Clocks of different machines may differ by some seconds; a conversation is rather kept too long.
constexpr std::int64_t keep_margin = 10ll * 1000000;
bool is_overdue(const head& content, std::int64_t wall);
// What was said so far is given up; the turns' names are free for the new conversation.
void begin_conversation(head& content);
head from_text(const std::optional<std::string>& text);
const ending* find_done(const head& content, const std::string& turn);
const ending* find_request(const head& content, const std::string& request_id);
void add_ending(head& content, ending last);
bool was_told_spent(const head& content, const std::string& turn);

// One turn's place in the chain. Immutable, addressed by the digest of its text.
struct turn_content {
  std::string previous, partner, program, turn, prompt, output;
  std::int64_t generation = 0;
  std::vector<std::int64_t> prompt_tokens, output_tokens;
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(turn_content, previous, partner, program, turn, prompt, output, generation,
                                 prompt_tokens, output_tokens)
};
std::string to_text(const turn_content& content);
std::optional<turn_content> content_from(const std::string& text);
std::string digest_of(const std::string& text);

std::string head_key(const std::string& partner, const std::string& program);
std::string call_record_key(const std::string& partner, const std::string& route, const std::string& key);

// An effectful call's receipt. "started": may have run; "done": ran, with this answer; "not-run": attempt
// never runs; "gone": ran, and its answer's keeping time is over.
struct call_record {
  std::string state, request_id, body_digest, engine, content_type, answer;
  std::int64_t attempt = 0, status = 0, started = 0, keep_until = 0;
  bool readable = true;
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(call_record, state, request_id, body_digest, engine, content_type, answer,
                                 attempt, status, started, keep_until)
};
std::string to_text(const call_record& content);
std::optional<call_record> call_record_from(const std::optional<std::string>& text);

}  // namespace herontally::ledger
