// The schema of the inner messages as one protocol version had it. Internal to the rpc package.
#pragma once
#include <avro.h>

#include <map>
#include <string>

#include "rpc/protocol_version.h"

namespace herontally::rpc {

class schema_table {
 public:
  explicit schema_table(int version);
  ~schema_table();
  schema_table(const schema_table&) = delete;

  // The schema of a record; nullptr if there is none of this name.
  avro_schema_t record(const std::string& name) const;
  // The union of all records.
  avro_schema_t whole() const { return schema_; }

 private:
  avro_schema_t schema_ = nullptr;
  std::map<std::string, avro_schema_t> records_;
};

// A newer version than ours is read as far as we know it.
const schema_table& schema_of(int version);

}  // namespace herontally::rpc
