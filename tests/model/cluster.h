// The simulated storage machines of a run, and the faults that they and the network can bear at once.
#pragma once
#include <map>
#include <memory>
#include <set>

#include "model/plan.h"
#include "replication/voter.h"
#include "simulator/world.h"

namespace herontally::model {

constexpr const char* group_name = "store";

// One storage machine: its present voter and the faults that it suffers.
struct storage_machine {
  std::string name;
  std::shared_ptr<replication::voter> voter;
  bool isolated = false;
  bool losing_power = false;
};

class cluster {
 public:
  cluster(simulator::world& world, const run_options& options);
  std::vector<std::string> addresses() const;
  std::vector<std::string> storage_names() const;
  storage_machine& storage(const std::string& name);
  // The places of the first `count` machines; their identities are asked for when the group begins.
  std::vector<consensus::voter_info> founders(int count) const;

  void boot(const std::string& name);
  void kill(const std::string& name, simulator::disk_loss loss);
  // Whether the group must bear the loss of this machine together with what it suffers already: fewer than
  // half of each voter set that may be relied on.
  bool may_lose(const std::string& name) const;
  // The newest view that a running voter has installed, or that it has accepted as the next one.
  consensus::view newest_view() const;
  // Whether the newest view that a running voter has installed is a joint one.
  bool move_open() const;
  // One line for each machine: its identity and the view that it has installed.
  std::vector<std::string> describe() const;
  // Whether every machine that is no voter may become one: empty, with no view.
  bool spares_usable() const;
  // Whether every voter of the newest view runs under it with the identity that it names, and no move is
  // open.
  bool whole() const;

 private:
  bool impaired(const consensus::voter_info& place) const;
  bool relies_on(const std::string& name) const;
  std::size_t recent_spare_losses() const;
  std::map<std::int64_t, std::vector<consensus::view>> views_seen() const;
  std::vector<consensus::view> relied_on() const;

  simulator::world& world_;
  std::vector<std::string> names_;
  std::map<std::string, storage_machine> machines_;
  // Identities whose disk is gone; shared with the tasks that open voters.
  std::shared_ptr<std::set<std::string>> lost_identities_ = std::make_shared<std::set<std::string>>();
  // When spares lost their disks: a mover may be about to name one of them as a voter.
  std::vector<runtime::microseconds> spare_losses_;
};

rpc::endpoint make_port(simulator::world& world, const std::string& machine);

}  // namespace herontally::model
