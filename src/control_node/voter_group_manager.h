// Internal to the control node: keeps the voters of one group as they should be. Finishes moves that were
// begun, replaces lost voters, empties retiring ones, and grows the group and spreads it over zones.
//
// Each group has its own manager and task, so that a move of one group that can't proceed doesn't block the
// other. What the voters should be is decided in voter_plan.h; a group's first view is made by
// group_founder.h.
#pragma once
#include "control_node/shortfall_report.h"
#include "control_node/storage_directory.h"
#include "control_node/voter_plan.h"

namespace herontally::control_node {

// Prefixes the node's name in the id of a voter whose identity isn't known yet.
constexpr const char* unidentified_prefix = "?";

// How long a voter's node must have been dead or gone for the membership, without answering this node either,
// before a spare replaces the voter. A machine that is gone for good mustn't be waited for: until it is
// replaced the group tolerates one loss less. A machine that only restarts and finds itself replaced becomes
// a spare.
constexpr microseconds replacement_delay = second;
constexpr microseconds group_review_period = 500 * millisecond;
constexpr microseconds voter_identify_timeout = 400 * millisecond;
// Limits beginning a move and finishing it, each. The next review plans anew whatever was left undone, by the
// state of that time.
constexpr microseconds move_step_timeout = 3 * second;

class voter_group_manager : public std::enable_shared_from_this<voter_group_manager> {
 public:
  // `group` proposes in the managed group, whose voters run on nodes of `role`. `name` is the group's name.
  // `directory` is published with each review; nullptr: none.
  voter_group_manager(std::shared_ptr<context> shared, consensus::proposer group, std::string name,
                      rpc::node_role role, std::shared_ptr<storage_directory> directory)
      : context_(std::move(shared)),
        group_(std::move(group)),
        name_(std::move(name)),
        role_(role),
        directory_(std::move(directory)),
        shortfall_(context_->logger, name_, loss_budget_from(context_->node_settings)) {}
  // Reviews the group while this node owns the voter groups role, until the process stops.
  task<> run();

 private:
  using view = consensus::view;
  using voter_info = consensus::voter_info;
  // A plan in progress: the target voters, and the spares that may still be chosen.
  struct pending_plan {
    std::vector<voter_info> target, spares;
  };

  task<> review();
  task<bool> begin_move(view agreed_view, std::vector<voter_info> target);
  task<std::optional<std::vector<voter_info>>> plan(view agreed_view);
  task<bool> identify_spares(std::shared_ptr<pending_plan> plan, view agreed_view);
  task<std::vector<voter_observation>> observe_voters(view agreed_view);
  task<voter_observation> observe(voter_info voter, bool retiring);
  task<> push_observation(voter_info voter, bool retiring, runtime::mailbox<voter_observation> results);
  std::vector<voter_info> spare_candidates(const std::vector<voter_observation>& observed) const;
  std::set<std::string> retiring_nodes() const;
  task<> wipe_removed_voter(voter_info voter, view agreed_view);
  void report_lost(const std::vector<voter_observation>& observed);
  // `agreed_view`: the view from which the move was to begin.
  void report_refused_move(const view& agreed_view, reconfiguration::move_error error) const;
  bool is_owner() const { return context_->voter_groups_role.is_owner() && !context_->leaving; }

  std::shared_ptr<context> context_;
  consensus::proposer group_;
  std::string name_;
  rpc::node_role role_;
  std::shared_ptr<storage_directory> directory_;
  // By voter: since when its node isn't live and it doesn't answer; 0: it answered, or its node is live.
  std::map<std::string, microseconds> unreachable_since_;
  shortfall_report shortfall_;
  std::vector<std::string> reported_lost_;  // nodes of lost voters that no spare has replaced
};

}  // namespace herontally::control_node
