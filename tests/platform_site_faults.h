// Faults of the site, one after another, by seed.
#pragma once
#include "platform_site.h"

namespace herontally::platform_simulator {

struct run_options {
  std::uint64_t seed = 1;
  std::vector<std::string> only;
  int faults = 8;
  int losses = 1;                    // machines that keep data lost at once
  microseconds pause = usual_pause;  // the longest between two beginnings of clients
};
struct run_report {
  std::vector<violation> violations;
  std::vector<std::string> story;
  std::map<std::string, std::int64_t> counts;
};

const std::vector<std::string>& fault_kinds();
// Kinds that are struck only where they are asked for by name.
const std::vector<std::string>& named_fault_kinds();
// Nothing is struck among cores and stores before the last loss there, or the last ones, are whole again.
void strike(site& where, const std::string& kind);
// A change of the configuration by the operator: "change", "amend", "race" or "invalid".
void change(site& where, const std::string& kind);
// How long a core is kept from its like.
constexpr microseconds isolation = 22 * second;
void closing_fault(site& where, const std::string& kind, int losses);
run_report run_scenario(const run_options& choice);

}  // namespace herontally::platform_simulator
