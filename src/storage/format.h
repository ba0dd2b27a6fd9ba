// Byte layout of slots and log batches; internal to the storage package. Integers are little-endian, as the
// machine has them.
//
//   slot:    magic 4 | generation 8 | payload bytes 8 | checksum 4 | changes, ordered by key, all with a
//   value log:     batch | batch | ... batch:   magic 4 | generation 8 | sequence 8 | payload bytes 4 |
//   checksum 4 | changes change:  has value 1 | key bytes 4 | key | value bytes 4 | value       (the last two
//   only if it has a value)
//
// A checksum is CRC-32 over the header's fields between magic and checksum, then the payload.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "storage/log_store.h"

namespace herontally::storage {

constexpr std::size_t batch_header_bytes = 4 + 8 + 8 + 4 + 4;
constexpr std::size_t slot_header_bytes = 4 + 8 + 8 + 4;

// CRC-32 of `bytes`, continued from the checksum of what stands before them.
std::uint32_t checksum(std::string_view bytes, std::uint32_t before = 0);
// The checksum of two texts one after the other, from their own checksums and the length of the second.
std::uint32_t combined_checksum(std::uint32_t first, std::uint32_t second, std::size_t second_bytes);

// A change without the value's bytes.
std::string pack_change_header(std::string_view key, std::optional<std::size_t> value_bytes);
std::size_t change_header_bytes(std::string_view key);

// A change in a file; the texts belong to the bytes that it was read from.
struct change_view {
  std::string_view key;
  std::optional<std::string_view> value;
  std::size_t value_offset = 0;  // from the change's first byte
  std::size_t bytes = 0;         // of the whole change
};
// How long the change is that begins with these bytes or, if they are too few to tell, how many are needed to
// tell more.
struct change_size {
  std::size_t bytes = 0;
  bool exact = false;
};
change_size size_of_change(std::string_view begin);
// Nothing if the bytes hold no complete change.
std::optional<change_view> read_change(std::string_view bytes);

struct batch_header {
  std::uint64_t generation = 0, sequence = 0;
  std::uint32_t payload_bytes = 0, checksum = 0;
  bool covers(std::string_view payload) const;
};
std::string pack_batch(std::uint64_t generation, std::uint64_t sequence, const std::vector<change>& changes);
// Nothing if a batch doesn't begin here.
std::optional<batch_header> read_batch_header(std::string_view bytes);

struct slot_header {
  std::uint64_t generation = 0, payload_bytes = 0;
  std::uint32_t checksum = 0;
  // The checksum's beginning: what it covers of the head itself.
  std::uint32_t seed() const;
};
std::string pack_slot_header(const slot_header& header);
std::optional<slot_header> read_slot_header(std::string_view bytes);

}  // namespace herontally::storage
