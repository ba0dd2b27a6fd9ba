// The longest time that a register group may take to be whole again after a loss: the sum of the timers
// involved. The simulator's oracle checks the groups against it.
//
// The bound holds from the moment at which the last machine failed or came up, while a quorum of the cores
// and of the group is up and connected and there is a machine that may replace the voter. It allows nothing
// for steps that fail on the way: only a shrinking quorum or a network partition makes steps fail.
#pragma once
#include "control_node/voter_group_manager.h"
#include "membership/member_list.h"
#include "singleton/singleton_role.h"

namespace herontally::control_node {

// Probe periods until some node probes a given one, and until all nodes have learned the result.
constexpr int max_periods_until_probed = 5;
constexpr int max_dissemination_periods = 2;

// The longest time until every node has declared a silent machine dead.
constexpr microseconds detection_bound() {
  membership::probe_options probes;
  return max_periods_until_probed * probes.period + probes.direct_timeout + probes.indirect_timeout +
         probes.suspicion_timeout + max_dissemination_periods * probes.period;
}

// The longest time until the owner of a singleton role notices that it was superseded.
constexpr microseconds supersession_bound() {
  return singleton::confirmation_period + singleton::confirmation_timeout + 2 * singleton::review_period;
}

// The longest time until a group is whole again: the loss is detected, a core owns the role under the newest
// epoch, one review comes before the replacement delay of a silent voter and one after it, and the move takes
// one step.
constexpr microseconds repair_bound() {
  constexpr microseconds review = group_review_period + voter_identify_timeout;
  return detection_bound() + supersession_bound() + review + replacement_delay + review + move_step_timeout;
}

}  // namespace herontally::control_node
