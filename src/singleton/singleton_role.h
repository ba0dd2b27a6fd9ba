// A role that at most one node of the cluster acts in at a time: the first live candidate in the order of
// names, under an epoch that serves as a fencing token. What the owner does in the role is up to its callers.
//
// Safety rests on the epochs, which a register assigns, not on the membership: two nodes that both take
// themselves for the first candidate never have the same epoch, and receivers refuse the lower one.
//
// Progress requires that an owner notices when it was superseded: it reads its claim in the register once a
// second, and steps down when a receiver reports a higher epoch. If it is still the first candidate it then
// claims the role again, under an epoch above the other one.
#pragma once
#include "consensus/proposer.h"
#include "membership/member_list.h"

namespace herontally::singleton {

// How often a node checks whether it is the first candidate.
constexpr runtime::microseconds review_period = 200 * runtime::millisecond;
// How long an owner relies on its last read of the register. A claim by another node is noticed within this
// time, even if no receiver refuses the owner's epoch.
constexpr runtime::microseconds confirmation_period = runtime::second;
constexpr runtime::microseconds confirmation_timeout = runtime::second;

// The state of a role as one node knows it.
struct role_status {
  std::string role;
  bool owned = false;
  std::int64_t epoch = 0;      // under which this node owns the role, or owned it last; 0: never
  bool epoch_refused = false;  // a receiver has refused this epoch
};

// Copies share one state.
class singleton_role {
 public:
  // Nodes of role `candidate_role` are the candidates for the singleton role `name`. `catalog` proposes in
  // the group whose register "duty/NAME" assigns the epochs.
  singleton_role(membership::member_list members, consensus::proposer catalog, std::string name,
                 rpc::node_role candidate_role);
  // Claims and confirms the role whenever this node is the first candidate, until the process stops.
  void start();
  bool is_owner() const;
  // The epoch under which this node owns the role, or owned it last; 0: never.
  std::int64_t epoch() const;
  role_status status() const;
  // Call when a receiver has refused this node's epoch as lower than `seen_epoch`: another node has claimed
  // the role since, so that this node must claim it again before it goes on. Ignored unless `seen_epoch` is
  // above the current epoch.
  void step_down(std::int64_t seen_epoch);
  // The same for a refusal that doesn't tell the higher epoch.
  void step_down();

 private:
  struct state;
  std::shared_ptr<state> state_;
};

// Kept by a receiver to refuse superseded owners: the highest epoch that it has seen of each role.
class epoch_fence {
 public:
  // False for an epoch below the highest one seen; otherwise the epoch becomes the highest.
  bool admit(const std::string& role, std::int64_t epoch);
  // 0 if none was seen.
  std::int64_t highest(const std::string& role) const;

 private:
  std::map<std::string, std::int64_t> highest_;
};

}  // namespace herontally::singleton
