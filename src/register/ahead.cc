// One round in place of two, where this proposer was the last to write: a quorum has promised it the next
// ballot.
#include "register/proposer_state.h"
#include "runtime/breaks.h"

namespace herontally::reg {

using runtime::microseconds;
using runtime::task;

void proposer::state::keep_ahead(const std::string& key, const wire::voter_ask& question,
                                 const round_result& accepted) {
  wire::ballot next{question.ballot.counter + 1, question.ballot.proposer};
  // A voter of the version before promises nothing ahead: then there is no head start.
  for (auto& receipt : accepted.receipts)
    if (receipt.promised != next && !broken("ahead")) return;
  constexpr std::size_t most_young = 4000;
  if (ahead.size() >= most_young) ahead_old = std::exchange(ahead, {});
  ahead_old.erase(key);
  ahead[key] = {next, question.view, question.value};
  counter = std::max(counter, next.counter);
}

// A quorum promised the next ballot when it accepted the last value, so that nothing was accepted in between
// unless a higher ballot came; then this accept is refused, and the usual rounds follow.
task<std::optional<std::string>> proposer::state::go_ahead(std::string key, mutator next, bool urgent,
                                                           microseconds deadline, bool* written) {
  auto self = shared_from_this();
  auto entry = self->ahead.extract(key);
  if (!entry) entry = self->ahead_old.extract(key);
  if (!entry) co_return std::nullopt;
  head_start start = std::move(entry.mapped());
  if (start.view != self->current.number || self->port.runtime().now() >= deadline) co_return std::nullopt;
  auto proposed = next(start.value);
  // Whether the value still stands is not known here: only a change can be tried.
  if (!proposed) co_return std::nullopt;
  wire::voter_ask question;
  question.step = "accept";
  question.key = key;
  question.ballot = start.next;
  question.value = *proposed;
  question.urgent = urgent;
  question.ahead = true;
  question.view = start.view;
  *written = true;
  auto accepted = co_await self->round(question, self->current, deadline);
  self->highest_seen = std::max(self->highest_seen, accepted.highest.counter);
  if (!accepted.quorum) co_return std::nullopt;
  self->keep_ahead(key, question, accepted);
  self->note_missed(key, question, accepted);
  co_return proposed;
}

}  // namespace herontally::reg
