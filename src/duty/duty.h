// A duty that one node does: the first live node in the agreed order, under an epoch that others refuse to go
// below.
#pragma once
#include "consensus/proposer.h"
#include "membership/member_list.h"

namespace herontally::duty {

class duty {
 public:
  // Nodes of `role` share the duty, in the order of their names.
  duty(membership::member_list known, consensus::proposer catalog, std::string name, rpc::node_role role);
  void start();
  bool mine() const;
  std::int64_t epoch() const;
  // A receiver refused our epoch as too low: somebody held the duty after us, so it must be taken anew.
  void superseded(std::int64_t seen);

 private:
  struct state;
  std::shared_ptr<state> state_;
};

// What a receiver remembers: the highest epoch it has seen of each duty.
class gate {
 public:
  bool pass(const std::string& name, std::int64_t epoch);
  std::int64_t highest(const std::string& name) const;

 private:
  std::map<std::string, std::int64_t> highest_;
};

}  // namespace herontally::duty
