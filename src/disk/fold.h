// Writing all records of a store into its other slot; internal to the disk package.
#pragma once
#include "disk/store_state.h"

namespace herontally::disk {

// Afterwards the store's slot is the one that was written, and its log is empty.
runtime::task<std::optional<error>> fold(store::state* self);

}  // namespace herontally::disk
