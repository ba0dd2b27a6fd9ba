// Avro binary of the records in schema/inner.avsc; in the process a record is JSON for a moment only.
#pragma once
#include <nlohmann/json.hpp>
#include <string>
#include <variant>

namespace herontally::wire {

using json = nlohmann::json;

enum class codec_error { unknown_record, mismatch, malformed };

// What this code speaks. A node one version older or newer is understood; any other is refused.
constexpr int protocol_version = 5;

// A version adds fields at the end of top-level records only, marked "since" in the schema and with a
// default. So an older node passes over what it doesn't know, and a newer one fills in what it isn't told.
std::variant<std::string, codec_error> encode(const std::string& record, const json& value,
                                              int version = protocol_version);
// `version` is the sender's.
std::variant<json, codec_error> decode(const std::string& record, const std::string& bytes,
                                       int version = protocol_version);

}  // namespace herontally::wire
