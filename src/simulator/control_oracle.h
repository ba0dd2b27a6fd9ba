// Inspects the cores and stores of a simulated site for faults that clients don't notice yet.
//
// Rules:
// - WHOLE: while no machine fails or returns and a quorum of each group is healthy and connected, each
//   group of voters is whole within control_node::repair_bound(). Whole: the view isn't joint, each of its
//   voters runs under the identity that the view names, and the group has as many voters as its loss budget
//   needs, spread over the zones as the budget needs. A lost voter counts only if a machine is available to
//   replace it. A site with too few machines for its loss budget breaks the rule while all of them are up.
// - ROLE: a superseded owner of a singleton role gives the role up within control_node::supersession_bound(),
//   and doesn't continue under an epoch that a receiver has refused.
//
// It draws no random numbers and sends no messages, so that it doesn't change the run of a seed.
#pragma once
#include <functional>
#include <memory>

#include "control_node/voter_plan.h"
#include "simulator/world.h"

namespace simulator {

// The site that is inspected.
struct watched_site {
  // Names of the role's machines that were not removed for good, also of those that are down.
  std::function<std::vector<std::string>()> cores, stores;
  // Called for each violation.
  std::function<void(const std::string& rule, const std::string& what)> report;
  herontally::control_node::loss_budget budget;  // the losses that each group has to survive
};

class control_oracle {
 public:
  control_oracle(world& sim_world, watched_site site);
  ~control_oracle();
  // Inspects the site at once and then every 250 ms of virtual time, until this object is destroyed.
  void start();

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace simulator
