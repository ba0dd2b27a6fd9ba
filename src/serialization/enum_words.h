// Maps the values of an enumeration to their names in JSON and in messages, which are part of the formats.
//
// A function `enum_words(Enum)` in the enumeration's namespace lists them. An unknown name is read as the
// value of the first entry. A value without a name is written as JSON null and can't be sent in a message.
//
//   enum class color { unrecognized, red };
//   HERONTALLY_ENUM_WORDS(color, {{color::unrecognized, nullptr}, {color::red, "red"}})
#pragma once
#include <array>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace herontally::serialization {

template <class Enum>
struct enum_word {
  Enum value;
  const char* word;  // the name; nullptr if the value has none
};

template <class Enum>
concept has_enum_words = requires(Enum value) {
  enum_words(value);
};

// Returns the name of a value, or nullptr if it has none.
template <has_enum_words Enum>
const char* word_of(Enum value) {
  static constexpr auto words = enum_words(Enum{});
  for (auto& entry : words)
    if (entry.value == value) return entry.word;
  return nullptr;
}

template <has_enum_words Enum>
Enum value_of_word(std::string_view word) {
  static constexpr auto words = enum_words(Enum{});
  for (auto& entry : words)
    if (entry.word && entry.word == word) return entry.value;
  return words.front().value;
}

}  // namespace herontally::serialization

#define HERONTALLY_ENUM_WORDS(Enum, ...)                                             \
  constexpr auto enum_words(Enum) {                                                  \
    return std::to_array<::herontally::serialization::enum_word<Enum>>(__VA_ARGS__); \
  }

template <class Enum>
requires herontally::serialization::has_enum_words<Enum>
struct nlohmann::adl_serializer<Enum, void> {
  template <class Json>
  static void to_json(Json& document, const Enum& from) {
    if (auto* word = herontally::serialization::word_of(from))
      document = word;
    else
      document = nullptr;
  }

  template <class Json>
  static void from_json(const Json& document, Enum& to) {
    to = herontally::serialization::value_of_word<Enum>(
        document.is_string() ? document.template get_ref<const std::string&>() : std::string());
  }
};
