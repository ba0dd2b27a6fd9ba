// Plans which machines should be the voters of a register group. The plan is a pure function of what was
// observed; observing the voters and carrying out the plan is up to voter_group_manager.h.
#pragma once
#include "consensus/view.h"
#include "settings/settings.h"

namespace herontally::control_node {

// The simultaneous losses that a group must tolerate with every guarantee kept.
struct loss_budget {
  std::int64_t machines = 1;
  std::int64_t zones = 1;

  // The size of a group that keeps a majority after the loss of `machines` voters.
  std::size_t voters() const { return static_cast<std::size_t>(2 * machines + 1); }
};

// The losses that this deployment must tolerate by its settings.
loss_budget loss_budget_from(const settings::settings& node_settings);

enum class voter_condition {
  present,  // answers under its identity, or has been silent for a short time only
  lost,     // no longer live in the membership and unreachable, or its disk came back empty
};

// The state of one voter as the planning node sees it.
struct voter_observation {
  consensus::voter_info voter;
  voter_condition condition = voter_condition::present;
  bool retiring = false;  // its node is to hold no data any more
  bool answered = false;  // in this observation, under whatever identity
};

// Returns the voters that the group should have. Present voters stay; lost and retiring ones are replaced by
// `spares`. The group grows to `budget.voters()` as far as there are machines. No zone holds so many voters
// that its loss would take the majority, if machines of other zones allow it. Where spares don't suffice, the
// group keeps its lost voters, since their disks may come back.
//
// `observed` contains all voters of `agreed_view`, also those before a joint view; an `agreed_view` without
// voters plans a group's first view.
std::vector<consensus::voter_info> plan_voters(const consensus::view& agreed_view,
                                               const std::vector<voter_observation>& observed,
                                               const std::vector<consensus::voter_info>& spares,
                                               const loss_budget& budget);

// The most voters that each zone may have in a group of `group_size` voters, so that the loss of
// `budget.zones` zones leaves a majority. At least 1; `group_size` if no loss of a zone must be tolerated.
std::size_t max_voters_per_zone(std::size_t group_size, const loss_budget& budget);

// How far a group falls short of its budget.
struct voter_shortfall {
  std::size_t missing_voters = 0;   // voters that the group lacks
  std::size_t over_zone_limit = 0;  // voters beyond max_voters_per_zone(), summed over the zones
  bool operator==(const voter_shortfall&) const = default;
};
voter_shortfall shortfall_of(const std::vector<consensus::voter_info>& voters, const loss_budget& budget);

}  // namespace herontally::control_node
