// Compaction: writes all live records into the other slot, whose log then starts empty. Internal to the
// storage module.
#pragma once
#include "storage/log_store_state.h"

namespace herontally::storage {

// On success the slot that was written becomes the current one. On failure the old slot and log stay current,
// and the next commit compacts again. Called by `log_store::commit` alone. Damaged records are left out.
runtime::task<std::optional<error>> compact(log_store::state* self);

}  // namespace herontally::storage
