// Measurements on simulated sites, in virtual time. Each prints a Markdown table to standard output, with
// traffic and counts beside the times. They check no bounds.
#pragma once
#include <string>

namespace simulator {

// Runs the named measurement; false when there is none of that name.
bool measure(const std::string& name);
// All names, separated by spaces.
std::string measurement_names();

}  // namespace simulator
