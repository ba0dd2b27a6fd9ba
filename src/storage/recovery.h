// Reading slots and logs back into an index, in pieces of bounded size; internal to the disk package.
#pragma once
#include "storage/file_reader.h"
#include "storage/record_index.h"

namespace herontally::storage {

// The caller asks the file afterwards whether reading failed; then the results mean nothing.

// Fills the index with a slot's records. False when the slot isn't complete; the index is then
// undefined.
bool load_slot(file_reader& file, record_index& records);

struct log_contents {
  bool corrupt = false;  // bytes before a complete batch can't be read, or a batch is missing
  std::uint64_t newest_generation = 0;
};
// Applies the batches of this generation to the index, unless it is nullptr.
log_contents read_log(file_reader& file, std::uint64_t generation, record_index* records);

}  // namespace herontally::storage
