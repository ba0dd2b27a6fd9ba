#include "hashing/digest.h"

#include <openssl/evp.h>

#include <algorithm>

namespace herontally::hashing {

std::string sha256(std::string_view text) {
  unsigned char raw[EVP_MAX_MD_SIZE];
  unsigned size = 0;
  EVP_Digest(text.data(), text.size(), raw, &size, EVP_sha256(), nullptr);
  return {raw, raw + size};
}

std::string sha256_hex(std::string_view text, std::size_t bytes) {
  static const char digits[] = "0123456789abcdef";
  auto raw = sha256(text);
  std::string out;
  for (std::size_t position = 0; position < std::min(bytes, raw.size()); ++position) {
    auto byte = static_cast<unsigned char>(raw[position]);
    out += {digits[byte >> 4], digits[byte & 15]};
  }
  return out;
}

}  // namespace herontally::hashing
