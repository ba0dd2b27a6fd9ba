// Which machines should vote in a register group: a plan made from what is known, without any I/O.
#pragma once
#include "consensus/view.h"
#include "settings/settings.h"

namespace herontally::control_node {

// The losses that a group has to bear at once with every guarantee kept.
struct loss_budget {
  std::int64_t machines = 1;
  std::int64_t zones = 1;

  std::size_t voters() const { return static_cast<std::size_t>(2 * machines + 1); }
};

// What this deployment has to bear by its settings.
loss_budget budget_of(const settings::settings& place);

enum class voter_condition {
  present,  // it answers under its identity, or has been silent for a short time only
  lost,     // given up by the membership, or its disk came back empty
};

struct voter_observation {
  consensus::voter_info voter;
  voter_condition condition = voter_condition::present;
  bool retiring = false;
  bool answered = false;  // just now, under whatever identity
};

// The voters that the group should have. Present voters stay; lost and retiring ones are replaced by spares;
// the group grows to `budget.voters()` as far as machines are there, and no zone holds so many voters that
// its loss would take the majority, where machines of other zones allow it. A group of which too little is
// left keeps its lost voters, since their disks may come back. `observed` has all voters of `agreed`, also
// those before a joint view; an `agreed` without voters plans a group's first view.
std::vector<consensus::voter_info> plan_voters(const consensus::view& agreed,
                                               const std::vector<voter_observation>& observed,
                                               const std::vector<consensus::voter_info>& spares,
                                               const loss_budget& budget);

// The most voters of one zone with which the loss of a zone leaves a majority of `size` voters.
std::size_t zone_limit(std::size_t size, const loss_budget& budget);

// How far a group falls short of its budget: voters that are lacking, and voters beyond the limit of a zone.
struct voter_shortfall {
  std::size_t voters = 0, crowded = 0;
  bool operator==(const voter_shortfall&) const = default;
};
voter_shortfall shortfall_of(const std::vector<consensus::voter_info>& voters, const loss_budget& budget);

}  // namespace herontally::control_node
