// FNV-1a, the 64-bit hash of Fowler, Noll and Vo. It is the same in every build and on every machine, which
// is what its users rely on: bucket placement on disk, checksum ranges between voters, membership checksums
// between nodes.
#pragma once
#include <cstdint>
#include <string_view>

namespace herontally::hashing {

constexpr std::uint64_t fnv_prime = 1099511628211ull;
constexpr std::uint64_t fnv_offset_basis = 14695981039346656037ull;
// The offset basis that placement on disk and between nodes has used from the first version on. It lacks the
// last digit of the standard one, which does no harm; changing it would move records between buckets and
// ranges.
constexpr std::uint64_t placement_basis = 1469598103934665603ull;

// The hash after one more byte (or, for fingerprints, one more word).
constexpr std::uint64_t fnv1a_step(std::uint64_t hash, std::uint64_t part) {
  return (hash ^ part) * fnv_prime;
}

constexpr std::uint64_t fnv1a(std::string_view text, std::uint64_t basis = fnv_offset_basis) {
  std::uint64_t hash = basis;
  for (char letter : text) hash = fnv1a_step(hash, static_cast<unsigned char>(letter));
  return hash;
}

}  // namespace herontally::hashing
