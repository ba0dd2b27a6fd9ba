// Words that stand for the values of an enumeration, in JSON and in messages alike.
//
// A function `enum_words(Enum)` beside the enumeration lists them. The first entry is the value that every
// unknown word is read as; a value without a word is written as JSON null, and can't be sent in a message.
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
  const char* word;  // nullptr: none
};

template <class Enum>
concept has_enum_words = requires(Enum value) {
  enum_words(value);
};

// nullptr if the value has no word.
template <has_enum_words Enum>
const char* word_of(Enum value) {
  static constexpr auto words = enum_words(Enum{});
  for (auto& each : words)
    if (each.value == value) return each.word;
  return nullptr;
}

template <has_enum_words Enum>
Enum value_of_word(std::string_view word) {
  static constexpr auto words = enum_words(Enum{});
  for (auto& each : words)
    if (each.word && each.word == word) return each.value;
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
