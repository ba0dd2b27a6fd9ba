#include "reconfiguration/group_catch_up.h"

#include "reconfiguration/view_install.h"
#include "replica_storage/cell.h"
#include "runtime/breaks.h"

namespace herontally::reconfiguration {

using runtime::microseconds;
using runtime::millisecond;
using runtime::task;

namespace {

constexpr std::size_t max_concurrent_rewrites = 16;
constexpr microseconds retry_pause = 100 * millisecond;
constexpr microseconds catch_up_timeout = 2 * runtime::second;
// Once the copies suffice, the other voters are no longer waited for if none replies for this long.
constexpr microseconds straggler_timeout = 1500 * millisecond;
constexpr microseconds no_timeout = -1;

// Writes a register's value back unchanged, which stores it at a majority of the new voters as well.
task<bool> rewrite_record(proposer group, std::string key, microseconds deadline) {
  auto same = [](const std::optional<std::string>& current) { return current; };
  while (group.endpoint().runtime().now() < deadline) {
    auto result = co_await group.change(key, same, deadline, true);
    if (result.known()) co_return true;
  }
  co_return false;
}

task<> rewrite_record_and_report(proposer group, std::string record, microseconds deadline,
                                 runtime::mailbox<bool> results) {
  std::string key = replica_storage::key_of(record);
  bool rewritten = co_await rewrite_record(std::move(group), std::move(key), deadline);
  results.push(rewritten);
}

// Rewrites many records concurrently, so that they share disk syncs.
task<bool> rewrite_records(proposer group, std::vector<std::string> records, microseconds deadline) {
  auto runtime = group.endpoint().runtime();
  runtime::mailbox<bool> results(runtime);
  std::size_t begun = 0;
  for (std::size_t ended = 0; ended < records.size(); ++ended) {
    for (; begun < records.size() && begun < ended + max_concurrent_rewrites; ++begun)
      runtime.spawn(rewrite_record_and_report(group, records[begun], deadline, results));
    auto rewritten = co_await results.pop(no_timeout);
    if (!rewritten || !*rewritten) co_return false;
  }
  co_return true;
}

// Result of one voter's catch-up.
struct catch_up_result {
  std::string voter, node;
  bool done = false;
  std::vector<std::string> refused;  // records that the voter refused because of its promises
};

// Asks one voter to fetch the records and retries until the deadline. The voter may have to install the view
// first; after a failure it continues with the records that it still lacks.
task<> catch_up_voter(proposer group, view joint, voter_info voter, microseconds deadline,
                      runtime::mailbox<catch_up_result> results) {
  auto endpoint = group.endpoint();
  auto runtime = endpoint.runtime();
  catch_up_result result{voter.id, voter.node, broken("fill"), {}};
  while (!result.done && runtime.now() < deadline) {
    rpc::catch_up_request request{voter.id, joint.number};
    // After a timeout the voter continues to fetch, and the next request shares that run.
    auto timeout = std::min<microseconds>(catch_up_timeout, deadline - runtime.now());
    auto answered = co_await endpoint.call(voter.address, std::move(request), timeout);
    auto* reply = std::get_if<rpc::catch_up_reply>(&answered);
    if (reply && reply->status == rpc::reply_status::ok) {
      result.done = true;
      result.refused = reply->refused;
      break;
    }
    bool installed = co_await install_at(endpoint, voter, joint);
    if (!installed) co_await runtime.sleep(retry_pause);
  }
  results.push(std::move(result));
}

// Returns the voters that have caught up. Returns early once the copies suffice and no voter replied for
// straggler_timeout, so that a joining voter that is lost doesn't delay the others.
task<std::set<std::string>> catch_up_voters(proposer group, view joint, std::vector<voter_info> voters,
                                            std::set<std::string> caught_up, microseconds deadline) {
  auto runtime = group.endpoint().runtime();
  runtime::mailbox<catch_up_result> results(runtime);
  for (auto& voter : voters) runtime.spawn(catch_up_voter(group, joint, voter, deadline, results));
  std::vector<std::string> refused;
  for (std::size_t received = 0; received < voters.size(); ++received) {
    microseconds left = deadline - runtime.now() + retry_pause;
    if (copies_suffice(joint, caught_up)) left = std::min(left, straggler_timeout);
    auto result = co_await results.pop(std::max<microseconds>(left, 1));
    if (!result) break;
    if (!result->done) continue;
    caught_up.insert(result->voter);
    refused.insert(refused.end(), result->refused.begin(), result->refused.end());
    group.endpoint().logger().info("voter caught up",
                                   {{"node", result->node}, {"refused", result->refused.size()}});
  }
  bool rewritten = co_await rewrite_records(group, std::move(refused), deadline);
  if (!rewritten) caught_up.clear();
  co_return caught_up;
}

}  // namespace

bool copies_suffice(const view& joint, const std::set<std::string>& caught_up) {
  std::size_t holders = 0, previous_holders = 0;
  for (auto& voter : joint.voters) {
    if (!caught_up.contains(voter.id)) continue;
    ++holders;
    previous_holders += consensus::contains(joint.previous_voters, voter.id) ? 1 : 0;
  }
  std::size_t may_be_elsewhere = joint.leaving().size() + previous_holders;
  std::size_t accepted_by = consensus::majority_size(joint.previous_voters);
  if (accepted_by > may_be_elsewhere) holders += accepted_by - may_be_elsewhere;
  return holders >= consensus::majority_size(joint.voters);
}

task<bool> catch_up_group(proposer group, view joint, microseconds deadline) {
  std::set<std::string> none_yet;
  auto caught_up = co_await catch_up_voters(group, joint, joint.joining(), none_yet, deadline);
  if (copies_suffice(joint, caught_up)) co_return true;
  std::vector<voter_info> staying;
  for (auto& voter : joint.voters)
    if (consensus::contains(joint.previous_voters, voter.id)) staying.push_back(voter);
  // Caught-up voters that stay can compensate for an unreachable joining voter. When a group shrinks, none
  // joins and they have to catch up.
  caught_up = co_await catch_up_voters(group, joint, std::move(staying), std::move(caught_up), deadline);
  co_return copies_suffice(joint, caught_up);
}

}  // namespace herontally::reconfiguration
