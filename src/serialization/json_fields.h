// Converts structs to and from JSON with an explicit key for each member. Does not limit nesting.
//
// A struct that is stored on disk or sent to another node lists its members and their keys in a static
// `json_fields` function, from which the conversion is derived. Keys are part of the data format: a member
// may be renamed, but its key must not change.
//
//   struct member {
//     std::string name;
//     static constexpr auto json_fields() { return std::make_tuple(json_field(&member::name, "name")); }
//   };
//
// A field added by a later version can be a `json_field_when_set`. It is written only if it differs from its
// default, so that documents without it are written as by earlier versions.
//
// Reading throws nlohmann::json::out_of_range if a key is missing. If the struct declares
// `static constexpr bool missing_keys_allowed = true`, a missing key sets the member to its default instead.
#pragma once
#include <nlohmann/json.hpp>
#include <tuple>

namespace herontally::serialization {

// A member and its JSON key.
template <class Struct, class Value>
struct json_field {
  Value Struct::*member;
  const char* key;
  constexpr json_field(Value Struct::*member_pointer, const char* json_key)
      : member(member_pointer), key(json_key) {}
};

// A member that is written only if it differs from its default.
template <class Struct, class Value>
struct json_field_when_set {
  Value Struct::*member;
  const char* key;
  constexpr json_field_when_set(Value Struct::*member_pointer, const char* json_key)
      : member(member_pointer), key(json_key) {}
};

// Defines `json_fields` inside a struct whose members' names are their keys and must not change.
#define HERONTALLY_JSON_FIELD(member) ::herontally::serialization::json_field(&json_struct::member, #member),
#define HERONTALLY_JSON_FIELDS(Struct, ...)                                                           \
  static constexpr auto json_fields() {                                                               \
    using json_struct = Struct;                                                                       \
    return std::tuple{NLOHMANN_JSON_EXPAND(NLOHMANN_JSON_PASTE(HERONTALLY_JSON_FIELD, __VA_ARGS__))}; \
  }

template <class Struct>
concept has_json_fields = requires {
  Struct::json_fields();
};

template <class Struct>
concept allows_missing_keys = has_json_fields<Struct> && Struct::missing_keys_allowed;

}  // namespace herontally::serialization

template <class Struct>
requires herontally::serialization::has_json_fields<Struct>
struct nlohmann::adl_serializer<Struct, void> {
  template <class Json>
  static void to_json(Json& document, const Struct& from) {
    document = Json::object();
    std::apply([&](const auto&... field) { (write_field(document, field, from), ...); },
               Struct::json_fields());
  }

  template <class Json>
  static void from_json(const Json& document, Struct& to) {
    std::apply([&](const auto&... field) { (read_field(document, field, to), ...); }, Struct::json_fields());
  }

 private:
  template <class Json, class Value>
  static void write_field(Json& document, const herontally::serialization::json_field<Struct, Value>& field,
                          const Struct& from) {
    document[field.key] = from.*(field.member);
  }
  template <class Json, class Value>
  static void write_field(Json& document,
                          const herontally::serialization::json_field_when_set<Struct, Value>& field,
                          const Struct& from) {
    static const Struct defaults{};
    if (!(from.*(field.member) == defaults.*(field.member))) document[field.key] = from.*(field.member);
  }
  template <class Json, class Field>
  static void read_field(const Json& document, const Field& field, Struct& to) {
    if constexpr (herontally::serialization::allows_missing_keys<Struct>) {
      static const Struct defaults{};
      to.*(field.member) = document.value(field.key, defaults.*(field.member));
    } else {
      document.at(field.key).get_to(to.*(field.member));
    }
  }
};
