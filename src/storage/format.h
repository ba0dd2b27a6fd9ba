// Byte layout of slots and log batches, and its encoding and decoding; internal to the storage module. This
// part does no I/O. Integers are in the byte order of the machine, which is little-endian.
//
// Fields with their sizes in bytes:
//
//   slot:    magic 4 | generation 8 | payload size 8 | checksum 4 | changes
//            The changes are ordered by key, and all have a value.
//
//   log:     batch | batch | ...
//
//   batch:   magic 4 | generation 8 | sequence 8 | payload size 4 | checksum 4 | changes
//
//   change:  has value 1 | key size 4 | key | value size 4 | value
//            The last two only if the change has a value; without one it is a removal.
//
// A checksum is the CRC-32 of the header's fields between magic and checksum, followed by the payload.
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

// CRC-32 of `bytes`, continued from `before`, the checksum of the bytes in front of them.
std::uint32_t checksum(std::string_view bytes, std::uint32_t before = 0);
// The checksum of two byte sequences concatenated, from the checksum of each and the length of the second.
std::uint32_t combined_checksum(std::uint32_t first, std::uint32_t second, std::size_t second_bytes);

// A change up to the value's bytes; std::nullopt: a removal.
std::string pack_change_header(std::string_view key, std::optional<std::size_t> value_bytes);
// The size of that header for a change that has a value.
std::size_t change_header_bytes(std::string_view key);

// A decoded change. Its views point into the bytes that it was read from.
struct change_view {
  std::string_view key;
  std::optional<std::string_view> value;
  std::size_t value_offset = 0;  // from the change's first byte
  std::size_t bytes = 0;         // of the whole change
};
// The size of a change, as far as its first bytes show it. If not `exact`, they are too few to tell, and
// `bytes` is how many are needed to get further.
struct change_size {
  std::size_t bytes = 0;
  bool exact = false;
};
// The size of the change that starts with these bytes.
change_size size_of_change(std::string_view begin);
// Decodes the change at the start of the bytes; std::nullopt if it isn't complete.
std::optional<change_view> read_change(std::string_view bytes);

// The header of a log batch: the changes of one commit.
struct batch_header {
  std::uint64_t generation = 0, sequence = 0;
  std::uint32_t payload_bytes = 0, checksum = 0;
  // Whether the checksum holds for this header with this payload.
  bool matches_checksum(std::string_view payload) const;
};
// Encodes a batch with its header.
std::string pack_batch(std::uint64_t generation, std::uint64_t sequence, const std::vector<change>& changes);
// std::nullopt if the bytes are too few or don't start with a batch's magic number. Checks no checksum.
std::optional<batch_header> read_batch_header(std::string_view bytes);

// The header of a slot: all records as of a compaction.
struct slot_header {
  std::uint64_t generation = 0, payload_bytes = 0;
  std::uint32_t checksum = 0;
  // The checksum over the header's own fields, to be continued over the payload.
  std::uint32_t header_checksum() const;
};
std::string pack_slot_header(const slot_header& header);
// As `read_batch_header`, for slots.
std::optional<slot_header> read_slot_header(std::string_view bytes);

}  // namespace herontally::storage
