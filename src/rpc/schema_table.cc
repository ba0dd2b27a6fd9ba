#include "rpc/schema_table.h"

#include <cstdlib>
#include <memory>
#include <nlohmann/json.hpp>

#include "schema_inner.h"

namespace herontally::rpc {

namespace {

using json = nlohmann::json;

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

// The schema's text without the fields that came after this version.
std::string schema_text(int version) {
  json text = json::parse(schema_inner);
  for (auto& record : text) {
    json fields = json::array();
    for (auto& field : record["fields"])
      if (field.value("since", 0) <= version) fields.push_back(field);
    record["fields"] = fields;
  }
  return text.dump();
}

}  // namespace

schema_table::schema_table(int version) {
  avro_set_allocator(allocate, nullptr);
  std::string text = schema_text(version);
  // The text is part of the program, so a fault in it is a fault of the build.
  if (avro_schema_from_json_length(text.data(), text.size(), &schema_) != 0) std::abort();
  for (std::size_t branch = 0; branch < avro_schema_union_size(schema_); ++branch) {
    avro_schema_t record = avro_schema_union_branch(schema_, static_cast<int>(branch));
    records_[avro_schema_name(record)] = record;
  }
}

schema_table::~schema_table() { avro_schema_decref(schema_); }

avro_schema_t schema_table::record(const std::string& name) const {
  auto found = records_.find(name);
  return found == records_.end() ? nullptr : found->second;
}

const schema_table& schema_of(int version) {
  static std::map<int, std::unique_ptr<schema_table>> tables;
  int known = std::min(version, protocol_version);
  auto& table = tables[known];
  if (!table) table = std::make_unique<schema_table>(known);
  return *table;
}

}  // namespace herontally::rpc
