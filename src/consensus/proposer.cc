// Rounds, changes and reads of a proposer, and its search for a newer view.
#include "consensus/proposer.h"

#include "consensus/proposer_state.h"
#include "runtime/breaks.h"

namespace herontally::consensus {

using runtime::microseconds;
using runtime::millisecond;
using runtime::task;

namespace {

// Exponential backoff after a search for a view that found nothing.
constexpr microseconds min_search_backoff = 50 * millisecond, max_search_backoff = 400 * millisecond;
// How long a search waits for replies. A view in a later reply is still learned.
constexpr microseconds search_timeout = 200 * millisecond;
// Most nodes that one search asks, since a large fleet has many more storage nodes than voters.
constexpr std::size_t max_searched_nodes = 10;
// Added to a request's timeout when waiting for its reply in the mailbox.
constexpr microseconds reply_grace = 50 * millisecond;

struct voter_reply {
  std::string voter;
  std::optional<rpc::vote_reply> reply;  // nullopt if the call failed or timed out
};

task<> request_vote(rpc::endpoint endpoint, std::string address, rpc::vote_request request, std::string voter,
                    microseconds timeout, runtime::mailbox<voter_reply> replies) {
  auto result = co_await endpoint.call(std::move(address), std::move(request), timeout);
  voter_reply received;
  received.voter = std::move(voter);
  if (auto* reply = std::get_if<rpc::vote_reply>(&result)) received.reply = std::move(*reply);
  replies.push(std::move(received));
}

// The accepted value that the replies to a prepare or a read name.
struct accepted_value {
  std::optional<std::string> value;  // the one with the highest accepted ballot
  bool agreed = true;                // all replies name the same ballot
};

accepted_value highest_accepted(const std::vector<rpc::vote_reply>& replies) {
  accepted_value found;
  const rpc::vote_reply* highest = nullptr;
  for (auto& reply : replies) {
    if (reply.accepted != replies.front().accepted) found.agreed = false;
    if (reply.accepted.counter > 0 && (!highest || reply.accepted > highest->accepted)) highest = &reply;
  }
  if (highest) found.value = highest->value;
  return found;
}

// Waits for a random time that grows with the retries, so that one of several colliding proposers succeeds.
task<> sleep_before_retry(runtime::handle runtime, int retry) {
  constexpr microseconds base = 10 * millisecond, longest = 160 * millisecond, least = 2 * millisecond;
  microseconds spread = std::min(base << std::min(retry, 4), longest);
  co_await runtime.sleep(least + static_cast<microseconds>(runtime.draw(static_cast<std::uint64_t>(spread))));
}

}  // namespace

proposer::proposer(rpc::endpoint endpoint, std::string group)
    : state_(std::make_shared<state>(endpoint, group)) {}
proposer::proposer(std::shared_ptr<state> shared) : state_(std::move(shared)) {}
rpc::endpoint proposer::endpoint() const { return state_->endpoint; }
const view& proposer::current_view() const { return state_->current; }
void proposer::learn_view(const view& seen) { state_->learn_view(seen); }
void proposer::set_seeds(std::function<std::vector<std::string>()> addresses) {
  state_->seeds = std::move(addresses);
}

proposer::state::state(rpc::endpoint from, std::string name)
    : endpoint(std::move(from)),
      group(std::move(name)),
      // Random at each start, so that it differs from the identity before a restart.
      identity(static_cast<std::int64_t>(endpoint.runtime().random()() >> 1)),
      window(endpoint.runtime()) {}

void proposer::state::learn_view(const view& seen) {
  if (seen.group == group && seen.number > current.number) current = seen;
}

task<round_result> proposer::state::run_round(rpc::vote_request request, view used, microseconds deadline) {
  auto self = shared_from_this();
  round_result result;
  request.view = used.number;
  auto runtime = self->endpoint.runtime();
  runtime::mailbox<voter_reply> replies(runtime);
  auto voters = used.all_voters();
  microseconds timeout = std::min<microseconds>(round_timeout, deadline - runtime.now());
  if (voters.empty() || timeout <= 0) co_return result;
  self->endpoint.logger().count("herontally_register_rounds_total");
  for (auto& voter : voters) {
    request.voter = voter.id;
    runtime.spawn(request_vote(self->endpoint, voter.address, request, voter.id, timeout, replies));
  }
  std::set<std::string> agreeing;
  auto agrees = [&agreeing](const std::string& id) { return agreeing.contains(id); };
  for (std::size_t received = 0; received < voters.size() && !result.quorum; ++received) {
    auto next = co_await replies.pop(timeout + reply_grace);
    if (!next) break;
    if (!next->reply) continue;
    self->process_reply(used, next->voter, *next->reply, result);
    if (next->reply->status != rpc::reply_status::ok) continue;
    agreeing.insert(next->voter);
    result.replies.push_back(std::move(*next->reply));
    result.quorum = used.quorum(agrees);
  }
  result.missed = voters.size() - agreeing.size();
  co_return result;
}

void proposer::state::process_reply(const view& used, const std::string& voter, const rpc::vote_reply& reply,
                                    round_result& result) {
  // Refusals also carry the ballots that the voter knows.
  result.highest = std::max({result.highest, reply.promised, reply.accepted});
  switch (reply.status) {
    case rpc::reply_status::view_mismatch: {
      auto installed = view_from_text(reply.view);
      learn_view(installed);
      result.view_changed = result.view_changed || current.number > used.number;
      // Any proposer that knows the chosen view sends it to a voter that missed its installation.
      if (installed.number < used.number) send_view(used, voter);
      break;
    }
    case rpc::reply_status::ballot_outdated:
      result.ballot_outdated = true;
      break;
    case rpc::reply_status::disk_full:
      result.disk_full = true;
      break;
    case rpc::reply_status::unknown_voter:
      identity_refused = true;
      break;
    default:
      break;
  }
}

task<> proposer::state::install_view(std::string address, std::string id, view chosen) {
  auto self = shared_from_this();
  rpc::install_view_request request{id, to_text(chosen)};
  co_await self->endpoint.call(std::move(address), std::move(request), round_timeout);
  self->views_in_flight.erase({id, chosen.number});
}

void proposer::state::send_view(const view& chosen, const std::string& id) {
  if (!views_in_flight.insert({id, chosen.number}).second) return;
  for (auto& voter : chosen.all_voters())
    if (voter.id == id) endpoint.runtime().spawn(install_view(voter.address, id, chosen));
}

task<> proposer::refresh_view(microseconds deadline) {
  auto self = state_;
  auto runtime = self->endpoint.runtime();
  if (!self->seeds) co_return;
  runtime::slot<bool> ended(runtime);
  self->search.waiters.push_back(ended);
  self->start_search();
  auto left = std::max<microseconds>(0, deadline - runtime.now());
  auto timer = runtime.after(left, [ended] { ended.set(false); });
  co_await ended.wait();
  runtime.cancel(timer);
  std::erase_if(self->search.waiters, [](auto& waiter) { return waiter.is_set(); });
}

void proposer::state::start_search() {
  if (search.running || !seeds) return;
  search.running = true;
  endpoint.runtime().spawn(search_view());
}

std::vector<std::string> proposer::state::addresses_to_search() {
  std::vector<std::string> addresses;
  for (auto& voter : current.all_voters()) addresses.push_back(voter.address);
  auto others = seeds();
  std::shuffle(others.begin(), others.end(), endpoint.runtime().random());
  for (auto& address : others) {
    bool listed = std::find(addresses.begin(), addresses.end(), address) != addresses.end();
    if (!listed && addresses.size() < max_searched_nodes) addresses.push_back(address);
  }
  return addresses;
}

task<> proposer::state::request_view(std::string address, runtime::mailbox<bool> answered) {
  auto self = shared_from_this();
  rpc::identify_request request{self->group};
  auto result = co_await self->endpoint.call(std::move(address), std::move(request), round_timeout);
  auto* reply = std::get_if<rpc::identify_reply>(&result);
  if (reply && !reply->view.empty()) self->learn_view(view_from_text(reply->view));
  answered.push(reply != nullptr);
}

task<> proposer::state::search_view() {
  auto self = shared_from_this();
  auto runtime = self->endpoint.runtime();
  self->identity_refused = false;
  // The backoff starts over if the last search ended long ago.
  if (runtime.now() > self->search.earliest_start + max_search_backoff) self->search.backoff = 0;
  if (self->search.earliest_start > runtime.now())
    co_await runtime.sleep(self->search.earliest_start - runtime.now());
  auto addresses = self->addresses_to_search();
  std::int64_t known = self->current.number;
  auto deadline = runtime.now() + search_timeout;
  runtime::mailbox<bool> answered(runtime);
  for (auto& address : addresses) runtime.spawn(self->request_view(address, answered));
  // One newer view is enough: if there is an even newer one, the voters return it with their refusals.
  for (std::size_t received = 0; received < addresses.size() && self->current.number == known; ++received) {
    auto answer = co_await answered.pop(std::max<microseconds>(0, deadline - runtime.now()));
    if (!answer) break;
  }
  self->end_search(self->current.number > known);
}

void proposer::state::end_search(bool found) {
  identity_refused = false;
  search.running = false;
  search.backoff = found ? 0 : std::clamp(2 * search.backoff, min_search_backoff, max_search_backoff);
  search.earliest_start = endpoint.runtime().now() + search.backoff;
  for (auto& waiter : std::exchange(search.waiters, {})) waiter.set(true);
}

rpc::vote_request proposer::state::prepare_request(const std::string& key, bool urgent) {
  rpc::vote_request request;
  request.phase = rpc::vote_phase::prepare;
  request.key = key;
  // The counter is at least the wall clock. One storage node may have removed a record as expired while
  // another one still holds it; the old record's ballot must then be lower than that of any later write.
  counter = std::max<std::int64_t>({counter, highest_seen, endpoint.runtime().wall()}) + 1;
  request.ballot = {counter, identity};
  request.urgent = urgent;
  return request;
}

task<std::optional<change_result>> proposer::state::try_change(std::string key, mutator next, bool urgent,
                                                               microseconds deadline,
                                                               std::shared_ptr<change_progress> progress) {
  auto self = shared_from_this();
  auto unfinished = [progress](change_status otherwise) {
    return change_result{progress->may_be_written ? change_status::unknown : otherwise, std::nullopt};
  };
  view used = self->current;
  auto request = self->prepare_request(key, urgent);
  auto prepared = co_await self->run_round(request, used, deadline);
  self->highest_seen = std::max(self->highest_seen, prepared.highest.counter);
  if (!prepared.quorum) {
    if (prepared.disk_full) co_return unfinished(change_status::disk_full);
    progress->refresh_view_first = !prepared.ballot_outdated && !prepared.view_changed;
    co_return std::nullopt;
  }
  auto current = highest_accepted(prepared.replies);
  auto proposed = next(current.value);
  // If the value stays unchanged and a quorum holds it under one ballot, it is already agreed.
  if (!proposed && (current.agreed || !current.value))
    co_return change_result{change_status::declined, current.value};
  request.phase = rpc::vote_phase::accept;
  request.promise_next = true;
  request.view = used.number;
  request.value = proposed ? *proposed : *current.value;
  progress->may_be_written = progress->may_be_written || proposed.has_value();
  view accept_view = broken("view_of_prepare") ? self->current : used;
  auto accepted = co_await self->run_round(request, accept_view, deadline);
  self->highest_seen = std::max(self->highest_seen, accepted.highest.counter);
  if (accepted.quorum) {
    if (self->current.number == used.number) self->cache_promised_ballot(key, request, accepted);
    self->count_missed_voters(accepted);
    co_return change_result{proposed ? change_status::committed : change_status::declined, request.value};
  }
  if (accepted.disk_full) co_return change_result{change_status::unknown, std::nullopt};
  co_return std::nullopt;
}

task<change_result> proposer::change(std::string key, mutator next, microseconds deadline, bool urgent) {
  auto self = state_;
  auto runtime = self->endpoint.runtime();
  auto progress = std::make_shared<state::change_progress>();
  auto committed = co_await self->change_by_fast_path(key, next, urgent, deadline, progress);
  if (committed) co_return change_result{change_status::committed, committed};
  for (int retry = 0; runtime.now() < deadline; ++retry) {
    if (retry > 0) {
      co_await sleep_before_retry(runtime, retry);
      self->endpoint.logger().count("herontally_register_collisions_total");
    }
    // A voter that lost its disk is replaced in a later view. As long as the other voters make a quorum, the
    // change doesn't wait for that view: the search runs in the background.
    bool wait_for_view = self->identity_refused && progress->refresh_view_first;
    if (self->current.voters.empty() || wait_for_view)
      co_await refresh_view(deadline);
    else if (self->identity_refused)
      self->start_search();
    progress->refresh_view_first = false;
    auto result = co_await self->try_change(key, next, urgent, deadline, progress);
    if (result) co_return *result;
    if (progress->refresh_view_first && retry > 0) co_await refresh_view(deadline);
  }
  co_return change_result{progress->may_be_written ? change_status::unknown : change_status::unreachable,
                          std::nullopt};
}

task<change_result> proposer::read(std::string key, microseconds deadline) {
  auto self = state_;
  if (self->current.voters.empty()) co_await refresh_view(deadline);
  rpc::vote_request request;
  request.phase = rpc::vote_phase::read;
  request.key = key;
  auto round = co_await self->run_round(request, self->current, deadline);
  if (round.quorum) {
    auto current = highest_accepted(round.replies);
    if (current.agreed) co_return change_result{change_status::declined, current.value};
  }
  // The replicas differ, or no quorum replied: a full change that leaves the value decides which one is
  // agreed.
  auto keep_value = [](const std::optional<std::string>&) { return std::nullopt; };
  co_return co_await change(std::move(key), keep_value, deadline);
}

}  // namespace herontally::consensus
