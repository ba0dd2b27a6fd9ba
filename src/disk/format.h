// Byte layout of slots and log batches; internal to the disk package.
//
// A slot is a head (mark, generation, length of the payload, checksum) and a payload of records. A log is a
// row of batches, each a head (mark, generation, sequence, length, checksum) and a payload of changes. A
// record and a change have the same layout: a byte that tells whether there is a value, the key's size, the
// key, the value's size, the value.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "disk/store.h"

namespace herontally::disk {

constexpr std::size_t batch_head_bytes = 4 + 8 + 8 + 4 + 4;
constexpr std::size_t slot_head_bytes = 4 + 8 + 8 + 4;

std::uint32_t checksum(std::string_view bytes, std::uint32_t before = 0);
// The checksum of two texts one after the other, from their own checksums and the length of the second.
std::uint32_t joined_checksum(std::uint32_t first, std::uint32_t second, std::size_t second_bytes);

// What stands in front of a value: all of a change but the value's bytes.
std::string pack_change_head(std::string_view key, std::optional<std::size_t> value_bytes);
std::size_t change_head_bytes(std::string_view key);

// A change as it stands in a file; the texts belong to the bytes that it was read from.
struct change_view {
  std::string_view key;
  std::optional<std::string_view> value;
  std::size_t value_offset = 0;  // from the change's first byte
  std::size_t bytes = 0;         // of the whole change
};
// How long the change is that begins with these bytes, or the least that must be there to tell.
struct change_size {
  std::size_t bytes = 0;
  bool exact = false;
};
change_size size_of_change(std::string_view begin);
// Nothing if the bytes hold no whole change.
std::optional<change_view> read_change(std::string_view bytes);

struct batch_head {
  std::uint64_t generation = 0, sequence = 0;
  std::uint32_t payload_bytes = 0, checksum = 0;
  bool covers(std::string_view payload) const;
};
std::string pack_batch(std::uint64_t generation, std::uint64_t sequence, const std::vector<change>& changes);
// Nothing if a batch doesn't begin here.
std::optional<batch_head> read_batch_head(std::string_view bytes);

struct slot_head {
  std::uint64_t generation = 0, payload_bytes = 0;
  std::uint32_t checksum = 0;
  // The checksum's beginning: what it covers of the head itself.
  std::uint32_t seed() const;
};
std::string pack_slot_head(const slot_head& head);
std::optional<slot_head> read_slot_head(std::string_view bytes);

}  // namespace herontally::disk
