// A second codec of the messages between nodes, which converts JSON by means of avro-c's generic values.
//
// It is slow, and independent of the code in rpc/ that reads and writes structs directly, so that tests can
// compare both.
#pragma once
#include <nlohmann/json.hpp>
#include <string>
#include <variant>

#include "rpc/protocol_version.h"

namespace herontally::tests {

using json = nlohmann::json;

enum class codec_error {
  unknown_record,  // the schema has no record of this name
  mismatch,        // the value lacks a field, or a field has the wrong type
  malformed,       // the bytes don't hold a record of this name
};

// Encodes `value` as the record of this name in the given version of the schema.
std::variant<std::string, codec_error> encode_generic(const std::string& record, const json& value,
                                                      int version = rpc::protocol_version);
// Decodes the record of this name; `version` is the sender's protocol version. Fields that were added in
// later versions get the schema's defaults.
std::variant<json, codec_error> decode_generic(const std::string& record, const std::string& bytes,
                                               int version = rpc::protocol_version);

}  // namespace herontally::tests
