// Avro binary of the records in schema/inner.avsc; in the process a record is JSON for a moment only.
#pragma once
#include <nlohmann/json.hpp>
#include <string>
#include <variant>

namespace herontally::wire {

using json = nlohmann::json;

enum class codec_error { unknown_record, mismatch, malformed };

std::variant<std::string, codec_error> encode(const std::string& record, const json& value);
std::variant<json, codec_error> decode(const std::string& record, const std::string& bytes);

}  // namespace herontally::wire
