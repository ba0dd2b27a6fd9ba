// Lets avro-c read and write the members of C++ structs directly, without an intermediate copy.
//
// avro-c accesses a value through a table of functions, its value interface (`avro_value_iface_t`). A
// `value_class` is such a table for one C++ type as described by one schema: a struct with `json_fields` is a
// record, a vector is an array, and an enum is the string that names its value on the wire. Internal to the
// rpc package; callers use rpc/codec.h.
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

// The value interface of one C++ type, and what its functions need to know of that type.
struct value_class {
  // The first member: avro-c passes its address to each function, and `class_of_interface` casts it back.
  avro_value_iface_t interface {};
  std::vector<record_field> fields;  // of a record
  std::vector<value_class> items;    // of an array: the class of its items
};

// One field of a record, stored in a member of a struct.
struct record_field {
  std::size_t offset = 0;  // of the member in its struct
  value_class type;
};

// Encodes a value. Returns nullopt if it can't be encoded: a string with a zero byte, or an enum value that
// has no name on the wire. Not thread-safe: all calls share one writer.
std::optional<std::string> write_value(const value_class& type, const void* object);
// Decodes a value from the start of `bytes` into a default-constructed object and ignores the bytes after it;
// false if the bytes hold no such value. Not thread-safe: all calls share one reader.
bool read_value(const value_class& type, const std::string& bytes, void* object);

// Value classes of the basic types. That of a record has no fields yet.
value_class boolean_class();
value_class integer_class();
value_class long_class();
value_class string_class();
value_class bytes_class();
value_class record_class();

namespace message_value {

// Bounds the memory that a message with a forged array length can take.
constexpr std::size_t max_array_length = 200000;

// The value class whose `interface` is passed to one of avro-c's functions.
inline const value_class& class_of_interface(const avro_value_iface_t* interface) {
  return *reinterpret_cast<const value_class*>(interface);
}

// The handle through which avro-c accesses `object`.
inline avro_value_t make_value(const value_class& type, void* object) {
  return {const_cast<avro_value_iface_t*>(&type.interface), object};
}

// Aborts if a struct doesn't fit the schema: both are compiled into the program, so that is a build error.
inline void abort_unless(bool condition) {
  if (!condition) std::abort();
}

// The schema that a link (a reference to a named type) refers to.
inline avro_schema_t resolve_link(avro_schema_t schema) {
  return is_avro_link(schema) ? avro_schema_link_target(schema) : schema;
}

// avro-c's functions for a vector.
template <class Type>
struct array_functions;
template <class Type>
struct array_functions<std::vector<Type>> {
  using vector_type = std::vector<Type>;

  static int get_size(const avro_value_iface_t*, const void* object, std::size_t* size) {
    *size = static_cast<const vector_type*>(object)->size();
    return 0;
  }
  static int get_by_index(const avro_value_iface_t* interface, const void* object, std::size_t index,
                          avro_value_t* child, const char**) {
    auto& items = *static_cast<vector_type*>(const_cast<void*>(object));
    if (index >= items.size()) return EINVAL;
    *child = make_value(class_of_interface(interface).items.front(), &items[index]);
    return 0;
  }
  static int append(const avro_value_iface_t* interface, void* object, avro_value_t* child,
                    std::size_t* index) {
    auto& items = *static_cast<vector_type*>(object);
    if (items.size() >= max_array_length) return EINVAL;
    if (index) *index = items.size();
    items.emplace_back();
    *child = make_value(class_of_interface(interface).items.front(), &items.back());
    return 0;
  }
};

// avro-c's functions for an enum, which the schema has as a string.
template <class Enum>
struct enum_functions {
  static int get_string(const avro_value_iface_t*, const void* object, const char** text, std::size_t* size) {
    *text = serialization::word_of(*static_cast<const Enum*>(object));
    if (!*text) return EINVAL;
    *size = std::strlen(*text) + 1;
    return 0;
  }
  static int give_string(const avro_value_iface_t*, void* object, avro_wrapped_buffer_t* text) {
    auto* characters = static_cast<const char*>(text->buf);
    if (text->size > 0)
      *static_cast<Enum*>(object) =
          serialization::value_of_word<Enum>(std::string_view(characters, text->size - 1));
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

// The offset of a member. `offsetof` takes no pointer to member.
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

// Lists the members in the order of the schema's fields. Members that this version of the schema doesn't have
// are left out.
template <class Struct>
value_class make_record_class(avro_schema_t schema) {
  abort_unless(is_avro_record(schema));
  value_class result = record_class();
  for (std::size_t index = 0; index < avro_schema_record_size(schema); ++index) {
    const char* name = avro_schema_record_field_name(schema, static_cast<int>(index));
    avro_schema_t field_schema =
        resolve_link(avro_schema_record_field_get_by_index(schema, static_cast<int>(index)));
    auto add_if_named = [&](const auto& field) {
      if (std::strcmp(field.key, name) == 0) result.fields.push_back(make_field(field, field_schema));
    };
    std::apply([&](const auto&... field) { (add_if_named(field), ...); }, Struct::json_fields());
    abort_unless(result.fields.size() == index + 1);
  }
  return result;
}

template <class List>
value_class make_array_class(avro_schema_t schema) {
  abort_unless(is_avro_array(schema));
  value_class result;
  result.interface.get_type = [](const avro_value_iface_t*, const void*) { return AVRO_ARRAY; };
  result.interface.get_size = array_functions<List>::get_size;
  result.interface.get_by_index = array_functions<List>::get_by_index;
  result.interface.append = array_functions<List>::append;
  result.items.push_back(
      make_class<typename List::value_type>(resolve_link(avro_schema_array_items(schema))));
  return result;
}

template <class Enum>
value_class make_enum_class(avro_schema_t schema) {
  abort_unless(is_avro_string(schema));
  value_class result = string_class();
  result.interface.get_string = enum_functions<Enum>::get_string;
  result.interface.give_string_len = enum_functions<Enum>::give_string;
  return result;
}

template <class Type>
value_class make_class(avro_schema_t schema) {
  if constexpr (std::is_same_v<Type, std::string>) {
    abort_unless(is_avro_string(schema) || is_avro_bytes(schema));
    return is_avro_string(schema) ? string_class() : bytes_class();
  } else if constexpr (std::is_same_v<Type, bool>) {
    abort_unless(is_avro_boolean(schema));
    return boolean_class();
  } else if constexpr (std::is_same_v<Type, std::int32_t>) {
    abort_unless(is_avro_int32(schema));
    return integer_class();
  } else if constexpr (std::is_same_v<Type, std::int64_t>) {
    abort_unless(is_avro_int64(schema));
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
