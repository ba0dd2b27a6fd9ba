// The readers of what comes from outside, each fed with one mutated input.
#pragma once
#include "mutation.h"

namespace herontally::input_fuzz {

struct target {
  const char* name;
  // Throws what the reader throws; std::logic_error for an answer that breaks a promise.
  void (*run)(mutator& inputs);
};

const std::vector<target>& all_targets();

}  // namespace herontally::input_fuzz
