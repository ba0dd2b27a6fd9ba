#include "configuration/cron.h"

#include <time.h>

#include <optional>
#include <sstream>
#include <vector>

namespace herontally::configuration {

namespace {

// A number of up to three digits; nullopt for any other text.
std::optional<int> parse_number(const std::string& text) {
  if (text.empty() || text.size() > 3) return std::nullopt;
  for (unsigned char character : text)
    if (!isdigit(character)) return std::nullopt;
  return std::stoi(text);
}

// The parts between the separators, empty ones included; one empty part for an empty text.
std::vector<std::string> split(const std::string& text, char separator) {
  std::vector<std::string> parts;
  std::stringstream stream(text);
  std::string part;
  while (std::getline(stream, part, separator)) parts.push_back(part);
  if (text.empty() || text.back() == separator) parts.push_back("");
  return parts;
}

// Parses one field, a list of *, a or a-b, each with an optional /step, and sets the bits of the values that
// it matches. False if the field is malformed or outside the range from `minimum` to `maximum`.
template <class Bits>
bool parse_field(const std::string& text, int minimum, int maximum, Bits& bits) {
  for (auto& part : split(text, ',')) {
    auto pieces = split(part, '/');
    if (pieces.size() > 2) return false;
    int step = 1;
    if (pieces.size() == 2) {
      auto parsed_step = parse_number(pieces[1]);
      if (!parsed_step || *parsed_step < 1) return false;
      step = *parsed_step;
    }
    int from = minimum, to = maximum;
    if (pieces[0] != "*") {
      auto bounds = split(pieces[0], '-');
      if (bounds.size() > 2) return false;
      auto first = parse_number(bounds[0]);
      auto last = bounds.size() == 2 ? parse_number(bounds[1]) : first;
      if (!first || !last) return false;
      from = *first;
      // A single value with a step (a/step) extends to the maximum.
      to = bounds.size() == 1 && pieces.size() == 2 ? maximum : *last;
    }
    if (from < minimum || to > maximum || from > to) return false;
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
  cron schedule;
  if (!parse_field(fields[0], 0, 59, schedule.minutes)) return "minute field is wrong: " + fields[0];
  if (!parse_field(fields[1], 0, 23, schedule.hours)) return "hour field is wrong: " + fields[1];
  if (!parse_field(fields[2], 1, 31, schedule.days)) return "day field is wrong: " + fields[2];
  if (!parse_field(fields[3], 1, 12, schedule.months)) return "month field is wrong: " + fields[3];
  std::bitset<8> weekdays;
  if (!parse_field(fields[4], 0, 7, weekdays)) return "weekday field is wrong: " + fields[4];
  // Both 0 and 7 stand for Sunday.
  for (std::size_t day = 0; day < 8; ++day)
    if (weekdays[day]) schedule.weekdays.set(day % 7);
  schedule.days_restricted = fields[2][0] != '*';
  schedule.weekdays_restricted = fields[4][0] != '*';
  return schedule;
}

bool ever_matches(const cron& schedule) {
  // Every weekday occurs in every month; only a day of the month may not exist in any selected month.
  if (schedule.weekdays_restricted) return true;
  static const std::size_t max_days[] = {31, 29, 31, 30, 31, 30, 31, 31, 30, 31, 30, 31};
  for (std::size_t month = 1; month <= 12; ++month)
    for (std::size_t day = 1; schedule.months[month] && day <= max_days[month - 1]; ++day)
      if (schedule.days[day]) return true;
  return false;
}

bool matches(const cron& schedule, std::int64_t minute_since_1970) {
  time_t seconds = static_cast<time_t>(minute_since_1970 * 60);
  tm parts{};
  gmtime_r(&seconds, &parts);
  if (!schedule.minutes[static_cast<std::size_t>(parts.tm_min)] ||
      !schedule.hours[static_cast<std::size_t>(parts.tm_hour)] ||
      !schedule.months[static_cast<std::size_t>(parts.tm_mon) + 1])
    return false;
  bool day = schedule.days[static_cast<std::size_t>(parts.tm_mday)];
  bool weekday = schedule.weekdays[static_cast<std::size_t>(parts.tm_wday)];
  if (schedule.days_restricted && schedule.weekdays_restricted) return day || weekday;
  return day && weekday;
}

}  // namespace herontally::configuration
