// Looks for a shorter run that fails in the same way.
#pragma once
#include "model/run.h"

namespace herontally::model {

struct shrunk_run {
  run_options options;
  run_result result;
  int tried = 0;
};

shrunk_run shrink(const run_options& failing, const run_result& result);
// The command line that repeats a run.
std::string command_of(const run_options& options);

}  // namespace herontally::model
