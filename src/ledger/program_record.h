// Stored text formats of a branching program's record and of a stored turn. Existing data is read in these
// formats, so they only change with a new version number.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "ledger/program_ledger.h"

namespace herontally::ledger {

// The budget record of one program, held in one replicated register.
struct program_record {
  // Settled tokens; wall-clock time of the last change in microseconds.
  std::int64_t spent = 0, last_changed = 0;
  std::map<std::string, std::int64_t> open;  // reserved tokens by turn id
  // Ids of recently settled turns, newest last. A repeated mutator recognizes its own effect by them.
  std::vector<std::string> settled;
  // The sum of the open reservations, in tokens.
  std::int64_t reserved() const {
    std::int64_t total = 0;
    for (auto& [turn, amount] : open) total += amount;
    return total;
  }
};
// Returns the stored text: a compact format, because it is written twice for each turn.
std::string to_text(const program_record& record);
// Returns nullopt for a record that this version can't read. Such a record must not be overwritten.
std::optional<program_record> program_record_from_text(const std::string& text);
// Returns whether the record has been unchanged for its retention time at wall-clock time `wall`. Writers and
// storage nodes both use the time in the record; storage nodes also allow for the margin of clock
// differences.
bool is_expired(const program_record& record, std::int64_t wall);

// Returns the register key of a program's record. The prefix is that of all such keys.
std::string program_key(const std::string& program);
constexpr const char* program_prefix = "program/";
// Returns the key of a stored turn. The prefix is that of all such keys.
std::string turn_key(const std::string& turn);
constexpr const char* turn_prefix = "turn/";

// Returns a line of JSON followed by the unencoded input and output. The line holds the key of the previous
// turn, which voters follow when they collect a chain.
std::string to_text(const turn_record& record);
// Returns nullopt if the text is no turn record of this format.
std::optional<turn_record> turn_record_from_text(const std::string& text);
// Returns the key of the previous turn, parsing only the JSON line. Empty if there is none.
std::string previous_key_of(const std::string& text);
// Returns when the turn's retention ends, as a wall-clock time in microseconds, or nullopt if the text is no
// turn record.
std::optional<std::int64_t> retention_end_of(std::string_view text);

}  // namespace herontally::ledger
