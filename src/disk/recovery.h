// Reading slots and logs back into an index, in pieces of bounded size; internal to the disk package.
#pragma once
#include "disk/file_window.h"
#include "disk/index.h"

namespace herontally::disk {

// Both leave it to the caller to ask the file whether reading failed: what they found out is nothing then.

// Fills the index with a slot's records. False when the slot isn't whole; the index is then undefined.
bool load_slot(file_window& file, index& records);

struct log_reading {
  bool corrupt = false;  // bytes before a whole batch can't be read, or a batch is missing
  std::uint64_t newest_generation = 0;
};
// Applies the batches of this generation to the index, if there is one.
log_reading read_log(file_window& file, std::uint64_t generation, index* records);

}  // namespace herontally::disk
