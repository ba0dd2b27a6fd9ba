#include "ledger/text.h"

#include <openssl/evp.h>

namespace herontally::ledger {

std::string dump(const nlohmann::json& document) {
  return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

nlohmann::json with_defaults(nlohmann::json document, const nlohmann::json& later_fields) {
  for (auto& [name, value] : later_fields.items())
    if (!document.contains(name)) document[name] = value;
  return document;
}

std::string digest_of(const std::string& text) {
  static const char digits[] = "0123456789abcdef";
  unsigned char raw[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  EVP_Digest(text.data(), text.size(), raw, &size, EVP_sha256(), nullptr);
  std::string out;
  for (unsigned int position = 0; position < size; ++position)
    out += {digits[raw[position] >> 4], digits[raw[position] & 15]};
  return out;
}

}  // namespace herontally::ledger
