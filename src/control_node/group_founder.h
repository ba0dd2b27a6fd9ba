// Internal to the control node: the first start. The cores found their group from the seeds, then one of them
// founds the storage group.
#pragma once
#include "control_node/voter_group_manager.h"
#include "replication/voter.h"

namespace herontally::control_node {

class group_founder : public std::enable_shared_from_this<group_founder> {
 public:
  group_founder(std::shared_ptr<context> shared, replication::voter voter)
      : context_(std::move(shared)), voter_(std::move(voter)) {}
  // Founds the core group, where the settings say that this is the first start. Ends when this core has a
  // view.
  task<> found_core_group();
  // Finishes what a founder may have left undone, on the node that owns the role. Ends when both groups
  // stand.
  task<> finish_founding();

 private:
  using voter_info = consensus::voter_info;
  std::optional<std::vector<voter_info>> core_founders() const;
  task<> try_found_core(std::vector<voter_info> founders);
  task<bool> write_core_view();
  task<std::vector<voter_info>> storage_founders();
  task<std::vector<voter_info>> identify_empty(std::vector<voter_info> machines);
  task<std::optional<consensus::view>> first_storage_view();
  task<bool> found_storage_group();

  std::shared_ptr<context> context_;
  replication::voter voter_;      // of this node
  std::size_t storage_seen_ = 0;  // live storage machines, and since when their number is the same
  microseconds storage_unchanged_since_ = 0;
};

}  // namespace herontally::control_node
