// Internal to the ledger package: JSON texts of stored records, and digests.
#pragma once
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace herontally::ledger {

// The text of a record; bytes that are no UTF-8 are replaced.
std::string dump(const nlohmann::json& document);

// Nothing for a text that another layer wrote and this one can't read.
template <class Record>
std::optional<Record> parse(const std::string& text) {
  auto document = nlohmann::json::parse(text, nullptr, false);
  if (!document.is_object()) return std::nullopt;
  try {
    return document.get<Record>();
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

// Adds fields that came with later versions: an older one's record lacks them.
nlohmann::json with_defaults(nlohmann::json document, const nlohmann::json& later_fields);

// SHA-256 in hexadecimal.
std::string digest_of(const std::string& text);

}  // namespace herontally::ledger
