// Histories of one compare-and-set register and the check that they are linearizable.
#pragma once
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace herontally::model {

// A failed compare-and-set is a read of the value that it found. An uncertain set may take effect at any
// moment after its begin, or never; one without effect is known never to have happened.
enum class operation_kind { read, set, uncertain_set, without_effect };

constexpr int no_value = 0;
constexpr std::int64_t no_end = std::numeric_limits<std::int64_t>::max();

// Values are numbers; each is written by at most one operation.
struct operation {
  operation_kind kind = operation_kind::read;
  std::string client;
  int expected = no_value;  // what a set replaces
  int value = no_value;     // what was written or read
  std::int64_t begin = 0, end = no_end;
};

enum class verdict { linearizable, violated, undecided };

struct check_result {
  verdict found = verdict::linearizable;
  std::string explanation;
};

// A Wing-Gong search with memory of the configurations that led nowhere.
check_result check_linearizable(const std::vector<operation>& history);

std::string describe(const operation& each);

}  // namespace herontally::model
