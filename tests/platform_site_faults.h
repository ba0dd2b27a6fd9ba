// Faults of the site, one after another, by seed.
#pragma once
#include "platform_site.h"

namespace herontally::platform_simulator {

struct run_options {
  std::uint64_t seed = 1;
  std::vector<std::string> only;
  int faults = 8;
  site_shape shape;
  // How long faults are struck on a long day; 0: `faults` of them, one after another.
  microseconds long_day = 0;
  microseconds pause = usual_pause;  // the longest between two beginnings of clients
  // Requests that take seconds, on connections that rest nearly as long as they may.
  bool long_requests = false;
};
struct run_report {
  std::vector<violation> violations;
  std::vector<std::string> story;
  std::map<std::string, std::int64_t> counts;
};

const std::vector<std::string>& fault_kinds();
// Kinds that are struck on long days, or where they are asked for by name.
const std::vector<std::string>& named_fault_kinds();
// Nothing is struck among cores and stores before the last loss there, or the last ones, are whole again.
void strike(site& where, const std::string& kind);
// A change of the configuration by the operator: "change", "amend", "race" or "invalid".
void change(site& where, const std::string& kind);
// How long a core is kept from its like.
constexpr microseconds isolation = 22 * second;
void closing_fault(site& where, const std::string& kind, int losses);
// Whether a kind of fault ends a run.
bool is_closing(const std::string& kind);
run_report run_scenario(const run_options& choice);
// A day as long and as full as the users': a change every few hundred milliseconds, overlapping faults of
// edges and engines, as many lost machines that keep data at once as must be borne, again as soon as the
// pages allow, and a closing loss of everything.
void play_long_day(site& where, const run_options& choice, const std::vector<std::string>& kinds);

}  // namespace herontally::platform_simulator
