// The schema of the inner messages as one protocol version had it, and values to read and write its records
// with. Internal to the rpc package.
#pragma once
#include <avro.h>

#include <map>
#include <memory>
#include <optional>

#include "rpc/codec.h"

namespace herontally::rpc {

// An Avro value that holds records of one branch of the schema's union.
struct branch_value {
  avro_value_t whole{}, record{};
  bool made = false, usable = false;

  branch_value(avro_value_iface_t* schema, int branch);
  ~branch_value();
  branch_value(const branch_value&) = delete;
};

class schema_table {
 public:
  explicit schema_table(int version);
  ~schema_table();
  schema_table(const schema_table&) = delete;

  // Nothing if the schema has no record of this name.
  std::optional<int> branch_of(const std::string& record) const;
  // Defaults of the fields that this version lacks; nullptr: it has them all.
  const json* defaults_of(const std::string& record) const;

  // Making a value takes longer than using it, so that each branch has a spare one.
  std::unique_ptr<branch_value> take(int branch) const;
  void put_back(int branch, std::unique_ptr<branch_value> value) const;

 private:
  avro_schema_t schema_ = nullptr;
  avro_value_iface_t* values_ = nullptr;
  std::map<std::string, int> branches_;
  std::map<std::string, json> defaults_;  // by record
  mutable std::map<int, std::unique_ptr<branch_value>> spares_;
};

// A newer version than ours is read as far as we know it.
const schema_table& schema_of(int version);

// An empty value of a branch for as long as this object lives.
class borrowed_value {
 public:
  borrowed_value(const schema_table& table, int branch);
  // The record; nullptr if there is no memory for it.
  avro_value_t* get() { return value_->usable ? &value_->record : nullptr; }
  // For the next message, unless one of this size makes the value keep much memory.
  void give_back(std::size_t message_bytes);

 private:
  const schema_table& table_;
  int branch_;
  std::unique_ptr<branch_value> value_;
};

// The value's Avro bytes; nothing if it isn't complete.
std::optional<std::string> bytes_of(avro_value_t* value);
// Reads Avro bytes into a value; false if they hold none.
bool read_bytes(const std::string& bytes, avro_value_t* value);

}  // namespace herontally::rpc
