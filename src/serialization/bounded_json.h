// Parses JSON from outside this process (operators, clients, engines, the platform) with a limit on nesting.
//
// The parser doesn't recurse, but copying, comparing and serializing a document do, so a document that is
// nested deeply enough overflows the stack of the code that handles it next. All such documents must be
// parsed here. Neither the length of the text nor the members of the document are checked.
#pragma once
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

namespace herontally::serialization {

// Maximum nesting of objects and arrays in a document from outside.
constexpr int max_document_depth = 64;

// Maximum nesting of a record that is stored or sent between nodes, which may contain such a document.
constexpr int max_record_depth = max_document_depth + 16;

// Returns the document, or nullopt if the text is not valid JSON or is nested deeper than `max_depth`.
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

// As `parse_bounded`, but also returns nullopt if the document is not an object.
template <class Json = nlohmann::json>
std::optional<Json> parse_bounded_object(std::string_view text, int max_depth = max_document_depth) {
  auto document = parse_bounded<Json>(text, max_depth);
  if (!document || !document->is_object()) return std::nullopt;
  return document;
}

// Returns a string member of `object`, or `missing` if there is no such member or it is not a string.
inline std::string text_member(const nlohmann::json& object, const char* name, const char* missing = "") {
  if (!object.is_object()) return missing;
  auto found = object.find(name);
  return found != object.end() && found->is_string() ? found->get<std::string>() : missing;
}

}  // namespace herontally::serialization
