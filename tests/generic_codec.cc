#include "generic_codec.h"

#include <avro.h>

#include <optional>

#include "rpc/schema_table.h"
#include "schema_inner.h"

namespace herontally::tests {

namespace {

constexpr std::size_t max_depth = 16;
constexpr std::size_t max_array_length = 200000;

bool write(avro_value_t* out, const json& value);

bool write_record(avro_value_t* out, const json& value) {
  if (!value.is_object()) return false;
  std::size_t count = 0;
  avro_value_get_size(out, &count);
  for (std::size_t index = 0; index < count; ++index) {
    avro_value_t field;
    const char* name = nullptr;
    if (avro_value_get_by_index(out, index, &field, &name) != 0) return false;
    auto found = value.find(name);
    if (found == value.end() || !write(&field, *found)) return false;
  }
  return true;
}

bool write(avro_value_t* out, const json& value) {
  switch (avro_value_get_type(out)) {
    case AVRO_RECORD:
      return write_record(out, value);
    case AVRO_STRING: {
      if (!value.is_string()) return false;
      auto& text = value.get_ref<const std::string&>();
      // avro-c counts the terminating zero in a string's length.
      return text.find('\0') == std::string::npos &&
             avro_value_set_string_len(out, text.c_str(), text.size() + 1) == 0;
    }
    case AVRO_BYTES: {
      if (!value.is_string()) return false;
      auto& text = value.get_ref<const std::string&>();
      return avro_value_set_bytes(out, const_cast<char*>(text.data()), text.size()) == 0;
    }
    case AVRO_INT32:
      return value.is_number_integer() && avro_value_set_int(out, value.get<std::int32_t>()) == 0;
    case AVRO_INT64:
      return value.is_number_integer() && avro_value_set_long(out, value.get<std::int64_t>()) == 0;
    case AVRO_DOUBLE:
      return value.is_number() && avro_value_set_double(out, value.get<double>()) == 0;
    case AVRO_BOOLEAN:
      return value.is_boolean() && avro_value_set_boolean(out, value.get<bool>()) == 0;
    case AVRO_ARRAY: {
      if (!value.is_array()) return false;
      for (auto& item : value) {
        avro_value_t element;
        if (avro_value_append(out, &element, nullptr) != 0 || !write(&element, item)) return false;
      }
      return true;
    }
    default:
      return false;
  }
}

bool read(const avro_value_t* in, json& out, std::size_t depth);

bool read_string(const avro_value_t* in, json& out) {
  const char* text = nullptr;
  std::size_t size = 0;
  if (avro_value_get_string(in, &text, &size) != 0 || size == 0) return false;
  out = std::string(text, size - 1);
  return true;
}

bool read_children(const avro_value_t* in, json& out, std::size_t depth, bool record) {
  std::size_t count = 0;
  if (avro_value_get_size(in, &count) != 0 || count > max_array_length) return false;
  out = record ? json::object() : json::array();
  for (std::size_t index = 0; index < count; ++index) {
    avro_value_t child;
    const char* name = nullptr;
    json value;
    if (avro_value_get_by_index(in, index, &child, &name) != 0 || !read(&child, value, depth + 1))
      return false;
    if (record)
      out[name] = std::move(value);
    else
      out.push_back(std::move(value));
  }
  return true;
}

bool read(const avro_value_t* in, json& out, std::size_t depth) {
  if (depth > max_depth) return false;
  switch (avro_value_get_type(in)) {
    case AVRO_RECORD:
      return read_children(in, out, depth, true);
    case AVRO_ARRAY:
      return read_children(in, out, depth, false);
    case AVRO_STRING:
      return read_string(in, out);
    case AVRO_BYTES: {
      const void* bytes = nullptr;
      std::size_t size = 0;
      if (avro_value_get_bytes(in, &bytes, &size) != 0) return false;
      out = std::string(static_cast<const char*>(bytes), size);
      return true;
    }
    case AVRO_INT32: {
      std::int32_t number = 0;
      if (avro_value_get_int(in, &number) != 0) return false;
      out = number;
      return true;
    }
    case AVRO_INT64: {
      std::int64_t number = 0;
      if (avro_value_get_long(in, &number) != 0) return false;
      out = number;
      return true;
    }
    case AVRO_DOUBLE: {
      double number = 0;
      if (avro_value_get_double(in, &number) != 0) return false;
      out = number;
      return true;
    }
    case AVRO_BOOLEAN: {
      int flag = 0;
      if (avro_value_get_boolean(in, &flag) != 0) return false;
      out = flag != 0;
      return true;
    }
    default:
      return false;
  }
}

// A generic value of one record of the schema's union.
struct generic_value {
  avro_value_iface_t* type = nullptr;
  avro_value_t union_value{}, record{};
  bool found = false;  // the schema has a record of this name

  generic_value(const std::string& record_name, int version) {
    avro_schema_t schema = rpc::schema_for_version(version).union_schema();
    type = avro_generic_class_from_schema(schema);
    avro_generic_value_new(type, &union_value);
    for (std::size_t branch = 0; branch < avro_schema_union_size(schema) && !found; ++branch)
      if (record_name == avro_schema_name(avro_schema_union_branch(schema, static_cast<int>(branch))))
        found = avro_value_set_branch(&union_value, static_cast<int>(branch), &record) == 0;
  }
  ~generic_value() {
    avro_value_decref(&union_value);
    avro_value_iface_decref(type);
  }
  generic_value(const generic_value&) = delete;
};

std::optional<std::string> bytes_of(avro_value_t* value) {
  std::size_t size = 0;
  if (avro_value_sizeof(value, &size) != 0) return std::nullopt;
  std::string bytes(size, '\0');
  avro_writer_t writer = avro_writer_memory(bytes.data(), static_cast<std::int64_t>(size));
  int failed = avro_value_write(writer, value);
  avro_writer_free(writer);
  if (failed) return std::nullopt;
  return bytes;
}

bool read_bytes(const std::string& bytes, avro_value_t* value) {
  avro_reader_t reader = avro_reader_memory(bytes.data(), static_cast<std::int64_t>(bytes.size()));
  int failed = avro_value_read(reader, value);
  avro_reader_free(reader);
  return failed == 0;
}

// Adds the fields that were added after `version`, with the schema's defaults.
void add_defaults(const std::string& record, int version, json& out) {
  for (auto& record_schema : json::parse(schema_inner)) {
    if (record_schema["name"] != record) continue;
    for (auto& field : record_schema["fields"])
      if (field.value("since", 0) > version) out[field["name"].get<std::string>()] = field["default"];
  }
}

}  // namespace

std::variant<std::string, codec_error> encode_generic(const std::string& record, const json& value,
                                                      int version) {
  generic_value generic(record, version);
  if (!generic.found) return codec_error::unknown_record;
  if (!write(&generic.record, value)) return codec_error::mismatch;
  auto bytes = bytes_of(&generic.record);
  if (!bytes) return codec_error::mismatch;
  return std::move(*bytes);
}

std::variant<json, codec_error> decode_generic(const std::string& record, const std::string& bytes,
                                               int version) {
  generic_value generic(record, version);
  if (!generic.found) return codec_error::unknown_record;
  json out;
  if (!read_bytes(bytes, &generic.record) || !read(&generic.record, out, 0)) return codec_error::malformed;
  add_defaults(record, version, out);
  return out;
}

}  // namespace herontally::tests
