// Cron expressions with five fields (minute, hour, day of month, month, day of week), evaluated in UTC. Names
// of months and weekdays and abbreviations such as @daily aren't supported. It runs nothing itself.
#pragma once
#include <bitset>
#include <cstdint>
#include <string>
#include <variant>

namespace herontally::configuration {

// A parsed expression: for each field the values that it matches, as bits at the value's own number.
struct cron {
  std::bitset<60> minutes;
  std::bitset<24> hours;
  std::bitset<32> days;
  std::bitset<13> months;
  std::bitset<7> weekdays;
  // A day field is restricted unless it starts with `*`. As in Unix cron, if both are restricted, a date
  // matches when either of them does.
  bool days_restricted = false, weekdays_restricted = false;
};

// Parses an expression. The string alternative is an error message that names the wrong field.
std::variant<cron, std::string> parse_cron(const std::string& text);
// Whether any date matches. False for days that no year has, such as April 31.
bool ever_matches(const cron& schedule);
// Whether the schedule matches this minute, counted from the start of 1970 in UTC.
bool matches(const cron& schedule, std::int64_t minute_since_1970);

}  // namespace herontally::configuration
