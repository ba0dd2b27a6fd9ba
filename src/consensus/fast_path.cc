// Fast path of a change: a single accept round in place of prepare and accept. It is available if this
// proposer was the last one to write the key, because a quorum promised the next ballot to it together with
// that accept.
#include "consensus/proposer_state.h"
#include "runtime/breaks.h"

namespace herontally::consensus {

using runtime::microseconds;
using runtime::task;

void promised_ballot_cache::put(const std::string& key, promised_ballot entry) {
  constexpr std::size_t max_young = 4000;
  if (young_.size() >= max_young) old_ = std::exchange(young_, {});
  old_.erase(key);
  young_[key] = std::move(entry);
}

std::optional<promised_ballot> promised_ballot_cache::take(const std::string& key) {
  auto entry = young_.extract(key);
  if (!entry) entry = old_.extract(key);
  if (!entry) return std::nullopt;
  return std::move(entry.mapped());
}

void proposer::state::cache_promised_ballot(const std::string& key, const rpc::vote_request& request,
                                            const round_result& accepted) {
  rpc::ballot next{request.ballot.counter + 1, request.ballot.proposer};
  // Voters of the previous protocol version don't promise the next ballot; then there is no fast path.
  for (auto& reply : accepted.replies)
    if (reply.promised != next && !broken("ahead")) return;
  promised.put(key, {next, request.view, request.value});
  counter = std::max(counter, next.counter);
}

// This is safe because a quorum promised this ballot when it accepted the last value, so any value accepted
// since then has a higher ballot. In that case this accept is refused and both rounds follow.
task<std::optional<std::string>> proposer::state::change_by_fast_path(
    std::string key, mutator next, bool urgent, microseconds deadline,
    std::shared_ptr<change_progress> progress) {
  auto self = shared_from_this();
  auto promise = self->promised.take(key);
  if (!promise) co_return std::nullopt;
  bool usable = promise->view == self->current.number && self->endpoint.runtime().now() < deadline;
  if (!usable) co_return std::nullopt;
  auto proposed = next(promise->value);
  // Without a round it isn't known whether the cached value is still the agreed one, so a mutator that
  // declines it has to be run again by the full protocol.
  if (!proposed) co_return std::nullopt;
  rpc::vote_request request;
  request.phase = rpc::vote_phase::accept;
  request.key = key;
  request.ballot = promise->next;
  request.value = *proposed;
  request.urgent = urgent;
  request.promise_next = true;
  request.view = promise->view;
  progress->may_be_written = true;
  auto accepted = co_await self->run_round(request, self->current, deadline);
  self->highest_seen = std::max(self->highest_seen, accepted.highest.counter);
  if (!accepted.quorum) co_return std::nullopt;
  self->cache_promised_ballot(key, request, accepted);
  self->count_missed_voters(accepted);
  co_return proposed;
}

}  // namespace herontally::consensus
