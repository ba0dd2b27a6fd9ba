#include "ledger/text.h"

#include "hashing/digest.h"

namespace herontally::ledger {

std::string dump(const nlohmann::json& document) {
  return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

nlohmann::json with_defaults(nlohmann::json document, const nlohmann::json& later_fields) {
  for (auto& [name, value] : later_fields.items())
    if (!document.contains(name)) document[name] = value;
  return document;
}

std::string digest_of(const std::string& text) { return hashing::sha256_hex(text); }

}  // namespace herontally::ledger
