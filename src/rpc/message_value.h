// Lets avro-c read and write typed messages in place.
//
// avro-c reaches a value through a table of calls, its value interface. A `value_class` is such a table for
// one C++ type as one schema describes it: a struct that lists its members is a record, a vector an array, an
// enumeration the word that stands for its value. Nothing lies between the struct and the bytes. Internal to
// the rpc package.
#pragma once
#include <avro.h>

#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <optional>
#include <string>
#include <type_traits>
#include <vector>

#include "serialization/enum_words.h"
#include "serialization/json_fields.h"

namespace herontally::rpc {

struct record_field;

struct value_class {
  // First, since avro-c hands its address to each call.
  avro_value_iface_t calls{};
  std::vector<record_field> fields;  // of a record
  std::vector<value_class> items;    // of an array: the class of its items
};

// A member of a struct, at the place that the schema gives it.
struct record_field {
  std::size_t offset = 0;  // of the member in its struct
  value_class type;
};

// The bytes of a value; nothing if it holds what can't be sent: a text with a zero byte, or a value of an
// enumeration that has no word.
std::optional<std::string> write_value(const value_class& type, const void* object);
// Reads a value from the front of `bytes` into a new object; false if they hold none.
bool read_value(const value_class& type, const std::string& bytes, void* object);

// Classes of the basic types.
value_class boolean_class();
value_class integer_class();
value_class long_class();
value_class string_class();
value_class bytes_class();
value_class record_class();

namespace message_value {

// From outside a list may name any length.
constexpr std::size_t max_array_length = 200000;

inline const value_class& class_behind(const avro_value_iface_t* calls) {
  return *reinterpret_cast<const value_class*>(calls);
}

inline avro_value_t value_of(const value_class& type, void* object) {
  return {const_cast<avro_value_iface_t*>(&type.calls), object};
}

// A message whose struct doesn't fit the schema is a fault of the build.
inline void require(bool fits) {
  if (!fits) std::abort();
}

inline avro_schema_t resolved(avro_schema_t schema) {
  return is_avro_link(schema) ? avro_schema_link_target(schema) : schema;
}

template <class Type>
struct array_calls;
template <class Type>
struct array_calls<std::vector<Type>> {
  using list = std::vector<Type>;

  static int get_size(const avro_value_iface_t*, const void* object, std::size_t* size) {
    *size = static_cast<const list*>(object)->size();
    return 0;
  }
  static int get_by_index(const avro_value_iface_t* calls, const void* object, std::size_t index,
                          avro_value_t* child, const char**) {
    auto& items = *static_cast<list*>(const_cast<void*>(object));
    if (index >= items.size()) return EINVAL;
    *child = value_of(class_behind(calls).items.front(), &items[index]);
    return 0;
  }
  static int append(const avro_value_iface_t* calls, void* object, avro_value_t* child, std::size_t* index) {
    auto& items = *static_cast<list*>(object);
    if (items.size() >= max_array_length) return EINVAL;
    if (index) *index = items.size();
    items.emplace_back();
    *child = value_of(class_behind(calls).items.front(), &items.back());
    return 0;
  }
};

template <class Enum>
struct enum_calls {
  static int get_string(const avro_value_iface_t*, const void* object, const char** text, std::size_t* size) {
    *text = serialization::word_of(*static_cast<const Enum*>(object));
    if (!*text) return EINVAL;
    *size = std::strlen(*text) + 1;
    return 0;
  }
  static int give_string(const avro_value_iface_t*, void* object, avro_wrapped_buffer_t* text) {
    auto* letters = static_cast<const char*>(text->buf);
    if (text->size > 0)
      *static_cast<Enum*>(object) =
          serialization::value_of_word<Enum>(std::string_view(letters, text->size - 1));
    int result = text->size > 0 ? 0 : EINVAL;
    avro_wrapped_buffer_free(text);
    return result;
  }
};

template <class Type>
constexpr bool is_vector = false;
template <class Item>
constexpr bool is_vector<std::vector<Item>> = true;

template <class Type>
value_class make_class(avro_schema_t schema);

template <class Struct, class Field>
std::size_t offset_of(const Field& field) {
  static const Struct sample{};
  return static_cast<std::size_t>(reinterpret_cast<const char*>(&(sample.*field.member)) -
                                  reinterpret_cast<const char*>(&sample));
}

template <class Value, class Struct>
record_field make_field(const serialization::json_field<Struct, Value>& field, avro_schema_t schema) {
  return {offset_of<Struct>(field), make_class<Value>(schema)};
}

// The members in the order of the schema's fields; a member that this version of the schema lacks is left
// out.
template <class Struct>
value_class make_record_class(avro_schema_t schema) {
  require(is_avro_record(schema));
  value_class made = record_class();
  for (std::size_t index = 0; index < avro_schema_record_size(schema); ++index) {
    const char* name = avro_schema_record_field_name(schema, static_cast<int>(index));
    avro_schema_t field_schema =
        resolved(avro_schema_record_field_get_by_index(schema, static_cast<int>(index)));
    auto add_if_named = [&](const auto& field) {
      if (std::strcmp(field.key, name) == 0) made.fields.push_back(make_field(field, field_schema));
    };
    std::apply([&](const auto&... field) { (add_if_named(field), ...); }, Struct::json_fields());
    require(made.fields.size() == index + 1);
  }
  return made;
}

template <class List>
value_class make_array_class(avro_schema_t schema) {
  require(is_avro_array(schema));
  value_class made;
  made.calls.get_type = [](const avro_value_iface_t*, const void*) { return AVRO_ARRAY; };
  made.calls.get_size = array_calls<List>::get_size;
  made.calls.get_by_index = array_calls<List>::get_by_index;
  made.calls.append = array_calls<List>::append;
  made.items.push_back(make_class<typename List::value_type>(resolved(avro_schema_array_items(schema))));
  return made;
}

template <class Enum>
value_class make_enum_class(avro_schema_t schema) {
  require(is_avro_string(schema));
  value_class made = string_class();
  made.calls.get_string = enum_calls<Enum>::get_string;
  made.calls.give_string_len = enum_calls<Enum>::give_string;
  return made;
}

template <class Type>
value_class make_class(avro_schema_t schema) {
  if constexpr (std::is_same_v<Type, std::string>) {
    require(is_avro_string(schema) || is_avro_bytes(schema));
    return is_avro_string(schema) ? string_class() : bytes_class();
  } else if constexpr (std::is_same_v<Type, bool>) {
    require(is_avro_boolean(schema));
    return boolean_class();
  } else if constexpr (std::is_same_v<Type, std::int32_t>) {
    require(is_avro_int32(schema));
    return integer_class();
  } else if constexpr (std::is_same_v<Type, std::int64_t>) {
    require(is_avro_int64(schema));
    return long_class();
  } else if constexpr (is_vector<Type>) {
    return make_array_class<Type>(schema);
  } else if constexpr (std::is_enum_v<Type>) {
    return make_enum_class<Type>(schema);
  } else {
    return make_record_class<Type>(schema);
  }
}

}  // namespace message_value

}  // namespace herontally::rpc
