#include "rpc/message_value.h"

#include <cerrno>
#include <cstddef>

namespace herontally::rpc {

namespace {

using calls = avro_value_iface_t;

static_assert(std::is_standard_layout_v<value_class>, "avro-c's table of calls is the class's first member");
static_assert(offsetof(value_class, calls) == 0);

int reset_nothing(const calls*, void*) { return 0; }

template <class Type>
int get_number(const calls*, const void* object, Type* out) {
  *out = *static_cast<const Type*>(object);
  return 0;
}

template <class Type>
int set_number(const calls*, void* object, Type value) {
  *static_cast<Type*>(object) = value;
  return 0;
}

int get_boolean(const calls*, const void* object, int* out) {
  *out = *static_cast<const bool*>(object) ? 1 : 0;
  return 0;
}

int set_boolean(const calls*, void* object, int value) {
  *static_cast<bool*>(object) = value != 0;
  return 0;
}

// avro-c counts the closing zero in a string's length, and writes a string up to its first zero.
int get_string(const calls*, const void* object, const char** text, std::size_t* size) {
  auto& value = *static_cast<const std::string*>(object);
  if (value.find('\0') != std::string::npos) return EINVAL;
  *text = value.c_str();
  *size = value.size() + 1;
  return 0;
}

int give_string(const calls*, void* object, avro_wrapped_buffer_t* text) {
  bool whole = text->size > 0;
  if (whole) static_cast<std::string*>(object)->assign(static_cast<const char*>(text->buf), text->size - 1);
  avro_wrapped_buffer_free(text);
  return whole ? 0 : EINVAL;
}

int get_bytes(const calls*, const void* object, const void** bytes, std::size_t* size) {
  auto& value = *static_cast<const std::string*>(object);
  *bytes = value.data();
  *size = value.size();
  return 0;
}

int give_bytes(const calls*, void* object, avro_wrapped_buffer_t* bytes) {
  static_cast<std::string*>(object)->assign(static_cast<const char*>(bytes->buf), bytes->size);
  avro_wrapped_buffer_free(bytes);
  return 0;
}

int get_record_size(const calls* record, const void*, std::size_t* size) {
  *size = message_value::class_behind(record).fields.size();
  return 0;
}

int get_field(const calls* record, const void* object, std::size_t index, avro_value_t* child, const char**) {
  auto& fields = message_value::class_behind(record).fields;
  if (index >= fields.size()) return EINVAL;
  auto* place = static_cast<char*>(const_cast<void*>(object)) + fields[index].offset;
  *child = message_value::value_of(fields[index].type, place);
  return 0;
}

template <avro_type_t Type>
value_class class_of_type() {
  value_class made;
  made.calls.get_type = [](const calls*, const void*) { return Type; };
  made.calls.reset = reset_nothing;
  return made;
}

}  // namespace

value_class boolean_class() {
  value_class made = class_of_type<AVRO_BOOLEAN>();
  made.calls.get_boolean = get_boolean;
  made.calls.set_boolean = set_boolean;
  return made;
}

value_class integer_class() {
  value_class made = class_of_type<AVRO_INT32>();
  made.calls.get_int = get_number<std::int32_t>;
  made.calls.set_int = set_number<std::int32_t>;
  return made;
}

value_class long_class() {
  value_class made = class_of_type<AVRO_INT64>();
  made.calls.get_long = get_number<std::int64_t>;
  made.calls.set_long = set_number<std::int64_t>;
  return made;
}

value_class string_class() {
  value_class made = class_of_type<AVRO_STRING>();
  made.calls.get_string = get_string;
  made.calls.give_string_len = give_string;
  return made;
}

value_class bytes_class() {
  value_class made = class_of_type<AVRO_BYTES>();
  made.calls.get_bytes = get_bytes;
  made.calls.give_bytes = give_bytes;
  return made;
}

value_class record_class() {
  value_class made = class_of_type<AVRO_RECORD>();
  // A record's schema is asked for only where a field is to be skipped, and none is.
  made.calls.get_schema = [](const calls*, const void*) -> avro_schema_t { return nullptr; };
  made.calls.get_size = get_record_size;
  made.calls.get_by_index = get_field;
  return made;
}

std::optional<std::string> write_value(const value_class& type, const void* object) {
  static avro_writer_t writer = avro_writer_memory("", 0);
  auto value = message_value::value_of(type, const_cast<void*>(object));
  std::size_t size = 0;
  if (avro_value_sizeof(&value, &size) != 0) return std::nullopt;
  std::string bytes(size, '\0');
  avro_writer_memory_set_dest(writer, bytes.data(), static_cast<std::int64_t>(size));
  if (avro_value_write(writer, &value) != 0) return std::nullopt;
  return bytes;
}

bool read_value(const value_class& type, const std::string& bytes, void* object) {
  static avro_reader_t reader = avro_reader_memory("", 0);
  avro_reader_memory_set_source(reader, bytes.data(), static_cast<std::int64_t>(bytes.size()));
  auto value = message_value::value_of(type, object);
  return avro_value_read(reader, &value) == 0;
}

}  // namespace herontally::rpc
