// The simulated storage machines of a run: starts and stops them, tells which losses the group must tolerate
// now and whether it has recovered. It decides on no fault itself (injector.h).
#pragma once
#include <map>
#include <memory>
#include <set>

#include "model/plan.h"
#include "replication/voter.h"
#include "simulator/world.h"

namespace herontally::model {

constexpr const char* group_name = "store";

// One storage machine: its current voter and the faults that affect it now.
struct storage_machine {
  std::string name;
  std::shared_ptr<replication::voter> voter;
  bool isolated = false;
  bool losing_power = false;  // its power fails at one of its next disk operations
};

class cluster {
 public:
  // Adds `voters + spares` storage machines to the world and starts them.
  cluster(simulator::world& world, const run_options& options);
  std::vector<std::string> addresses() const;
  std::vector<std::string> storage_names() const;
  storage_machine& storage(const std::string& name);
  // The first `count` machines, without identities: those are queried when the group is founded.
  std::vector<consensus::voter_info> founding_voters(int count) const;

  // Starts the machine's process and its voter; does nothing while it runs.
  void boot(const std::string& name);
  // Ends the machine's process, with the given loss of its disk; does nothing while it is down.
  void kill(const std::string& name, simulator::disk_loss loss);
  // Whether the group must tolerate the loss of this machine on top of the present faults: fewer than half of
  // each voter set in use would then be impaired.
  bool tolerates_loss(const std::string& name) const;
  // The newest view that a running voter has installed, or that it has accepted as the next one.
  consensus::view newest_view() const;
  // Whether the newest view that a running voter has installed is a joint one.
  bool move_in_progress() const;
  // One line for each machine: its identity and the view that it has installed.
  std::vector<std::string> describe() const;
  // Whether every machine that is no voter may become one: no view is installed there.
  bool spares_usable() const;
  // Whether no move is in progress and every voter of the newest view is unimpaired, has that view installed
  // and has the identity that the view names.
  bool all_voters_in_place() const;

 private:
  bool impaired(const consensus::voter_info& voter) const;
  // Whether a view in use has a voter on this machine.
  bool votes_in_use(const std::string& name) const;
  std::size_t recent_spare_losses() const;
  // Every view that a running voter has installed or accepted, by number.
  std::map<std::int64_t, std::vector<consensus::view>> known_views() const;
  // The known views that may still take part in a decision.
  std::vector<consensus::view> views_in_use() const;

  simulator::world& world_;
  std::vector<std::string> names_;
  std::map<std::string, storage_machine> machines_;
  // Identities whose disk is gone; shared with the tasks that open voters.
  std::shared_ptr<std::set<std::string>> lost_identities_ = std::make_shared<std::set<std::string>>();
  // The times at which spares lost their disks: a mover may be about to propose one of them as a voter.
  std::vector<runtime::microseconds> spare_loss_times_;
};

// An endpoint on the named machine whose log lines are discarded.
rpc::endpoint make_endpoint(simulator::world& world, const std::string& machine);

}  // namespace herontally::model
