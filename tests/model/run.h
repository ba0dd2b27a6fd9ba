// One run of the model test: founds a group, runs its clients under the faults of a seed, ends the faults and
// checks the histories and the group.
#pragma once
#include "model/plan.h"

namespace herontally::model {

// What a run can fail with.
enum class violation_kind {
  not_linearizable,
  undecided,        // the check of a history reached its limit
  not_readable,     // a key can't be read after the faults
  not_at_strength,  // the movers didn't replace all lost voters after the faults
  spares_unusable,  // a machine outside the group still holds a view
  not_founded
};

// The first check that failed.
struct violation {
  violation_kind kind;
  std::string description;
};

// The counts and the outcome of a run.
struct run_result {
  std::optional<violation> failure;
  int operations = 0, acknowledged = 0, moves = 0, faults = 0;
  // One line for each injected fault; after a failure also for each machine and each recorded operation.
  std::vector<std::string> events;
};

// Deterministic: the same options give the same result.
run_result run_once(const run_options& options);
// The name in reports and for --expect.
std::string name_of(violation_kind kind);

}  // namespace herontally::model
