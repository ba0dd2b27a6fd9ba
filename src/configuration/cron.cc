#include "configuration/cron.h"

#include <time.h>

#include <optional>
#include <sstream>
#include <vector>

namespace herontally::configuration {

namespace {

std::optional<int> whole(const std::string& text) {
  if (text.empty() || text.size() > 3) return std::nullopt;
  for (unsigned char letter : text)
    if (!isdigit(letter)) return std::nullopt;
  return std::stoi(text);
}

std::vector<std::string> split(const std::string& text, char at) {
  std::vector<std::string> parts;
  std::stringstream stream(text);
  std::string part;
  while (std::getline(stream, part, at)) parts.push_back(part);
  if (text.empty() || text.back() == at) parts.push_back("");
  return parts;
}

// One field: lists of *, a, a-b, each with an optional /step. False when it is no such list.
template <class Bits>
bool take_field(const std::string& text, int least, int most, Bits& bits) {
  for (auto& part : split(text, ',')) {
    auto pieces = split(part, '/');
    if (pieces.size() > 2) return false;
    int step = 1;
    if (pieces.size() == 2) {
      auto given = whole(pieces[1]);
      if (!given || *given < 1) return false;
      step = *given;
    }
    int from = least, to = most;
    if (pieces[0] != "*") {
      auto ends = split(pieces[0], '-');
      if (ends.size() > 2) return false;
      auto first = whole(ends[0]);
      auto last = ends.size() == 2 ? whole(ends[1]) : first;
      if (!first || !last) return false;
      from = *first;
      // A lone start with a step runs to the end of the range.
      to = ends.size() == 1 && pieces.size() == 2 ? most : *last;
    }
    if (from < least || to > most || from > to) return false;
    for (int value = from; value <= to; value += step) bits.set(static_cast<std::size_t>(value));
  }
  return true;
}

}  // namespace

std::variant<cron, std::string> parse_cron(const std::string& text) {
  std::vector<std::string> fields;
  std::stringstream stream(text);
  std::string field;
  while (stream >> field) fields.push_back(field);
  if (fields.size() != 5) return std::string("needs five fields: minute hour day month weekday");
  cron when;
  if (!take_field(fields[0], 0, 59, when.minutes)) return "minute field is wrong: " + fields[0];
  if (!take_field(fields[1], 0, 23, when.hours)) return "hour field is wrong: " + fields[1];
  if (!take_field(fields[2], 1, 31, when.days)) return "day field is wrong: " + fields[2];
  if (!take_field(fields[3], 1, 12, when.months)) return "month field is wrong: " + fields[3];
  std::bitset<8> weekdays;
  if (!take_field(fields[4], 0, 7, weekdays)) return "weekday field is wrong: " + fields[4];
  // Sunday is 0 and 7.
  for (std::size_t day = 0; day < 8; ++day)
    if (weekdays[day]) when.weekdays.set(day % 7);
  when.days_restricted = fields[2][0] != '*';
  when.weekdays_restricted = fields[4][0] != '*';
  return when;
}

bool ever_matches(const cron& when) {
  // Every weekday comes in every month; only a day of the month may never come.
  if (when.weekdays_restricted) return true;
  static const std::size_t longest[] = {31, 29, 31, 30, 31, 30, 31, 31, 30, 31, 30, 31};
  for (std::size_t month = 1; month <= 12; ++month)
    for (std::size_t day = 1; when.months[month] && day <= longest[month - 1]; ++day)
      if (when.days[day]) return true;
  return false;
}

bool matches(const cron& when, std::int64_t minute_since_1970) {
  time_t seconds = static_cast<time_t>(minute_since_1970 * 60);
  tm parts{};
  gmtime_r(&seconds, &parts);
  if (!when.minutes[static_cast<std::size_t>(parts.tm_min)] ||
      !when.hours[static_cast<std::size_t>(parts.tm_hour)] ||
      !when.months[static_cast<std::size_t>(parts.tm_mon) + 1])
    return false;
  bool day = when.days[static_cast<std::size_t>(parts.tm_mday)];
  bool weekday = when.weekdays[static_cast<std::size_t>(parts.tm_wday)];
  if (when.days_restricted && when.weekdays_restricted) return day || weekday;
  return day && weekday;
}

}  // namespace herontally::configuration
