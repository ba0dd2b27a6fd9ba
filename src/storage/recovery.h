// Loads slots and logs into an index, reading through a buffer of bounded size; internal to the storage
// module. Which slot and log are loaded is decided in log_store.cc.
#pragma once
#include "storage/file_reader.h"
#include "storage/record_index.h"

namespace herontally::storage {

// After each of these functions the caller checks `file_reader::failed`: if it is true, the results are
// meaningless.

// Loads a slot's records into the index. False if the slot is incomplete or fails its checksum; the contents
// of the index are unspecified then.
bool load_slot(file_reader& file, record_index& records);

// What a log was found to hold.
struct log_contents {
  bool corrupt = false;  // unreadable bytes in front of a complete batch, or a batch is missing
  std::uint64_t newest_generation = 0;  // of all complete batches; 0: there are none
};
// Reads a log and applies the batches of this generation to the index; nullptr only reads.
log_contents read_log(file_reader& file, std::uint64_t generation, record_index* records);

}  // namespace herontally::storage
