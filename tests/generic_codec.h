// The inner protocol's messages through avro-c's generic values and JSON: slow, and independent of the
// structs that the product reads and writes in place. The tests compare both.
#pragma once
#include <nlohmann/json.hpp>
#include <string>
#include <variant>

#include "rpc/protocol_version.h"

namespace herontally::tests {

using json = nlohmann::json;

enum class codec_error {
  unknown_record,  // the schema has no record of this name
  mismatch,        // the value lacks a field or has one of a wrong type
  malformed,       // the bytes are no record of this name
};

// The bytes of `value` as a record of the schema as `version` had it.
std::variant<std::string, codec_error> encode_generic(const std::string& record, const json& value,
                                                      int version = rpc::protocol_version);
// The record that `bytes` hold; `version` is the sender's. Fields that came later have the schema's defaults.
std::variant<json, codec_error> decode_generic(const std::string& record, const std::string& bytes,
                                               int version = rpc::protocol_version);

}  // namespace herontally::tests
