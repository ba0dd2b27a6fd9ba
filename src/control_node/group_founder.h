// Internal to the control node: bootstraps both register groups at the first start. The cores make the core
// group's first view from the seeds; the owner of the voter groups role then makes that of the storage group.
// Later views are made by voter_group_manager.h.
#pragma once
#include "control_node/voter_group_manager.h"
#include "replication/voter.h"
#include "runtime/retry_log.h"

namespace herontally::control_node {

class group_founder : public std::enable_shared_from_this<group_founder> {
 public:
  group_founder(std::shared_ptr<context> shared, replication::voter voter)
      : context_(std::move(shared)),
        voter_(std::move(voter)),
        founding_log_(context_->runtime, context_->logger, "founding the core group", {}) {}
  // Bootstraps the core group if this core's voter has a claim to found it; ends at once otherwise. Ends when
  // this core has a view.
  task<> found_core_group();
  // Logs periodically, until a core group is known, that there is none.
  task<> report_missing_group();
  // Completes what an interrupted bootstrap may have left undone, while this node owns the voter groups role.
  // Ends when both groups have their first view.
  task<> finish_founding();

 private:
  using voter_info = consensus::voter_info;
  // Which of the seeds of the first start still have the claim.
  struct claim_survey {
    std::vector<std::string> with_claim, without_claim;  // inner addresses
  };

  std::optional<std::vector<voter_info>> initial_core_voters() const;
  task<std::optional<claim_survey>> survey_claims();
  task<bool> has_no_view(std::string address);
  task<bool> confirm_claims(std::vector<voter_info> founders);
  task<> try_bootstrap_core_group(std::vector<voter_info> founders);
  task<bool> write_core_view();
  task<std::vector<voter_info>> initial_storage_voters();
  task<std::vector<voter_info>> identify_empty_machines(std::vector<voter_info> machines);
  task<std::optional<consensus::view>> write_first_storage_view();
  task<bool> bootstrap_storage_group();

  std::shared_ptr<context> context_;
  replication::voter voter_;  // of this node
  runtime::retry_log founding_log_;
  microseconds majority_confirmed_since_ = -1;   // -1: not confirmed, or by all seeds
  std::size_t storage_count_ = 0;                // storage machines that were alive at the last check
  microseconds storage_count_stable_since_ = 0;  // since when that number is the same
};

}  // namespace herontally::control_node
