// Parses JSON documents that come from outside this process: operators, clients, engines, the platform.
//
// The parser itself works without recursion, but copying, comparing and writing a document descend into it,
// so that a document nested deeply enough exhausts the stack of whoever handles it next. Every such document
// is parsed here.
#pragma once
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

namespace herontally::serialization {

// Levels of objects and arrays inside each other.
constexpr int max_document_depth = 64;

// Of a record that is stored, or sent between nodes: it may hold such a document.
constexpr int max_record_depth = max_document_depth + 16;

// The document; nothing for a text that is no JSON, or is nested deeper than `max_depth`.
template <class Json = nlohmann::json>
std::optional<Json> parse_bounded(std::string_view text, int max_depth = max_document_depth) {
  struct too_deep {};
  auto check_depth = [max_depth](int depth, typename Json::parse_event_t, Json&) {
    if (depth > max_depth) throw too_deep{};
    return true;
  };
  try {
    auto document = Json::parse(text, check_depth, false);
    if (document.is_discarded()) return std::nullopt;
    return document;
  } catch (const too_deep&) {
    return std::nullopt;
  }
}

// The document if it is an object.
template <class Json = nlohmann::json>
std::optional<Json> parse_bounded_object(std::string_view text, int max_depth = max_document_depth) {
  auto document = parse_bounded<Json>(text, max_depth);
  if (!document || !document->is_object()) return std::nullopt;
  return document;
}

// A text member of an object; `missing` where there is none of that type.
inline std::string text_member(const nlohmann::json& object, const char* name, const char* missing = "") {
  if (!object.is_object()) return missing;
  auto found = object.find(name);
  return found != object.end() && found->is_string() ? found->get<std::string>() : missing;
}

}  // namespace herontally::serialization
