// Internal to the control node: keeps a group of voters as it should be. Moves that were begun are finished,
// lost voters replaced, retiring ones emptied, the group grown and spread over zones.
//
// Each group has a manager and a task of its own, so that a move of one that can't go on holds up nothing of
// the other. Decisions are made in voter_plan.h, without any I/O.
#pragma once
#include "control_node/shortfall_report.h"
#include "control_node/storage_directory.h"
#include "control_node/voter_plan.h"

namespace herontally::control_node {

// Stands before a node's name where the identity of its voter isn't known yet.
constexpr const char* unidentified_prefix = "?";

// From when the membership gives a voter up, and it doesn't answer us either, until a spare takes its place.
// A machine that is gone for good mustn't be waited for: until it is replaced the group has one loss less to
// bear. One that only restarts, and finds itself replaced, is a spare.
constexpr microseconds replacement_delay = second;
constexpr microseconds group_review_period = 500 * millisecond;
constexpr microseconds voter_identify_timeout = 400 * millisecond;
// One step of a review; what it leaves undone is planned anew, by what is known then.
constexpr microseconds move_step = 3 * second;

class voter_group_manager : public std::enable_shared_from_this<voter_group_manager> {
 public:
  // `group` proposes in the managed group, whose voters run on nodes of `role`. `directory`: published with
  // each review; nullptr: none.
  voter_group_manager(std::shared_ptr<context> shared, consensus::proposer group, std::string name,
                      rpc::node_role role, std::shared_ptr<storage_directory> directory)
      : context_(std::move(shared)),
        group_(std::move(group)),
        name_(std::move(name)),
        role_(role),
        directory_(std::move(directory)),
        shortfall_(context_->logger, name_, budget_of(context_->place)) {}
  // Reviews the group on the node that owns the role, until the process stops.
  task<> run();

 private:
  using view = consensus::view;
  using voter_info = consensus::voter_info;
  // A plan under way: the voters that are wanted, and the machines that may still be chosen.
  struct draft {
    std::vector<voter_info> wanted, spares;
  };

  task<> review();
  task<bool> begin_move(view agreed, std::vector<voter_info> wanted);
  task<std::optional<std::vector<voter_info>>> plan(view agreed);
  task<bool> identify_chosen(std::shared_ptr<draft> plan, view agreed);
  task<std::vector<voter_observation>> observe_voters(view agreed);
  task<voter_observation> observe(voter_info voter, bool retiring);
  task<> report_observation(voter_info voter, bool retiring, runtime::mailbox<voter_observation> results);
  std::vector<voter_info> possible_spares(const std::vector<voter_observation>& observed) const;
  std::set<std::string> retiring_nodes() const;
  task<> dismiss(voter_info voter, view agreed);
  void report_lost(const std::vector<voter_observation>& observed);
  // `agreed`: the view from which the move was to begin.
  void report_refusal(const view& agreed, reconfiguration::move_error why) const;
  bool is_owner() const { return context_->voter_groups_role.is_owner() && !context_->leaving; }

  std::shared_ptr<context> context_;
  consensus::proposer group_;
  std::string name_;
  rpc::node_role role_;
  std::shared_ptr<storage_directory> directory_;
  std::map<std::string, microseconds> silent_since_;  // by voter; 0: it answered, or its node lives
  shortfall_report shortfall_;
  std::vector<std::string> reported_lost_;  // nodes of lost voters that no spare has replaced
};

// The losses that this site's groups have to bear at once.
}  // namespace herontally::control_node
