// Cron-like times: five fields (minute, hour, day of month, month, day of week), in UTC.
#pragma once
#include <bitset>
#include <cstdint>
#include <string>
#include <variant>

namespace herontally::configuration {

struct cron {
  std::bitset<60> minutes;
  std::bitset<24> hours;
  std::bitset<32> days;
  std::bitset<13> months;
  std::bitset<7> weekdays;
  // As cron has it: when both day fields are restricted, either one is enough.
  bool days_restricted = false, weekdays_restricted = false;
};

// The string tells what is wrong.
std::variant<cron, std::string> parse_cron(const std::string& text);
// False for a day that no year has, such as the 31st of a month of 30.
bool ever_matches(const cron& when);
bool matches(const cron& when, std::int64_t minute_since_1970);

}  // namespace herontally::configuration
