#include "rpc/codec.h"

#include <avro.h>

#include <map>
#include <memory>
#include <optional>

#include "schema_inner.h"

namespace herontally::rpc {

namespace {

constexpr std::size_t max_depth = 16;
constexpr std::size_t max_array_length = 200000;

// Garbage names lengths of any size, and avro-c would ask for them before it looks whether so many bytes are
// there.
void* allocate(void*, void* old, std::size_t, std::size_t size) {
  constexpr std::size_t max_allocation = 32u << 20;
  if (size == 0) {
    std::free(old);
    return nullptr;
  }
  return size > max_allocation ? nullptr : std::realloc(old, size);
}

// The schema as one version had it.
struct schema_table {
  avro_schema_t all = nullptr;
  avro_value_iface_t* kind = nullptr;
  std::map<std::string, int> branches;
  std::map<std::string, json> defaults;  // of fields that this version lacks, by record
  explicit schema_table(int version) {
    avro_set_allocator(allocate, nullptr);
    json text = json::parse(schema_inner);
    for (auto& record : text) {
      json fields = json::array();
      for (auto& field : record["fields"]) {
        if (field.value("since", 0) <= version)
          fields.push_back(field);
        else
          defaults[record["name"]][field["name"].get<std::string>()] = field["default"];
      }
      record["fields"] = fields;
    }
    std::string own = text.dump();
    // The text is part of the program, so a fault in it is a fault of the build. One class is made of the
    // whole union, as a record's own class could not follow the names that it takes from its neighbours.
    if (avro_schema_from_json_length(own.data(), own.size(), &all) != 0) std::abort();
    kind = avro_generic_class_from_schema(all);
    if (!kind) std::abort();
    for (std::size_t branch = 0; branch < avro_schema_union_size(all); ++branch)
      branches[avro_schema_name(avro_schema_union_branch(all, static_cast<int>(branch)))] =
          static_cast<int>(branch);
  }
  schema_table(const schema_table&) = delete;
  ~schema_table() {
    avro_value_iface_decref(kind);
    avro_schema_decref(all);
  }
};

const schema_table& schemas(int version) {
  static std::map<int, std::unique_ptr<schema_table>> tables;
  // A newer version than ours is read as far as we know it.
  auto& table = tables[std::min(version, protocol_version)];
  if (!table) table = std::make_unique<schema_table>(std::min(version, protocol_version));
  return *table;
}

bool write(avro_value_t* out, const json& value);

bool write_record(avro_value_t* out, const json& value) {
  if (!value.is_object()) return false;
  std::size_t count = 0;
  avro_value_get_size(out, &count);
  for (std::size_t position = 0; position < count; ++position) {
    avro_value_t field;
    const char* name = nullptr;
    if (avro_value_get_by_index(out, position, &field, &name) != 0) return false;
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
      // avro-c counts the closing zero in a string's length.
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
  for (std::size_t position = 0; position < count; ++position) {
    avro_value_t child;
    const char* name = nullptr;
    json value;
    if (avro_value_get_by_index(in, position, &child, &name) != 0 || !read(&child, value, depth + 1))
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

struct scoped_value {
  avro_value_t whole{}, value{};
  bool made, usable = false;
  scoped_value(const schema_table& table, int branch)
      : made(avro_generic_value_new(table.kind, &whole) == 0) {
    if (made) usable = avro_value_set_branch(&whole, branch, &value) == 0;
  }
  ~scoped_value() {
    if (made) avro_value_decref(&whole);
  }
};

}  // namespace

std::variant<std::string, codec_error> encode(const std::string& record, const json& value, int version) {
  auto& table = schemas(version);
  auto found = table.branches.find(record);
  if (found == table.branches.end()) return codec_error::unknown_record;
  scoped_value holder(table, found->second);
  if (!holder.usable || !write(&holder.value, value)) return codec_error::mismatch;
  std::size_t size = 0;
  if (avro_value_sizeof(&holder.value, &size) != 0) return codec_error::mismatch;
  std::string bytes(size, '\0');
  avro_writer_t writer = avro_writer_memory(bytes.data(), static_cast<std::int64_t>(size));
  int failed = avro_value_write(writer, &holder.value);
  avro_writer_free(writer);
  if (failed) return codec_error::mismatch;
  return bytes;
}

std::variant<json, codec_error> decode(const std::string& record, const std::string& bytes, int version) {
  auto& table = schemas(version);
  auto found = table.branches.find(record);
  if (found == table.branches.end()) return codec_error::unknown_record;
  scoped_value holder(table, found->second);
  avro_reader_t reader = avro_reader_memory(bytes.data(), static_cast<std::int64_t>(bytes.size()));
  int failed = holder.usable ? avro_value_read(reader, &holder.value) : 1;
  avro_reader_free(reader);
  json out;
  if (failed || !read(&holder.value, out, 0)) return codec_error::malformed;
  auto missing = table.defaults.find(record);
  if (missing != table.defaults.end()) out.update(missing->second);
  return out;
}

}  // namespace herontally::rpc
