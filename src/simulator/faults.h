// Internal to simulator: the faults that a scenario draws.
#pragma once
#include "simulator/scenario.h"

namespace simulator {

class faults {
 public:
  faults(site& target, oracle& judge, std::vector<std::string>& story);
  ~faults();
  // Begins one fault of this kind now; it ends by itself within some seconds.
  void begin(const std::string& kind);
  // Ends what still goes on: all is healed, woken and booted.
  void end_all();
  // A client or operator got an acknowledgement.
  void reply_received();
  const std::set<std::string>& gone() const;  // machines that never come back

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace simulator
