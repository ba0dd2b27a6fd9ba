// One round in place of two, where this proposer was the last to write a key: with the last accept a quorum
// has promised it the next ballot.
#include "consensus/proposer_state.h"
#include "runtime/breaks.h"

namespace herontally::consensus {

using runtime::microseconds;
using runtime::task;

void promised_ballots::put(const std::string& key, promised_ballot entry) {
  constexpr std::size_t max_young = 4000;
  if (young_.size() >= max_young) old_ = std::exchange(young_, {});
  old_.erase(key);
  young_[key] = std::move(entry);
}

std::optional<promised_ballot> promised_ballots::take(const std::string& key) {
  auto entry = young_.extract(key);
  if (!entry) entry = old_.extract(key);
  if (!entry) return std::nullopt;
  return std::move(entry.mapped());
}

void proposer::state::keep_promise(const std::string& key, const rpc::vote_request& request,
                                   const round_result& accepted) {
  rpc::ballot next{request.ballot.counter + 1, request.ballot.proposer};
  // A voter of the protocol version before doesn't promise the next ballot: then there is no fast path.
  for (auto& reply : accepted.replies)
    if (reply.promised != next && !broken("ahead")) return;
  promised.put(key, {next, request.view, request.value});
  counter = std::max(counter, next.counter);
}

// Safe because a quorum promised this ballot together with accepting the last value: nothing was accepted in
// between, unless under a higher ballot. Then this accept is refused, and the two rounds follow.
task<std::optional<std::string>> proposer::state::change_by_promise(std::string key, mutator next,
                                                                    bool urgent, microseconds deadline,
                                                                    std::shared_ptr<attempt> so_far) {
  auto self = shared_from_this();
  auto promise = self->promised.take(key);
  if (!promise) co_return std::nullopt;
  bool usable = promise->view == self->current.number && self->endpoint.runtime().now() < deadline;
  if (!usable) co_return std::nullopt;
  auto proposed = next(promise->value);
  // Whether the value still stands is not known here, so that only a change can be tried.
  if (!proposed) co_return std::nullopt;
  rpc::vote_request request;
  request.phase = rpc::vote_phase::accept;
  request.key = key;
  request.ballot = promise->next;
  request.value = *proposed;
  request.urgent = urgent;
  request.promise_next = true;
  request.view = promise->view;
  so_far->may_be_written = true;
  auto accepted = co_await self->run_round(request, self->current, deadline);
  self->highest_seen = std::max(self->highest_seen, accepted.highest.counter);
  if (!accepted.quorum) co_return std::nullopt;
  self->keep_promise(key, request, accepted);
  self->count_missed(accepted);
  co_return proposed;
}

}  // namespace herontally::consensus
