// Measurements in virtual time; each prints a table with what moved, not only how long it took.
#pragma once
#include <string>

namespace simulator {

// False when there is no measurement of that name.
bool measure(const std::string& name);
std::string measurement_names();

}  // namespace simulator
