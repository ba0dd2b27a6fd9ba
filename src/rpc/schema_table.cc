#include "rpc/schema_table.h"

#include <cstdlib>

#include "schema_inner.h"

namespace herontally::rpc {

namespace {

// Larger messages leave buffers behind that are not worth keeping.
constexpr std::size_t max_kept_message_bytes = 4096;

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

}  // namespace

branch_value::branch_value(avro_value_iface_t* schema, int branch)
    : made(avro_generic_value_new(schema, &whole) == 0) {
  if (made) usable = avro_value_set_branch(&whole, branch, &record) == 0;
}

branch_value::~branch_value() {
  if (made) avro_value_decref(&whole);
}

schema_table::schema_table(int version) {
  avro_set_allocator(allocate, nullptr);
  json text = json::parse(schema_inner);
  for (auto& record : text) {
    json fields = json::array();
    for (auto& field : record["fields"]) {
      if (field.value("since", 0) <= version)
        fields.push_back(field);
      else
        defaults_[record["name"]][field["name"].get<std::string>()] = field["default"];
    }
    record["fields"] = fields;
  }
  std::string own = text.dump();
  // The text is part of the program, so a fault in it is a fault of the build. One class is made of the whole
  // union, as a record's own class could not follow the names that it takes from its neighbours.
  if (avro_schema_from_json_length(own.data(), own.size(), &schema_) != 0) std::abort();
  values_ = avro_generic_class_from_schema(schema_);
  if (!values_) std::abort();
  for (std::size_t branch = 0; branch < avro_schema_union_size(schema_); ++branch)
    branches_[avro_schema_name(avro_schema_union_branch(schema_, static_cast<int>(branch)))] =
        static_cast<int>(branch);
}

schema_table::~schema_table() {
  spares_.clear();
  avro_value_iface_decref(values_);
  avro_schema_decref(schema_);
}

std::optional<int> schema_table::branch_of(const std::string& record) const {
  auto found = branches_.find(record);
  if (found == branches_.end()) return std::nullopt;
  return found->second;
}

const json* schema_table::defaults_of(const std::string& record) const {
  auto found = defaults_.find(record);
  return found == defaults_.end() ? nullptr : &found->second;
}

std::unique_ptr<branch_value> schema_table::take(int branch) const {
  auto spare = spares_.find(branch);
  if (spare == spares_.end() || !spare->second) return std::make_unique<branch_value>(values_, branch);
  return std::move(spare->second);
}

void schema_table::put_back(int branch, std::unique_ptr<branch_value> value) const {
  if (avro_value_reset(&value->record) == 0) spares_[branch] = std::move(value);
}

const schema_table& schema_of(int version) {
  static std::map<int, std::unique_ptr<schema_table>> tables;
  int known = std::min(version, protocol_version);
  auto& table = tables[known];
  if (!table) table = std::make_unique<schema_table>(known);
  return *table;
}

borrowed_value::borrowed_value(const schema_table& table, int branch)
    : table_(table), branch_(branch), value_(table.take(branch)) {}

void borrowed_value::give_back(std::size_t message_bytes) {
  if (message_bytes <= max_kept_message_bytes) table_.put_back(branch_, std::move(value_));
}

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

}  // namespace herontally::rpc
