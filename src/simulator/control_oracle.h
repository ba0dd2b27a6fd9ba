// Looks into the cores and stores of a simulated site for what is quietly wrong there while clients see
// nothing of it yet.
//
// Rules:
// - WHOLE: while no machine goes or comes and enough of them are up and in touch, each group of voters is
// whole
//   within control_node::repair_bound(): its view is no joint one, each of its voters runs under the identity
//   that the view names, and it has as many voters as the losses to be borne ask for, spread over the zones
//   as they ask. A lost voter counts only where a machine is there to take its place. A site that has too few
//   machines for the losses that it claims to bear breaks the rule with all of them up.
// - ROLE: the owner of a singleton role that was superseded learns of it within
//   control_node::supersession_bound(), and doesn't go on under an epoch that a receiver has refused.
//
// It draws no random numbers and sends no messages, so that it changes nothing in the run of a seed.
#pragma once
#include <functional>
#include <memory>

#include "control_node/voter_plan.h"
#include "simulator/world.h"

namespace simulator {

// The site that is looked at.
struct watched_site {
  // Machines of the role that were not taken away, also those that are down.
  std::function<std::vector<std::string>()> cores, stores;
  std::function<void(const std::string& rule, const std::string& what)> report;
  herontally::control_node::loss_budget budget;
};

class control_oracle {
 public:
  control_oracle(world& where, watched_site site);
  ~control_oracle();
  // Looks again and again from now on.
  void start();

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace simulator
