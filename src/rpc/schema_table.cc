#include "rpc/schema_table.h"

#include <cstdlib>
#include <memory>
#include <nlohmann/json.hpp>

#include "schema_inner.h"

namespace herontally::rpc {

namespace {

using json = nlohmann::json;

// avro-c's allocator, with an upper bound. A malformed message can declare any length, and avro-c allocates
// that much before it checks that so many bytes follow.
void* allocate(void*, void* old, std::size_t, std::size_t size) {
  constexpr std::size_t max_allocation = 32u << 20;
  if (size == 0) {
    std::free(old);
    return nullptr;
  }
  return size > max_allocation ? nullptr : std::realloc(old, size);
}

// The schema as JSON, without the fields that were added after this version.
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
  // The schema is compiled into the program, so a parse error is a build error.
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

const schema_table& schema_for_version(int version) {
  static std::map<int, std::unique_ptr<schema_table>> tables;
  int supported = std::min(version, protocol_version);
  auto& table = tables[supported];
  if (!table) table = std::make_unique<schema_table>(supported);
  return *table;
}

}  // namespace herontally::rpc
