// Serializes the ledger's stored records as JSON text, and computes the digests of texts. What the records
// hold is defined beside each record type.
#pragma once
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace herontally::ledger {

// Returns the JSON text of a record. Invalid UTF-8 is replaced with U+FFFD.
std::string dump(const nlohmann::json& document);

// Parses a record. Returns nullopt if the text is not a JSON object or lacks a field of the record.
template <class Record>
std::optional<Record> parse_record(const std::string& text) {
  auto document = nlohmann::json::parse(text, nullptr, false);
  if (!document.is_object()) return std::nullopt;
  try {
    return document.get<Record>();
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

// Adds the members of `later_fields` that `document` lacks. These are fields introduced after the first
// version of a record, which records written by older versions don't have.
nlohmann::json with_defaults(nlohmann::json document, const nlohmann::json& later_fields);

// Returns the SHA-256 digest of `text` in hexadecimal.
std::string digest_of(const std::string& text);

}  // namespace herontally::ledger
