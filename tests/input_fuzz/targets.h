// The fuzz targets: the parsers of what comes from outside, each called with a mutated input.
#pragma once
#include "mutation.h"

namespace herontally::input_fuzz {

// A group of parsers that read one kind of input.
struct target {
  const char* name;  // for --only
  // Draws an input and parses it. Throws what the parser throws, and std::logic_error if an accepted input
  // can't be used.
  void (*run)(mutator& inputs);
};

// In the order in which they run.
const std::vector<target>& all_targets();

}  // namespace herontally::input_fuzz
