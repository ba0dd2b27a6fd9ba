// One run of the model: a group under the faults of a seed, then the checks.
#pragma once
#include "model/plan.h"

namespace herontally::model {

enum class violation_kind {
  not_linearizable,
  undecided,
  not_readable,
  not_whole,
  spares_unusable,
  not_begun
};

struct violation {
  violation_kind kind;
  std::string what;
};

struct run_result {
  std::optional<violation> failure;
  int operations = 0, acknowledged = 0, moves = 0, faults = 0;
  std::vector<std::string> story;
};

run_result run_once(const run_options& options);
std::string name_of(violation_kind kind);

}  // namespace herontally::model
