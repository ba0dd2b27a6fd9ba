// Avro binary encoding of the records of schema/inner.avsc.
//
// Inside the process a record is JSON for a moment only: the typed messages convert to and from it. A
// protocol version adds fields at the end of top-level records only, marked "since" in the schema and with a
// default. So an older node reads the front of what it doesn't know, and a newer one fills in what it isn't
// sent.
#pragma once
#include <nlohmann/json.hpp>
#include <string>
#include <variant>

namespace herontally::rpc {

using json = nlohmann::json;

enum class codec_error {
  unknown_record,  // the schema has no record of this name
  mismatch,        // the value lacks a field or has one of a wrong type
  malformed,       // the bytes are no record of this name
};

// What this code speaks. A node one version older or newer is understood; any other is refused.
constexpr int protocol_version = 6;

// The bytes of `value` as a record of the schema as `version` had it.
std::variant<std::string, codec_error> encode(const std::string& record, const json& value,
                                              int version = protocol_version);
// The record that `bytes` hold; `version` is the sender's. Bytes from outside may be anything: depth and
// length are bounded, and nothing is allocated before it is known to be there.
std::variant<json, codec_error> decode(const std::string& record, const std::string& bytes,
                                       int version = protocol_version);

}  // namespace herontally::rpc
