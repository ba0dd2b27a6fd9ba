// SHA-256 digests of texts held in memory.
#pragma once
#include <cstddef>
#include <string>
#include <string_view>

namespace herontally::hashing {

constexpr std::size_t sha256_bytes = 32;

// The raw digest, `sha256_bytes` long.
std::string sha256(std::string_view text);
// The first `bytes` bytes of the digest in lower-case hexadecimal; the whole digest if `bytes` is larger.
std::string sha256_hex(std::string_view text, std::size_t bytes = sha256_bytes);

}  // namespace herontally::hashing
