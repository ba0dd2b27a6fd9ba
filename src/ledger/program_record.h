// A branching program's record and a kept turn's record, as the stores hold them.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "ledger/program_ledger.h"

namespace herontally::ledger {

struct program_record {
  std::int64_t spent = 0, changed = 0;  // tokens; wall clock of the last change, microseconds
  std::map<std::string, std::int64_t> open;
  std::vector<std::string> settled;  // newest last; only as many as a repeated mutator may meet
  std::int64_t reserved() const {
    std::int64_t total = 0;
    for (auto& [turn, amount] : open) total += amount;
    return total;
  }
};
// Compact, as it is written twice a turn.
std::string to_text(const program_record& content);
// Nothing: a record that this version can't read, which is nobody's to overwrite.
std::optional<program_record> program_record_from_text(const std::string& text);
// Both the writers and the stores go by the record's own time; the stores add the margin of the clocks.
bool is_expired(const program_record& content, std::int64_t wall);

std::string program_key(const std::string& program);
constexpr const char* program_prefix = "program/";
std::string turn_key(const std::string& turn);
constexpr const char* turn_prefix = "turn/";

// A line of JSON that names the turn before, as the voters' walk reads it, then the bytes as they came.
std::string to_text(const turn_record& content);
std::optional<turn_record> turn_record_from_text(const std::string& text);
// The turn before, of the record line alone; empty: none.
std::string previous_key_of(const std::string& text);
// When the record may go; nothing if it is no turn's record.
std::optional<std::int64_t> kept_until_of(std::string_view text);

}  // namespace herontally::ledger
