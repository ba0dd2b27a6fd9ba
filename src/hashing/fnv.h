// FNV-1a, the 64-bit hash of Fowler, Noll and Vo. Its values are the same in every build and on every
// machine; the placement of records in buckets on disk, the checksum ranges compared between voters and the
// membership checksums exchanged between nodes depend on that. It is not a cryptographic hash.
#pragma once
#include <cstdint>
#include <string_view>

namespace herontally::hashing {

constexpr std::uint64_t fnv_prime = 1099511628211ull;
constexpr std::uint64_t fnv_offset_basis = 14695981039346656037ull;
// The offset basis that the placement of records on disk and between nodes has used since the first version.
// It lacks the last digit of the standard one, which is harmless; a change would move records between buckets
// and ranges.
constexpr std::uint64_t placement_basis = 1469598103934665603ull;

// Adds one byte to a hash; for fingerprints, one word.
constexpr std::uint64_t fnv1a_step(std::uint64_t hash, std::uint64_t part) {
  return (hash ^ part) * fnv_prime;
}

// The hash of a text; with the hash of another text as `basis`, the hash of both texts in sequence.
constexpr std::uint64_t fnv1a(std::string_view text, std::uint64_t basis = fnv_offset_basis) {
  std::uint64_t hash = basis;
  for (char character : text) hash = fnv1a_step(hash, static_cast<unsigned char>(character));
  return hash;
}

}  // namespace herontally::hashing
