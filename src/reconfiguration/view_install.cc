#include "reconfiguration/view_install.h"

#include <set>

namespace herontally::reconfiguration {

using runtime::microseconds;
using runtime::millisecond;
using runtime::task;

namespace {

constexpr microseconds retry_pause = 50 * millisecond;

struct install_result {
  std::string voter;
  bool installed = false;
};

task<> report_install(rpc::endpoint endpoint, voter_info voter, view chosen,
                      runtime::mailbox<install_result> results) {
  std::string id = voter.id;
  bool installed = co_await install_at(endpoint, std::move(voter), std::move(chosen));
  results.push({id, installed});
}

// Asks each voter of the first view for its identity and enters it into the view. Nullopt if one doesn't
// reply.
task<std::optional<std::vector<rpc::identify_reply>>> identify_initial_voters(rpc::endpoint endpoint,
                                                                              view* first) {
  std::vector<rpc::identify_reply> replies;
  for (auto& voter : first->voters) {
    rpc::identify_request request{first->group};
    auto result = co_await endpoint.call(voter.address, std::move(request), reconfiguration_timeout);
    auto* reply = std::get_if<rpc::identify_reply>(&result);
    if (!reply || reply->voter.empty()) co_return std::nullopt;
    voter.id = reply->voter;
    replies.push_back(*reply);
  }
  co_return replies;
}

// Why the first view can't be installed at these voters; nullopt if it can.
std::optional<move_error> check_initial_voters(const std::vector<rpc::identify_reply>& replies,
                                               const view& first) {
  for (auto& reply : replies) {
    // Installing a first view at a voter that has another view would split the group.
    bool other_view = !reply.view.empty() && consensus::view_from_text(reply.view) != first;
    if (other_view) return move_error::already_member;
    if (!reply.empty && reply.view.empty()) return move_error::not_empty;
  }
  return std::nullopt;
}

}  // namespace

task<bool> install_at(rpc::endpoint endpoint, voter_info voter, view chosen) {
  rpc::install_view_request request{voter.id, to_text(chosen)};
  auto result = co_await endpoint.call(voter.address, std::move(request), reconfiguration_timeout);
  auto* reply = std::get_if<rpc::install_view_reply>(&result);
  co_return reply && reply->status == rpc::reply_status::ok;
}

// Requests go to all voters concurrently, so that an unreachable one doesn't delay the others. A voter that
// misses the installation gets the view later from any proposer that knows it.
task<bool> install_at_quorum(proposer group, view chosen, std::vector<voter_info> leaving,
                             microseconds deadline) {
  auto endpoint = group.endpoint();
  auto runtime = endpoint.runtime();
  std::set<std::string> installed;
  auto has = [&installed](const std::string& id) { return installed.contains(id); };
  while (runtime.now() < deadline) {
    runtime::mailbox<install_result> results(runtime);
    std::size_t asked = 0;
    for (auto& voter : chosen.all_voters()) {
      if (has(voter.id)) continue;
      runtime.spawn(report_install(endpoint, voter, chosen, results));
      ++asked;
    }
    for (std::size_t received = 0; received < asked && !chosen.quorum(has); ++received) {
      auto result = co_await results.pop(reconfiguration_timeout + retry_pause);
      if (!result) break;
      if (result->installed) installed.insert(result->voter);
    }
    if (chosen.quorum(has)) {
      group.learn_view(chosen);
      runtime::mailbox<install_result> ignored(runtime);
      for (auto& voter : leaving) runtime.spawn(report_install(endpoint, voter, chosen, ignored));
      co_return true;
    }
    co_await runtime.sleep(retry_pause);
  }
  co_return false;
}

task<bool> install_chosen(proposer group, view chosen, microseconds deadline) {
  std::vector<voter_info> none_leaving;
  co_return co_await install_at_quorum(group, std::move(chosen), none_leaving, deadline);
}

task<move_result> bootstrap_group(rpc::endpoint endpoint, std::string group, std::vector<voter_info> voters,
                                  microseconds deadline) {
  view first;
  first.group = group;
  first.number = 1;
  first.voters = voters;
  auto replies = co_await identify_initial_voters(endpoint, &first);
  if (!replies) co_return move_error::unreachable;
  if (auto error = check_initial_voters(*replies, first)) co_return *error;
  std::size_t installed = 0;
  while (installed < first.voters.size()) {
    if (endpoint.runtime().now() >= deadline) co_return move_error::unreachable;
    installed = 0;
    for (auto& voter : first.voters) {
      bool done = co_await install_at(endpoint, voter, first);
      installed += done ? 1 : 0;
    }
    if (installed < first.voters.size()) co_await endpoint.runtime().sleep(retry_pause);
  }
  co_return first;
}

}  // namespace herontally::reconfiguration
