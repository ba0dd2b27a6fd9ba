#include "ledger/program_record.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace herontally::ledger {

namespace {
constexpr std::int64_t second = 1000000;
constexpr std::int64_t max_idle_age = 180 * second;
// Longer than `max_idle_age`, because the turn of an open reservation may still be running. Reservations that
// were never settled are removed together with the record after this time.
constexpr std::int64_t max_open_age = 900 * second;
constexpr std::size_t max_settled = 16;

// Percent-encodes an id. Clients may choose any bytes; keys, space-separated records and JSON get printable
// ASCII only.
std::string escape(const std::string& text) {
  static const char hex_digits[] = "0123456789abcdef";
  std::string out;
  for (unsigned char byte : text) {
    if (byte > 0x20 && byte < 0x7f && byte != '%' && byte != '"' && byte != '\\') {
      out.push_back(static_cast<char>(byte));
    } else {
      out += {'%', hex_digits[byte >> 4], hex_digits[byte & 15]};
    }
  }
  return out;
}
// Reverses `escape`. Returns nullopt if the text is not a valid encoding.
std::optional<std::string> unescape(const std::string& text) {
  std::string out;
  for (std::size_t position = 0; position < text.size(); ++position) {
    if (text[position] != '%') {
      out.push_back(text[position]);
      continue;
    }
    unsigned value = 0;
    if (position + 3 > text.size()) return std::nullopt;
    auto end = text.data() + position + 3;
    if (std::from_chars(text.data() + position + 1, end, value, 16).ptr != end) return std::nullopt;
    out.push_back(static_cast<char>(value));
    position += 2;
  }
  return out;
}
std::optional<std::int64_t> parse_number(const std::string& text) {
  std::int64_t value = 0;
  auto end = text.data() + text.size();
  auto read = std::from_chars(text.data(), end, value);
  if (read.ec != std::errc{} || read.ptr != end) return std::nullopt;
  return value;
}
std::vector<std::string> split_at_spaces(const std::string& text) {
  std::vector<std::string> parts;
  std::size_t begin = 0;
  while (begin <= text.size()) {
    auto end = std::min(text.find(' ', begin), text.size());
    parts.push_back(text.substr(begin, end - begin));
    begin = end + 1;
  }
  return parts;
}
// Parses the text up to the first newline; the result is discarded if that is no JSON.
nlohmann::json parse_first_line(std::string_view text) {
  return nlohmann::json::parse(
      text.begin(), text.begin() + static_cast<std::ptrdiff_t>(std::min(text.find('\n'), text.size())),
      nullptr, false);
}
}  // namespace

// Format: "1 spent last_changed (+amount=turn | -turn)*", where + marks an open reservation and - a settled
// turn. The first number is the format version.
std::string to_text(const program_record& record) {
  std::string out = "1 " + std::to_string(record.spent) + " " + std::to_string(record.last_changed);
  for (auto& [turn, amount] : record.open) out += " +" + std::to_string(amount) + "=" + escape(turn);
  std::size_t skipped = record.settled.size() > max_settled ? record.settled.size() - max_settled : 0;
  for (auto position = skipped; position < record.settled.size(); ++position)
    out += " -" + escape(record.settled[position]);
  return out;
}

std::optional<program_record> program_record_from_text(const std::string& text) {
  auto parts = split_at_spaces(text);
  if (parts.size() < 3 || parts[0] != "1") return std::nullopt;
  program_record record;
  auto spent = parse_number(parts[1]), changed = parse_number(parts[2]);
  if (!spent || !changed) return std::nullopt;
  record.spent = *spent;
  record.last_changed = *changed;
  for (std::size_t position = 3; position < parts.size(); ++position) {
    auto& part = parts[position];
    if (part.empty()) return std::nullopt;
    auto equals = part[0] == '+' ? part.find('=') : 0;
    if (equals == std::string::npos) return std::nullopt;
    auto turn = unescape(part.substr(equals + 1));
    if (!turn) return std::nullopt;
    if (part[0] == '-') {
      record.settled.push_back(*turn);
      continue;
    }
    auto amount = part[0] == '+' ? parse_number(part.substr(1, equals - 1)) : std::nullopt;
    if (!amount) return std::nullopt;
    record.open[*turn] = *amount;
  }
  return record;
}

bool is_expired(const program_record& record, std::int64_t wall) {
  return wall > record.last_changed + (record.open.empty() ? max_idle_age : max_open_age);
}

std::string program_key(const std::string& program) { return program_prefix + escape(program); }
std::string turn_key(const std::string& turn) { return turn_prefix + escape(turn); }

std::string to_text(const turn_record& record) {
  nlohmann::json line = {{"previous", record.previous.empty() ? std::string() : turn_key(record.previous)},
                         {"id", escape(record.id)},
                         {"kept_until", record.retained_until},
                         {"input", record.input.size()}};
  std::string out = line.dump();
  out.reserve(out.size() + 1 + record.input.size() + record.output.size());
  out.push_back('\n');
  out += record.input;
  out += record.output;
  return out;
}

std::optional<turn_record> turn_record_from_text(const std::string& text) {
  auto line = parse_first_line(text);
  auto begin = text.find('\n');
  if (!line.is_object() || begin == std::string::npos) return std::nullopt;
  ++begin;
  try {
    turn_record record;
    auto id = unescape(line.at("id").get<std::string>());
    auto previous = unescape(line.at("previous").get<std::string>());
    auto input = line.at("input").get<std::size_t>();
    if (!id || !previous || input > text.size() - begin) return std::nullopt;
    record.id = *id;
    if (!previous->empty()) {
      if (previous->rfind(turn_prefix, 0) != 0) return std::nullopt;
      record.previous = previous->substr(std::string(turn_prefix).size());
    }
    record.retained_until = line.at("kept_until").get<std::int64_t>();
    record.input = text.substr(begin, input);
    record.output = text.substr(begin + input);
    return record;
  } catch (const nlohmann::json::exception&) {
    // The text is another kind of record or was written by a later version.
    return std::nullopt;
  }
}

std::string previous_key_of(const std::string& text) {
  auto line = parse_first_line(text);
  if (!line.is_object() || !line.contains("previous") || !line["previous"].is_string()) return "";
  return line["previous"].get<std::string>();
}

std::optional<std::int64_t> retention_end_of(std::string_view text) {
  auto line = parse_first_line(text);
  if (!line.is_object() || !line.contains("kept_until") || !line["kept_until"].is_number_integer())
    return std::nullopt;
  return line["kept_until"].get<std::int64_t>();
}

}  // namespace herontally::ledger
