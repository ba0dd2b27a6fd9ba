#include "register/proposer.h"

#include "register/proposer_state.h"
#include "runtime/breaks.h"

namespace herontally::reg {

using runtime::microseconds;
using runtime::millisecond;
using runtime::task;

proposer::proposer(wire::port port, std::string group) : state_(std::make_shared<state>(port, group)) {}
wire::port proposer::port() const { return state_->port; }
const view& proposer::current() const { return state_->current; }
void proposer::learn(const view& seen) { state_->learn(seen); }
void proposer::seeds(std::function<std::vector<std::string>()> addresses) {
  state_->seeds = std::move(addresses);
}

void proposer::state::learn(const view& seen) {
  if (seen.group == group && seen.number > current.number) current = seen;
}

static task<> ask_one(wire::port port, std::string address, wire::voter_ask question, std::string id,
                      microseconds timeout, runtime::mailbox<voter_word> box) {
  auto result = co_await port.ask(std::move(address), std::move(question), timeout);
  voter_word word;
  word.id = std::move(id);
  if (auto* receipt = std::get_if<wire::voter_receipt>(&result)) word.receipt = std::move(*receipt);
  box.push(std::move(word));
}

// Asks every voter side by side and returns once a quorum said yes, or once it no longer can.
// All rounds of one ballot run under the view of its prepare: a voter that has moved on refuses the accept,
// so that no value which was read under one view is written under another.
task<round_result> proposer::state::round(wire::voter_ask question, view used, microseconds deadline) {
  auto self = shared_from_this();
  round_result result;
  question.view = used.number;
  auto runtime = self->port.runtime();
  runtime::mailbox<voter_word> box(runtime);
  auto places = used.all();
  microseconds timeout = std::min<microseconds>(round_timeout, deadline - runtime.now());
  if (places.empty() || timeout <= 0) co_return result;
  self->port.journal().count("herontally_register_rounds_total");
  for (auto& place : places) {
    question.voter = place.id;
    runtime.spawn(ask_one(self->port, place.address, question, place.id, timeout, box));
  }
  std::set<std::string> yes;
  auto agreed = [&yes](const std::string& id) { return yes.count(id) > 0; };
  for (std::size_t heard = 0; heard < places.size(); ++heard) {
    auto word = co_await box.pop(timeout + 50 * millisecond);
    if (!word) break;
    if (!word->receipt) continue;
    auto& receipt = *word->receipt;
    // Whatever was refused still tells how far the others are.
    result.highest = std::max({result.highest, receipt.promised, receipt.accepted});
    if (receipt.verdict == "view") {
      self->learn(view_from(receipt.view));
      result.view_changed = result.view_changed || self->current.number > used.number;
      // A voter that missed an installation catches up from any proposer that knows the chosen view.
      if (view_from(receipt.view).number < used.number) self->send_view(used, word->id);
    }
    if (receipt.verdict == "behind") result.behind = true;
    if (receipt.verdict == "full") result.full = true;
    if (receipt.verdict == "unknown voter") self->unknown_voters = true;
    if (receipt.verdict != "yes") continue;
    yes.insert(word->id);
    result.receipts.push_back(std::move(receipt));
    if (used.quorum(agreed)) {
      result.quorum = true;
      break;
    }
  }
  result.missed.clear();
  for (auto& place : places)
    if (!yes.count(place.id)) result.missed.push_back(place.id);
  co_return result;
}

static task<> send_one_view(wire::port port, std::string address, std::string id, view chosen) {
  wire::install_view question{id, view_text(chosen)};
  co_await port.ask(std::move(address), std::move(question), round_timeout);
}

void proposer::state::send_view(const view& chosen, const std::string& id) {
  for (auto& place : chosen.all())
    if (place.id == id) port.runtime().spawn(send_one_view(port, place.address, id, chosen));
}

task<> proposer::refresh(microseconds deadline) {
  auto self = state_;
  auto runtime = self->port.runtime();
  if (!self->seeds) co_return;
  runtime::mailbox<std::string> box(runtime);
  auto addresses = self->seeds();
  auto ask = [](wire::port port, std::string address, std::string group,
                runtime::mailbox<std::string> box) -> task<> {
    wire::identify_ask question{group};
    auto result = co_await port.ask(std::move(address), std::move(question), round_timeout);
    auto* receipt = std::get_if<wire::identify_receipt>(&result);
    box.push(receipt ? receipt->view : std::string());
  };
  for (auto& address : addresses) runtime.spawn(ask(self->port, address, self->group, box));
  std::int64_t before = self->current.number;
  for (std::size_t heard = 0; heard < addresses.size(); ++heard) {
    auto text =
        co_await box.pop(std::max<microseconds>(0, std::min(round_timeout * 2, deadline - runtime.now())));
    if (!text) break;
    if (!text->empty()) self->learn(view_from(*text));
    // One newer view is enough to go on with; voters correct it if there is a newer one still.
    if (self->current.number > before) break;
  }
  self->unknown_voters = false;
}

task<change_result> proposer::change(std::string key, mutator next, microseconds deadline, bool urgent) {
  auto self = state_;
  auto runtime = self->port.runtime();
  change_result result;
  bool written = false;
  auto early = co_await self->go_ahead(key, next, urgent, deadline, &written);
  if (early) {
    result.end = change_end::settled;
    result.value = early;
    co_return result;
  }
  for (int turn = 0; runtime.now() < deadline; ++turn) {
    if (turn > 0) {
      // Colliding writers draw lots, so that one of them gets through.
      microseconds most = std::min(10 * millisecond << std::min(turn, 4), 160 * millisecond);
      co_await runtime.sleep(2 * millisecond +
                             static_cast<microseconds>(runtime.draw(static_cast<std::uint64_t>(most))));
      self->port.journal().count("herontally_register_collisions_total");
    }
    if (self->current.voters.empty() || self->unknown_voters) co_await refresh(deadline);
    view used = self->current;
    wire::voter_ask question;
    question.step = "prepare";
    question.key = key;
    // From the wall clock on, so that a record that one store has removed as overdue and another still holds
    // loses to whatever is written after it.
    self->counter = std::max<std::int64_t>({self->counter, self->highest_seen, runtime.wall()}) + 1;
    question.ballot = {self->counter, self->identity};
    question.urgent = urgent;
    auto prepared = co_await self->round(question, used, deadline);
    self->highest_seen = std::max(self->highest_seen, prepared.highest.counter);
    if (!prepared.quorum) {
      if (prepared.full) {
        result.end = written ? change_end::unknown : change_end::full;
        co_return result;
      }
      if (!prepared.behind && !prepared.view_changed && turn > 0) co_await refresh(deadline);
      continue;
    }
    wire::voter_receipt best;
    bool all_same = true;
    for (auto& receipt : prepared.receipts) {
      if (receipt.accepted != prepared.receipts[0].accepted) all_same = false;
      if (receipt.accepted > best.accepted) best = receipt;
    }
    std::optional<std::string> current;
    if (best.accepted.counter > 0) current = best.value;
    auto proposed = next(current);
    // An unchanged value that a quorum holds under one ballot is agreed already.
    if (!proposed && (all_same || !current)) {
      result.end = change_end::declined;
      result.value = current;
      co_return result;
    }
    question.step = "accept";
    question.ahead = true;
    question.view = used.number;
    question.value = proposed ? *proposed : *current;
    written = written || proposed.has_value();
    view accept_view = broken("view_of_prepare") ? self->current : used;
    auto accepted = co_await self->round(question, accept_view, deadline);
    self->highest_seen = std::max(self->highest_seen, accepted.highest.counter);
    if (accepted.quorum) {
      result.end = proposed ? change_end::settled : change_end::declined;
      result.value = question.value;
      if (self->current.number == used.number) self->keep_ahead(key, question, accepted);
      self->note_missed(key, question, accepted);
      co_return result;
    }
    if (accepted.full) {
      result.end = change_end::unknown;
      co_return result;
    }
  }
  result.end = written ? change_end::unknown : change_end::unreachable;
  co_return result;
}

task<change_result> proposer::read(std::string key, microseconds deadline) {
  auto self = state_;
  if (self->current.voters.empty()) co_await refresh(deadline);
  wire::voter_ask question;
  question.step = "fetch";
  question.key = key;
  auto fetched = co_await self->round(question, self->current, deadline);
  bool same = fetched.quorum;
  for (auto& receipt : fetched.receipts) same = same && receipt.accepted == fetched.receipts[0].accepted;
  if (same) {
    change_result result;
    result.end = change_end::declined;
    if (fetched.receipts[0].accepted.counter > 0) result.value = fetched.receipts[0].value;
    co_return result;
  }
  // Replicas differ: finishing the ballot settles which value stands.
  co_return co_await change(
      std::move(key), [](const std::optional<std::string>&) { return std::nullopt; }, deadline);
}

}  // namespace herontally::reg
