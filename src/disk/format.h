// Byte layout of slots and log batches; internal to the disk package.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "disk/store.h"

namespace herontally::disk {

struct batch {
  std::uint64_t generation = 0, sequence = 0;
  std::vector<change> changes;
};

struct log_reading {
  std::vector<batch> batches;  // of the wanted generation, in order
  bool torn = false;           // the file ends in bytes that are no whole batch
  bool corrupt = false;        // bytes before a whole batch can't be read, or a batch is missing
  std::uint64_t newest_generation = 0;
};

std::string pack_batch(const batch& content);
std::string pack_slot(std::uint64_t generation, const std::map<std::string, std::string>& records);
std::optional<std::pair<std::uint64_t, std::map<std::string, std::string>>> unpack_slot(
    const std::string& bytes);
log_reading read_log(const std::string& bytes, std::uint64_t generation);

}  // namespace herontally::disk
