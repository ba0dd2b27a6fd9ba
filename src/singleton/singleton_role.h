// A role that at most one node acts in at a time: the first live node in the order of names, under an epoch
// that the others refuse to go below (a fencing token).
//
// Safety rests on the epochs, which a register hands out, not on the membership: two nodes that both believe
// to be first never share an epoch, and receivers refuse the lower one.
//
// Progress rests on the owner noticing that it was superseded: it confirms its claim at the register once a
// second, and steps down when a receiver names a higher epoch. If it is still the first in order it claims
// anew, under an epoch above the other one's.
#pragma once
#include "consensus/proposer.h"
#include "membership/member_list.h"

namespace herontally::singleton {

// How often a node looks whether it is the first in order.
constexpr runtime::microseconds review_period = 200 * runtime::millisecond;
// How long an owner goes by its last look at the register. Whoever claimed the role in between is noticed
// within this time, also if nobody refuses the owner's epoch.
constexpr runtime::microseconds confirmation_period = runtime::second;
constexpr runtime::microseconds confirmation_timeout = runtime::second;

// What one node believes of a role.
struct role_status {
  std::string role;
  bool owned = false;
  std::int64_t epoch = 0;  // under which it owns the role, or owned it last; 0: never
  bool refused = false;    // a receiver has refused this epoch
};

// Copies share one state.
class singleton_role {
 public:
  // Nodes of `candidates` share the role `name`, whose epochs the register "duty/NAME" of the catalog hands
  // out.
  singleton_role(membership::member_list members, consensus::proposer catalog, std::string name,
                 rpc::node_role candidates);
  // Claims and confirms the role whenever this node is the first in order, until the process stops.
  void start();
  bool is_owner() const;
  // Under which this node owns the role, or owned it last; 0: never.
  std::int64_t epoch() const;
  role_status status() const;
  // A receiver refused our epoch as too low: somebody owned the role after us, so that it must be claimed
  // anew.
  void step_down(std::int64_t seen_epoch);
  // The same, where the refusal doesn't say which epoch it was made for.
  void step_down();

 private:
  struct state;
  std::shared_ptr<state> state_;
};

// What a receiver remembers: the highest epoch it has seen of each role.
class epoch_fence {
 public:
  // False for an epoch below the highest one seen; otherwise that is the highest from now on.
  bool admit(const std::string& role, std::int64_t epoch);
  // 0 if none was seen.
  std::int64_t highest(const std::string& role) const;

 private:
  std::map<std::string, std::int64_t> highest_;
};

}  // namespace herontally::singleton
