#include "rpc/message_value.h"

#include <cerrno>
#include <cstddef>

namespace herontally::rpc {

namespace {

using value_interface = avro_value_iface_t;

static_assert(std::is_standard_layout_v<value_class>, "the value interface must be the first member");
static_assert(offsetof(value_class, interface) == 0);

int do_not_reset(const value_interface*, void*) { return 0; }

template <class Type>
int get_number(const value_interface*, const void* object, Type* out) {
  *out = *static_cast<const Type*>(object);
  return 0;
}

template <class Type>
int set_number(const value_interface*, void* object, Type value) {
  *static_cast<Type*>(object) = value;
  return 0;
}

int get_boolean(const value_interface*, const void* object, int* out) {
  *out = *static_cast<const bool*>(object) ? 1 : 0;
  return 0;
}

int set_boolean(const value_interface*, void* object, int value) {
  *static_cast<bool*>(object) = value != 0;
  return 0;
}

// avro-c counts the terminating zero in a string's length and writes a string only up to its first zero byte,
// so a string with a zero byte is refused.
int get_string(const value_interface*, const void* object, const char** text, std::size_t* size) {
  auto& value = *static_cast<const std::string*>(object);
  if (value.find('\0') != std::string::npos) return EINVAL;
  *text = value.c_str();
  *size = value.size() + 1;
  return 0;
}

int give_string(const value_interface*, void* object, avro_wrapped_buffer_t* text) {
  bool valid = text->size > 0;
  if (valid) static_cast<std::string*>(object)->assign(static_cast<const char*>(text->buf), text->size - 1);
  avro_wrapped_buffer_free(text);
  return valid ? 0 : EINVAL;
}

int get_bytes(const value_interface*, const void* object, const void** bytes, std::size_t* size) {
  auto& value = *static_cast<const std::string*>(object);
  *bytes = value.data();
  *size = value.size();
  return 0;
}

int give_bytes(const value_interface*, void* object, avro_wrapped_buffer_t* bytes) {
  static_cast<std::string*>(object)->assign(static_cast<const char*>(bytes->buf), bytes->size);
  avro_wrapped_buffer_free(bytes);
  return 0;
}

int get_record_size(const value_interface* record, const void*, std::size_t* size) {
  *size = message_value::class_of_interface(record).fields.size();
  return 0;
}

int get_field(const value_interface* record, const void* object, std::size_t index, avro_value_t* child,
              const char**) {
  auto& fields = message_value::class_of_interface(record).fields;
  if (index >= fields.size()) return EINVAL;
  auto* member = static_cast<char*>(const_cast<void*>(object)) + fields[index].offset;
  *child = message_value::make_value(fields[index].type, member);
  return 0;
}

template <avro_type_t Type>
value_class class_with_type() {
  value_class result;
  result.interface.get_type = [](const value_interface*, const void*) { return Type; };
  result.interface.reset = do_not_reset;
  return result;
}

}  // namespace

value_class boolean_class() {
  value_class result = class_with_type<AVRO_BOOLEAN>();
  result.interface.get_boolean = get_boolean;
  result.interface.set_boolean = set_boolean;
  return result;
}

value_class integer_class() {
  value_class result = class_with_type<AVRO_INT32>();
  result.interface.get_int = get_number<std::int32_t>;
  result.interface.set_int = set_number<std::int32_t>;
  return result;
}

value_class long_class() {
  value_class result = class_with_type<AVRO_INT64>();
  result.interface.get_long = get_number<std::int64_t>;
  result.interface.set_long = set_number<std::int64_t>;
  return result;
}

value_class string_class() {
  value_class result = class_with_type<AVRO_STRING>();
  result.interface.get_string = get_string;
  result.interface.give_string_len = give_string;
  return result;
}

value_class bytes_class() {
  value_class result = class_with_type<AVRO_BYTES>();
  result.interface.get_bytes = get_bytes;
  result.interface.give_bytes = give_bytes;
  return result;
}

value_class record_class() {
  value_class result = class_with_type<AVRO_RECORD>();
  // avro-c asks for a record's schema only to skip a field, and no field is skipped here.
  result.interface.get_schema = [](const value_interface*, const void*) -> avro_schema_t { return nullptr; };
  result.interface.get_size = get_record_size;
  result.interface.get_by_index = get_field;
  return result;
}

std::optional<std::string> write_value(const value_class& type, const void* object) {
  static avro_writer_t writer = avro_writer_memory("", 0);
  auto value = message_value::make_value(type, const_cast<void*>(object));
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
  auto value = message_value::make_value(type, object);
  return avro_value_read(reader, &value) == 0;
}

}  // namespace herontally::rpc
