#include "mutation.h"

namespace herontally::input_fuzz {

namespace {

constexpr const char* nesting_placeholder = "<nested here>";

// Replaces the placeholder by nested lists or objects. This is done in the text, since the JSON library can't
// hold a value of such a depth.
std::string with_nesting(std::string text, std::size_t depth, bool lists) {
  std::string quoted = std::string("\"") + nesting_placeholder + "\"";
  auto at = text.find(quoted);
  if (at == std::string::npos) return text;
  std::string nested, open = lists ? "[" : "{\"a\":", close = lists ? "]" : "}";
  for (std::size_t level = 0; level < depth; ++level) nested += open;
  nested += "1";
  for (std::size_t level = 0; level < depth; ++level) nested += close;
  return text.replace(at, quoted.size(), nested);
}

}  // namespace

json mutator::unexpected_value() {
  switch (draw(14)) {
    case 0:
      return nullptr;
    case 1:
      return true;
    case 2:
      return 0;
    case 3:
      return -1;
    case 4:
      return std::numeric_limits<std::int64_t>::max();
    case 5:
      return std::numeric_limits<std::int64_t>::min();
    case 6:
      return std::numeric_limits<std::uint64_t>::max();
    case 7:
      return 1e308;
    case 8:
      return "";
    case 9:
      return std::string("a\0b", 3);
    case 10:
      return json::array();
    case 11:
      return json::object();
    case 12:
      return json{{"label", "odd"}};
    default:
      return json::array({json{{"label", draw(5)}}, "x", 1});
  }
}

std::string mutator::unexpected_number() {
  static const char* const numbers[] = {
      "0",    "-1",  "2000000000", "9223372036854775807",  "-9223372036854775808",
      "1e9",  "1.5", "",           "99999999999999999999", "+7",
      "0x10", " 12", "12 ",        "1000000000",           "4294967296"};
  return numbers[draw(std::size(numbers))];
}

// A random value inside the document, at any depth.
json* mutator::draw_value(json& document) {
  json* value = &document;
  while (value->is_structured() && !value->empty() && !one_in(4)) {
    auto entry = value->begin();
    std::advance(entry, static_cast<std::ptrdiff_t>(draw(value->size())));
    value = &*entry;
  }
  return value;
}

void mutator::mutate_value(json& value) {
  switch (draw(6)) {
    case 0:
      value = unexpected_value();
      break;
    case 1:
      value = nesting_placeholder;
      break;
    case 2:  // an element in place of its list, or a list in place of its element
      if (value.is_array() && !value.empty())
        value = json(value.front());
      else
        value = json::array({json(value)});
      break;
    case 3:
      if (value.is_object())
        value["odd"] = unexpected_value();
      else if (value.is_array())
        value.push_back(unexpected_value());
      else
        value = unexpected_value();
      break;
    case 4:
      if (value.is_array() && !value.empty()) value.push_back(json(value.front()));
      if (value.is_object() && !value.empty()) value.erase(value.begin().key());
      break;
    default:
      if (value.is_object()) value["label"] = unexpected_value();
      break;
  }
}

std::string mutator::document(json document) {
  for (auto changes = draw(4); changes > 0; --changes) mutate_value(*draw_value(document));
  static const std::size_t depths[] = {3, 60, 70, 1000, 200'000};
  auto text = document.dump(-1, ' ', false, json::error_handler_t::replace);
  text = with_nesting(std::move(text), depths[draw(std::size(depths))], one_in(2));
  return one_in(6) ? bytes(std::move(text)) : text;
}

std::string mutator::bytes(std::string bytes) {
  for (auto changes = 1 + draw(4); changes > 0; --changes) {
    auto at = bytes.empty() ? 0 : draw(bytes.size());
    switch (draw(5)) {
      case 0:
        if (!bytes.empty()) bytes[at] = static_cast<char>(draw(256));
        break;
      case 1:
        bytes.insert(at, 1 + draw(4), static_cast<char>(draw(256)));
        break;
      case 2:
        bytes.erase(at, 1 + draw(8));
        break;
      case 3:
        bytes.insert(at, bytes.substr(at, 1 + draw(32)));
        break;
      default:
        bytes.resize(at);
        break;
    }
  }
  return bytes;
}

}  // namespace herontally::input_fuzz
