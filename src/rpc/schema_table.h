// The Avro schema of the messages between nodes, as of one protocol version. Internal to the rpc package.
#pragma once
#include <avro.h>

#include <map>
#include <string>

#include "rpc/protocol_version.h"

namespace herontally::rpc {

// The parsed schema of one version, with its records by name.
class schema_table {
 public:
  // Aborts if the schema that is compiled into the program can't be parsed.
  explicit schema_table(int version);
  ~schema_table();
  schema_table(const schema_table&) = delete;

  // The schema of a record; nullptr if there is none of this name.
  avro_schema_t record(const std::string& name) const;
  // The union of all records.
  avro_schema_t union_schema() const { return schema_; }

 private:
  avro_schema_t schema_ = nullptr;
  std::map<std::string, avro_schema_t> records_;
};

// The schema of a version, parsed once. Versions newer than `protocol_version` get that of
// `protocol_version`.
const schema_table& schema_for_version(int version);

}  // namespace herontally::rpc
