// Internal to simulator: the faults that a scenario injects into a site. The scenario chooses kinds and
// times; the machine and the course of each fault are drawn from the world's random numbers. Nothing here
// checks the site.
#pragma once
#include "simulator/scenario.h"

namespace simulator {

// Injects faults into a site, one at a time or overlapping.
class fault_injector {
 public:
  // All three must outlive this. A line for each fault is appended to `fault_log`.
  fault_injector(site& target, oracle& checker, std::vector<std::string>& fault_log);
  ~fault_injector();
  // Begins one fault of a kind that fault_kinds() names. Most end by themselves within some seconds; replaced
  // and retired machines stay away. A kind whose preconditions do not hold now does nothing.
  void begin(const std::string& kind);
  // Ends all faults: heals links and disks, wakes frozen machines, boots those that are down.
  void end_all();
  // A client received an acknowledgement: injects the fault that waits for one, if any.
  void reply_received();
  const std::set<std::string>& removed() const;  // machines that never come back

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace simulator
