// Reduces a failing run: looks for fewer faults and a shorter span that fail with the same kind of violation.
#pragma once
#include "model/run.h"

namespace herontally::model {

// The smallest failing run that was found.
struct shrunk_run {
  run_options options;
  run_result result;
  int attempts = 0;  // runs made to find it
};

// `result` is the failure of `failing`. Stops after a few hundred runs.
shrunk_run shrink(const run_options& failing, const run_result& result);
// The command line that repeats a run.
std::string command_of(const run_options& options);

}  // namespace herontally::model
