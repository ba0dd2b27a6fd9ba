#include "ledger/program_record.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace herontally::ledger {

namespace {
constexpr std::int64_t second = 1000000;
constexpr std::int64_t max_idle_age = 180 * second;
// A reservation may be of a turn that still runs; one that its node left behind goes with the record in the
// end.
constexpr std::int64_t max_open_age = 900 * second;
constexpr std::size_t max_settled = 16;

// Ids are bytes of others: keys, lines and JSON only get plain letters of them.
std::string escaped(const std::string& text) {
  static const char digits[] = "0123456789abcdef";
  std::string out;
  for (unsigned char letter : text) {
    if (letter > 0x20 && letter < 0x7f && letter != '%' && letter != '"' && letter != '\\') {
      out.push_back(static_cast<char>(letter));
    } else {
      out += {'%', digits[letter >> 4], digits[letter & 15]};
    }
  }
  return out;
}
std::optional<std::string> unescaped(const std::string& text) {
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
nlohmann::json first_line(std::string_view text) {
  return nlohmann::json::parse(
      text.begin(), text.begin() + static_cast<std::ptrdiff_t>(std::min(text.find('\n'), text.size())),
      nullptr, false);
}
}  // namespace

// "1 spent changed (turn=amount | -turn)*": a later form begins with another number.
std::string to_text(const program_record& content) {
  std::string out = "1 " + std::to_string(content.spent) + " " + std::to_string(content.changed);
  for (auto& [turn, amount] : content.open) out += " +" + std::to_string(amount) + "=" + escaped(turn);
  std::size_t skipped = content.settled.size() > max_settled ? content.settled.size() - max_settled : 0;
  for (auto position = skipped; position < content.settled.size(); ++position)
    out += " -" + escaped(content.settled[position]);
  return out;
}

std::optional<program_record> program_record_from_text(const std::string& text) {
  auto parts = split_at_spaces(text);
  if (parts.size() < 3 || parts[0] != "1") return std::nullopt;
  program_record content;
  auto spent = parse_number(parts[1]), changed = parse_number(parts[2]);
  if (!spent || !changed) return std::nullopt;
  content.spent = *spent;
  content.changed = *changed;
  for (std::size_t position = 3; position < parts.size(); ++position) {
    auto& part = parts[position];
    if (part.empty()) return std::nullopt;
    auto equals = part[0] == '+' ? part.find('=') : 0;
    if (equals == std::string::npos) return std::nullopt;
    auto turn = unescaped(part.substr(equals + 1));
    if (!turn) return std::nullopt;
    if (part[0] == '-') {
      content.settled.push_back(*turn);
      continue;
    }
    auto amount = part[0] == '+' ? parse_number(part.substr(1, equals - 1)) : std::nullopt;
    if (!amount) return std::nullopt;
    content.open[*turn] = *amount;
  }
  return content;
}

bool is_expired(const program_record& content, std::int64_t wall) {
  return wall > content.changed + (content.open.empty() ? max_idle_age : max_open_age);
}

std::string program_key(const std::string& program) { return program_prefix + escaped(program); }
std::string turn_key(const std::string& turn) { return turn_prefix + escaped(turn); }

std::string to_text(const turn_record& content) {
  nlohmann::json line = {{"previous", content.previous.empty() ? std::string() : turn_key(content.previous)},
                         {"id", escaped(content.id)},
                         {"kept_until", content.kept_until},
                         {"input", content.input.size()}};
  std::string out = line.dump();
  out.reserve(out.size() + 1 + content.input.size() + content.output.size());
  out.push_back('\n');
  out += content.input;
  out += content.output;
  return out;
}

std::optional<turn_record> turn_record_from_text(const std::string& text) {
  auto line = first_line(text);
  auto begin = text.find('\n');
  if (!line.is_object() || begin == std::string::npos) return std::nullopt;
  ++begin;
  try {
    turn_record content;
    auto id = unescaped(line.at("id").get<std::string>());
    auto previous = unescaped(line.at("previous").get<std::string>());
    auto input = line.at("input").get<std::size_t>();
    if (!id || !previous || input > text.size() - begin) return std::nullopt;
    content.id = *id;
    if (!previous->empty()) {
      if (previous->rfind(turn_prefix, 0) != 0) return std::nullopt;
      content.previous = previous->substr(std::string(turn_prefix).size());
    }
    content.kept_until = line.at("kept_until").get<std::int64_t>();
    content.input = text.substr(begin, input);
    content.output = text.substr(begin + input);
    return content;
  } catch (const nlohmann::json::exception&) {
    // Another record, or a later version's: as good as none.
    return std::nullopt;
  }
}

std::string previous_key_of(const std::string& text) {
  auto line = first_line(text);
  if (!line.is_object() || !line.contains("previous") || !line["previous"].is_string()) return "";
  return line["previous"].get<std::string>();
}

std::optional<std::int64_t> kept_until_of(std::string_view text) {
  auto line = first_line(text);
  if (!line.is_object() || !line.contains("kept_until") || !line["kept_until"].is_number_integer())
    return std::nullopt;
  return line["kept_until"].get<std::int64_t>();
}

}  // namespace herontally::ledger
