#include "register/view_install.h"

#include <set>

namespace herontally::reg {

using runtime::microseconds;
using runtime::millisecond;
using runtime::task;

constexpr microseconds retry_pause = 50 * millisecond;

struct installed_at {
  std::string voter;
  bool done = false;
};

task<bool> install_at(wire::port port, voter_place place, view chosen) {
  wire::install_view question{place.id, view_text(chosen)};
  auto result = co_await port.ask(place.address, std::move(question), membership_timeout);
  auto* receipt = std::get_if<wire::install_view_receipt>(&result);
  co_return receipt && receipt->verdict == "yes";
}

static task<> report_install(wire::port port, voter_place place, view chosen,
                             runtime::mailbox<installed_at> answers) {
  std::string voter = place.id;
  bool done = co_await install_at(port, std::move(place), std::move(chosen));
  answers.push({voter, done});
}

// The voters are asked side by side, so that one that is out of reach costs the others nothing. One that
// hears of the view late learns it from any proposer that knows it.
task<bool> install_everywhere(proposer group, view chosen, std::vector<voter_place> leaving,
                              microseconds deadline) {
  auto port = group.port();
  auto runtime = port.runtime();
  std::set<std::string> done;
  auto has = [&done](const std::string& id) { return done.count(id) > 0; };
  while (runtime.now() < deadline) {
    runtime::mailbox<installed_at> answers(runtime);
    std::size_t asked = 0;
    for (auto& place : chosen.all()) {
      if (has(place.id)) continue;
      runtime.spawn(report_install(port, place, chosen, answers));
      ++asked;
    }
    for (std::size_t heard = 0; heard < asked && !chosen.quorum(has); ++heard) {
      auto answer = co_await answers.pop(membership_timeout + retry_pause);
      if (!answer) break;
      if (answer->done) done.insert(answer->voter);
    }
    if (chosen.quorum(has)) {
      group.learn(chosen);
      runtime::mailbox<installed_at> unheard(runtime);
      for (auto& place : leaving) runtime.spawn(report_install(port, place, chosen, unheard));
      co_return true;
    }
    co_await runtime.sleep(retry_pause);
  }
  co_return false;
}

task<bool> install_chosen(proposer group, view chosen, microseconds deadline) {
  std::vector<voter_place> nobody;
  co_return co_await install_everywhere(group, std::move(chosen), nobody, deadline);
}

// Asks each founder for its identity, which goes into the view. Nothing: one is out of reach.
static task<std::optional<std::vector<wire::identify_receipt>>> identify_founders(wire::port port,
                                                                                  view* first) {
  std::vector<wire::identify_receipt> seen;
  for (auto& place : first->voters) {
    wire::identify_ask question{first->group};
    auto result = co_await port.ask(place.address, std::move(question), membership_timeout);
    auto* receipt = std::get_if<wire::identify_receipt>(&result);
    if (!receipt || receipt->voter.empty()) co_return std::nullopt;
    place.id = receipt->voter;
    seen.push_back(*receipt);
  }
  co_return seen;
}

task<std::variant<view, move_error>> begin_group(wire::port port, std::string group,
                                                 std::vector<voter_place> voters, microseconds deadline) {
  view first;
  first.group = group;
  first.number = 1;
  first.voters = voters;
  auto seen = co_await identify_founders(port, &first);
  if (!seen) co_return move_error::unreachable;
  for (auto& receipt : *seen) {
    // A first view over a voter that has another one would split the group.
    if (!receipt.view.empty() && view_from(receipt.view) != first) co_return move_error::already_there;
    if (!receipt.empty && receipt.view.empty()) co_return move_error::not_empty;
  }
  std::size_t installed = 0;
  while (installed < first.voters.size()) {
    if (port.runtime().now() >= deadline) co_return move_error::unreachable;
    installed = 0;
    for (auto& place : first.voters) {
      bool done = co_await install_at(port, place, first);
      installed += done ? 1 : 0;
    }
    if (installed < first.voters.size()) co_await port.runtime().sleep(retry_pause);
  }
  co_return first;
}

}  // namespace herontally::reg
