// Compaction: all records are written into the other slot, and its log begins empty. Internal to the storage
// package.
#pragma once
#include "storage/log_store_state.h"

namespace herontally::storage {

// On success the slot that was written is the current one. On failure the old slot and log stay current, and
// the next commit compacts again.
runtime::task<std::optional<error>> compact(log_store::state* self);

}  // namespace herontally::storage
