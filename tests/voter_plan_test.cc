// The planning of voters: first views, growth, and groups in each state that losses can leave behind.
#include "control_node/voter_plan.h"

#include <catch2/catch.hpp>
#include <set>

using namespace herontally;
using namespace herontally::control_node;

namespace {

consensus::voter_info voter_at(const std::string& node, const std::string& zone) {
  return {"id-" + node, node + ":7000", node, zone};
}

consensus::view group_of(std::vector<consensus::voter_info> voters) {
  consensus::view agreed_view;
  agreed_view.group = "store";
  agreed_view.number = 1;
  agreed_view.voters = std::move(voters);
  return agreed_view;
}

std::vector<voter_observation> all_present(const consensus::view& agreed_view) {
  std::vector<voter_observation> observed;
  for (auto& voter : agreed_view.all_voters()) observed.push_back({voter, voter_condition::present, false});
  return observed;
}

voter_observation& observation_of(std::vector<voter_observation>& observed, const std::string& node) {
  for (auto& observation : observed)
    if (observation.voter.node == node) return observation;
  throw std::out_of_range(node);
}

std::set<std::string> nodes_in(const std::vector<consensus::voter_info>& voters) {
  std::set<std::string> nodes;
  for (auto& voter : voters) nodes.insert(voter.node);
  return nodes;
}

constexpr loss_budget one_loss{1, 1}, two_losses{2, 1};

}  // namespace

TEST_CASE("a first view has one voter more than twice the losses, spread over the zones") {
  std::vector<consensus::voter_info> machines{voter_at("a1", "a"), voter_at("a2", "a"), voter_at("a3", "a"),
                                              voter_at("b1", "b"), voter_at("b2", "b"), voter_at("b3", "b"),
                                              voter_at("c1", "c"), voter_at("c2", "c")};
  auto five = plan_voters({}, {}, machines, two_losses);
  CHECK(five.size() == 5);
  CHECK(shortfall_of(five, two_losses) == voter_shortfall{});
  auto three = plan_voters({}, {}, machines, one_loss);
  CHECK(nodes_in(three) == std::set<std::string>{"a1", "b1", "c1"});
  // With too few machines for the loss budget: the largest odd number that they allow.
  machines.resize(4);
  CHECK(plan_voters({}, {}, machines, two_losses).size() == 3);
}

TEST_CASE("a group that meets its loss budget is not changed") {
  auto agreed_view = group_of({voter_at("a1", "a"), voter_at("b1", "b"), voter_at("c1", "c")});
  auto planned = plan_voters(agreed_view, all_present(agreed_view),
                             {voter_at("a2", "a"), voter_at("b2", "b")}, one_loss);
  CHECK(consensus::same_voters(planned, agreed_view.voters));
}

TEST_CASE("a group of three grows to five once two more machines are there, never to four") {
  auto agreed_view = group_of({voter_at("a1", "a"), voter_at("b1", "b"), voter_at("c1", "c")});
  CHECK(plan_voters(agreed_view, all_present(agreed_view), {voter_at("a2", "a")}, two_losses).size() == 3);
  auto grown = plan_voters(agreed_view, all_present(agreed_view), {voter_at("a2", "a"), voter_at("b2", "b")},
                           two_losses);
  CHECK(grown.size() == 5);
  CHECK(shortfall_of(grown, two_losses) == voter_shortfall{});
}

TEST_CASE("a lost voter is replaced by a spare of its zone, or of another zone until there is one") {
  auto agreed_view = group_of({voter_at("a1", "a"), voter_at("b1", "b"), voter_at("c1", "c")});
  auto observed = all_present(agreed_view);
  observation_of(observed, "c1").condition = voter_condition::lost;
  auto same_zone = plan_voters(agreed_view, observed, {voter_at("a2", "a"), voter_at("c2", "c")}, one_loss);
  CHECK(nodes_in(same_zone) == std::set<std::string>{"a1", "b1", "c2"});
  auto crowded = plan_voters(agreed_view, observed, {voter_at("a2", "a")}, one_loss);
  CHECK(nodes_in(crowded) == std::set<std::string>{"a1", "a2", "b1"});
  CHECK(shortfall_of(crowded, one_loss).over_zone_limit == 1);
  // A machine of the lost voter's zone is there again: it replaces one of the two voters in the same zone.
  auto crowded_view = group_of(crowded);
  auto spread = plan_voters(crowded_view, all_present(crowded_view), {voter_at("c3", "c")}, one_loss);
  CHECK(nodes_in(spread).count("c3") == 1);
  CHECK(shortfall_of(spread, one_loss) == voter_shortfall{});
}

TEST_CASE("without a spare the group keeps a lost voter, whose disk may come back") {
  auto agreed_view = group_of({voter_at("a1", "a"), voter_at("a2", "a"), voter_at("b1", "b"),
                               voter_at("b2", "b"), voter_at("c1", "c")});
  auto observed = all_present(agreed_view);
  observation_of(observed, "c1").condition = voter_condition::lost;
  auto planned = plan_voters(agreed_view, observed, {}, two_losses);
  CHECK(consensus::same_voters(planned, agreed_view.voters));
}

TEST_CASE("two voters lost at once are replaced in one move") {
  auto agreed_view = group_of({voter_at("a1", "a"), voter_at("a2", "a"), voter_at("b1", "b"),
                               voter_at("b2", "b"), voter_at("c1", "c")});
  auto observed = all_present(agreed_view);
  observation_of(observed, "c1").condition = voter_condition::lost;
  observation_of(observed, "a1").condition = voter_condition::lost;
  auto planned = plan_voters(agreed_view, observed, {voter_at("a3", "a"), voter_at("c2", "c")}, two_losses);
  CHECK(nodes_in(planned) == std::set<std::string>{"a2", "a3", "b1", "b2", "c2"});
}

TEST_CASE("if a joining voter is lost without records, the voter that was to leave stays or a spare joins") {
  auto joint = group_of({voter_at("a1", "a"), voter_at("b1", "b"), voter_at("c2", "c")});
  joint.previous_voters = {voter_at("a1", "a"), voter_at("b1", "b"), voter_at("c1", "c")};
  auto observed = all_present(joint);
  observation_of(observed, "c2").condition = voter_condition::lost;
  auto reverted = plan_voters(joint, observed, {voter_at("c3", "c")}, one_loss);
  CHECK(nodes_in(reverted) == std::set<std::string>{"a1", "b1", "c1"});
  observation_of(observed, "c1").condition = voter_condition::lost;
  CHECK(nodes_in(plan_voters(joint, observed, {voter_at("c3", "c")}, one_loss)) ==
        std::set<std::string>{"a1", "b1", "c3"});
  // Without a spare the plan keeps the lost voter whose disk may come back, not the lost one without records.
  CHECK(nodes_in(plan_voters(joint, observed, {}, one_loss)) == std::set<std::string>{"a1", "b1", "c1"});
}

TEST_CASE("a retiring voter leaves only when a spare replaces it") {
  auto agreed_view = group_of({voter_at("a1", "a"), voter_at("b1", "b"), voter_at("c1", "c")});
  auto observed = all_present(agreed_view);
  observation_of(observed, "b1").retiring = true;
  CHECK(consensus::same_voters(plan_voters(agreed_view, observed, {}, one_loss), agreed_view.voters));
  CHECK(nodes_in(plan_voters(agreed_view, observed, {voter_at("b2", "b")}, one_loss)) ==
        std::set<std::string>{"a1", "b2", "c1"});
}
