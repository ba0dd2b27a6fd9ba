// How long a group of voters may stay short of a voter: the sum of the design's own timers.
//
// The bound holds from the moment at which the last machine went or came, while a quorum of the cores and of
// the group is up and in touch and a machine is there that may take the voter's place. It allows nothing for
// steps that are lost on the way: these are the ones that a shrinking quorum or a cut brings about.
#pragma once
#include "control_node/voter_group_manager.h"
#include "membership/member_list.h"
#include "singleton/singleton_role.h"

namespace herontally::control_node {

// Periods until some node's turn comes to probe a given one, and until the others have learned of it.
constexpr int probe_periods_until_noticed = 5;
constexpr int probe_periods_until_known = 2;

// Until every node holds a silent machine for dead.
constexpr microseconds detection_bound() {
  membership::probe_options probes;
  return probe_periods_until_noticed * probes.period + probes.direct_timeout + probes.indirect_timeout +
         probes.suspicion_timeout + probe_periods_until_known * probes.period;
}

// Until an owner of a singleton role that was superseded knows of it.
constexpr microseconds supersession_bound() {
  return singleton::confirmation_period + singleton::confirmation_timeout + 2 * singleton::review_period;
}

// Until a group is whole again: the loss is noticed, a core owns the role under the newest epoch, two reviews
// lie around the time that a silent voter is waited for, and the move takes one step.
constexpr microseconds repair_bound() {
  constexpr microseconds review = group_review_period + voter_identify_timeout;
  return detection_bound() + supersession_bound() + review + replacement_delay + review + move_step;
}

}  // namespace herontally::control_node
