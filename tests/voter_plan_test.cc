// Which machines should vote: plans for groups of every shape that a loss can leave behind.
#include "control_node/voter_plan.h"

#include <catch2/catch.hpp>
#include <set>

using namespace herontally;
using namespace herontally::control_node;

namespace {

consensus::voter_info at(const std::string& node, const std::string& zone) {
  return {"id-" + node, node + ":7000", node, zone};
}

consensus::view group_of(std::vector<consensus::voter_info> voters) {
  consensus::view agreed;
  agreed.group = "store";
  agreed.number = 1;
  agreed.voters = std::move(voters);
  return agreed;
}

std::vector<voter_observation> all_present(const consensus::view& agreed) {
  std::vector<voter_observation> observed;
  for (auto& place : agreed.all_voters()) observed.push_back({place, voter_condition::present, false});
  return observed;
}

voter_observation& observation_of(std::vector<voter_observation>& observed, const std::string& node) {
  for (auto& each : observed)
    if (each.voter.node == node) return each;
  throw std::out_of_range(node);
}

std::set<std::string> nodes_in(const std::vector<consensus::voter_info>& voters) {
  std::set<std::string> nodes;
  for (auto& place : voters) nodes.insert(place.node);
  return nodes;
}

constexpr loss_budget one_loss{1, 1}, two_losses{2, 1};

}  // namespace

TEST_CASE("a first view has twice the losses and one voter more, spread over the zones") {
  std::vector<consensus::voter_info> machines{at("a1", "a"), at("a2", "a"), at("a3", "a"), at("b1", "b"),
                                              at("b2", "b"), at("b3", "b"), at("c1", "c"), at("c2", "c")};
  auto five = plan_voters({}, {}, machines, two_losses);
  CHECK(five.size() == 5);
  CHECK(shortfall_of(five, two_losses) == voter_shortfall{});
  auto three = plan_voters({}, {}, machines, one_loss);
  CHECK(nodes_in(three) == std::set<std::string>{"a1", "b1", "c1"});
  // With too few machines for what should be borne: the best odd number that there is.
  machines.resize(4);
  CHECK(plan_voters({}, {}, machines, two_losses).size() == 3);
}

TEST_CASE("a group that is as it should be is left alone") {
  auto agreed = group_of({at("a1", "a"), at("b1", "b"), at("c1", "c")});
  auto wanted = plan_voters(agreed, all_present(agreed), {at("a2", "a"), at("b2", "b")}, one_loss);
  CHECK(consensus::same_voters(wanted, agreed.voters));
}

TEST_CASE("a group of three grows to five once two more machines are there, never to four") {
  auto agreed = group_of({at("a1", "a"), at("b1", "b"), at("c1", "c")});
  CHECK(plan_voters(agreed, all_present(agreed), {at("a2", "a")}, two_losses).size() == 3);
  auto grown = plan_voters(agreed, all_present(agreed), {at("a2", "a"), at("b2", "b")}, two_losses);
  CHECK(grown.size() == 5);
  CHECK(shortfall_of(grown, two_losses) == voter_shortfall{});
}

TEST_CASE("a lost voter's place goes to a spare of its zone, or to another zone until one is there") {
  auto agreed = group_of({at("a1", "a"), at("b1", "b"), at("c1", "c")});
  auto observed = all_present(agreed);
  observation_of(observed, "c1").condition = voter_condition::lost;
  auto moved = plan_voters(agreed, observed, {at("a2", "a"), at("c2", "c")}, one_loss);
  CHECK(nodes_in(moved) == std::set<std::string>{"a1", "b1", "c2"});
  auto crowded = plan_voters(agreed, observed, {at("a2", "a")}, one_loss);
  CHECK(nodes_in(crowded) == std::set<std::string>{"a1", "a2", "b1"});
  CHECK(shortfall_of(crowded, one_loss).crowded == 1);
  // The zone's machine is back: the two of one zone are moved apart.
  auto apart_from = group_of(crowded);
  auto apart = plan_voters(apart_from, all_present(apart_from), {at("c3", "c")}, one_loss);
  CHECK(nodes_in(apart).count("c3") == 1);
  CHECK(shortfall_of(apart, one_loss) == voter_shortfall{});
}

TEST_CASE("without a spare the group keeps a lost voter, whose disk may come back") {
  auto agreed = group_of({at("a1", "a"), at("a2", "a"), at("b1", "b"), at("b2", "b"), at("c1", "c")});
  auto observed = all_present(agreed);
  observation_of(observed, "c1").condition = voter_condition::lost;
  auto wanted = plan_voters(agreed, observed, {}, two_losses);
  CHECK(consensus::same_voters(wanted, agreed.voters));
}

TEST_CASE("two voters lost at once are replaced in one move") {
  auto agreed = group_of({at("a1", "a"), at("a2", "a"), at("b1", "b"), at("b2", "b"), at("c1", "c")});
  auto observed = all_present(agreed);
  observation_of(observed, "c1").condition = voter_condition::lost;
  observation_of(observed, "a1").condition = voter_condition::lost;
  auto wanted = plan_voters(agreed, observed, {at("a3", "a"), at("c2", "c")}, two_losses);
  CHECK(nodes_in(wanted) == std::set<std::string>{"a2", "a3", "b1", "b2", "c2"});
}

TEST_CASE("a joining voter that is lost before it holds anything gives its place to another, or back") {
  auto joint = group_of({at("a1", "a"), at("b1", "b"), at("c2", "c")});
  joint.previous_voters = {at("a1", "a"), at("b1", "b"), at("c1", "c")};
  auto observed = all_present(joint);
  observation_of(observed, "c2").condition = voter_condition::lost;
  auto other = plan_voters(joint, observed, {at("c3", "c")}, one_loss);
  CHECK(nodes_in(other) == std::set<std::string>{"a1", "b1", "c1"});
  observation_of(observed, "c1").condition = voter_condition::lost;
  CHECK(nodes_in(plan_voters(joint, observed, {at("c3", "c")}, one_loss)) ==
        std::set<std::string>{"a1", "b1", "c3"});
  // Nobody is left to take the place: the one whose disk may come back has it, not the one without records.
  CHECK(nodes_in(plan_voters(joint, observed, {}, one_loss)) == std::set<std::string>{"a1", "b1", "c1"});
}

TEST_CASE("a retiring voter leaves only when another takes its place") {
  auto agreed = group_of({at("a1", "a"), at("b1", "b"), at("c1", "c")});
  auto observed = all_present(agreed);
  observation_of(observed, "b1").retiring = true;
  CHECK(consensus::same_voters(plan_voters(agreed, observed, {}, one_loss), agreed.voters));
  CHECK(nodes_in(plan_voters(agreed, observed, {at("b2", "b")}, one_loss)) ==
        std::set<std::string>{"a1", "b2", "c1"});
}
