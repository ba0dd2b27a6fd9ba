// Histories of one compare-and-set register and the check that they are linearizable. Recording them is the
// clients' work (clients.h).
#pragma once
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace herontally::model {

// A failed compare-and-set counts as a read of the value that it found. An uncertain set may take effect at
// any time after its begin, or never. A set without effect is known never to have taken effect.
enum class operation_kind { read, set, uncertain_set, without_effect };

constexpr int no_value = 0;
constexpr std::int64_t no_end = std::numeric_limits<std::int64_t>::max();

// One operation on the register. Values are numbers; each is written by at most one operation.
struct operation {
  operation_kind kind = operation_kind::read;
  std::string client;
  int expected = no_value;               // what a set replaces
  int value = no_value;                  // what was written or read
  std::int64_t begin = 0, end = no_end;  // microseconds of virtual time
};

enum class verdict { linearizable, violated, undecided };

struct check_result {
  verdict outcome = verdict::linearizable;
  std::string explanation;  // empty if linearizable
};

// Searches for a valid order of the operations (Wing and Gong), and remembers the states from which none
// exists.
check_result check_linearizable(const std::vector<operation>& history);

// The operation in one line, for reports.
std::string describe(const operation& each);

}  // namespace herontally::model
