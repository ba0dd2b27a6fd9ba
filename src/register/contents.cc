// Contents by digest.
#include "register/proposer_state.h"

namespace herontally::reg {

using runtime::microseconds;
using runtime::millisecond;
using runtime::task;

struct put_answer {
  std::string voter, verdict;
};

static task<> put_one(wire::port port, std::string address, wire::content_put question, voter_pace pace,
                      runtime::mailbox<put_answer> answers) {
  std::string voter = question.voter;
  std::size_t bytes = question.body.size();
  pace.sent(voter, bytes);
  auto result = co_await port.ask(std::move(address), std::move(question), round_timeout);
  auto* receipt = std::get_if<wire::content_put_receipt>(&result);
  if (receipt)
    pace.answered(voter, bytes);
  else
    pace.timed_out(voter, bytes);
  answers.push({voter, receipt ? receipt->verdict : std::string()});
}

// A voter that is behind is left out while the others make a quorum: repair brings it what it missed.
static std::vector<voter_place> places_to_ask(const view& used, const voter_pace& pace, bool first_turn) {
  std::vector<voter_place> in_time;
  for (auto& place : used.all())
    if (!pace.behind(place.id)) in_time.push_back(place);
  auto asked = [&in_time](const std::string& id) { return view::contains(in_time, id); };
  return first_turn && used.quorum(asked) ? in_time : used.all();
}

task<bool> proposer::put_content(std::string digest, std::string body, microseconds deadline, bool urgent) {
  auto self = state_;
  auto runtime = self->port.runtime();
  for (int turn = 0; runtime.now() < deadline; ++turn) {
    if (self->current.voters.empty() || turn > 0) co_await refresh(deadline);
    view used = self->current;
    runtime::mailbox<put_answer> answers(runtime);
    auto places = places_to_ask(used, self->pace, turn == 0);
    if (places.size() < used.all().size())
      self->port.journal().count("herontally_late_voters_left_out_total");
    for (auto& place : places) {
      wire::content_put question{place.id, digest, body, urgent, used.number};
      runtime.spawn(put_one(self->port, place.address, std::move(question), self->pace, answers));
    }
    std::set<std::string> yes;
    for (std::size_t heard = 0; heard < places.size(); ++heard) {
      auto answer = co_await answers.pop(std::max<microseconds>(0, deadline - runtime.now()));
      if (!answer) break;
      if (answer->verdict == "yes") yes.insert(answer->voter);
      // It may have missed the installation; a voter that is further on passes it over.
      if (answer->verdict == "view") self->send_view(used, answer->voter);
      // Each of these had this view when it took the content, so that a move that fills a joining voter after
      // it, from a majority that has the next view, lists the content.
      if (used.quorum([&yes](const std::string& id) { return yes.count(id) > 0; })) co_return true;
    }
    co_await runtime.sleep(20 * millisecond);
  }
  co_return false;
}

task<std::optional<std::vector<std::string>>> proposer::fetch_chain(
    std::string digest, std::size_t length,
    std::function<bool(const std::string& digest, const std::string& body)> valid,
    std::function<std::string(const std::string& body)> previous, microseconds deadline) {
  auto self = state_;
  auto runtime = self->port.runtime();
  std::vector<std::string> bodies;
  if (self->current.voters.empty()) co_await refresh(deadline);
  auto places = self->current.all();
  std::size_t which = places.empty() ? 0 : runtime.draw(places.size());
  std::size_t fruitless = 0;
  while (!digest.empty() && bodies.size() < length) {
    // Every voter was tried without one more body: the chain can't be had now.
    if (fruitless >= places.size() * 2 || runtime.now() >= deadline) co_return std::nullopt;
    auto& place = places[which % places.size()];
    wire::chain_ask question{place.id, digest, static_cast<std::int64_t>(length - bodies.size()),
                             self->current.number};
    auto result = co_await self->port.ask(place.address, std::move(question), round_timeout);
    ++which;
    ++fruitless;
    auto* receipt = std::get_if<wire::chain_receipt>(&result);
    if (!receipt) continue;
    for (auto& body : receipt->bodies) {
      // A body that isn't what its digest says is as good as none.
      if (bodies.size() == length || !valid(digest, body)) break;
      digest = previous(body);
      bodies.push_back(std::move(body));
      fruitless = 0;
    }
  }
  if (bodies.size() != length || !digest.empty()) co_return std::nullopt;
  co_return bodies;
}

// One voter didn't get this record in time: one that did sends it on until it is taken.
void proposer::state::note_missed(const std::string& key, const wire::voter_ask& question,
                                  const round_result& accepted) {
  if (accepted.missed.empty()) return;
  port.journal().count("herontally_register_missed_total", static_cast<double>(accepted.missed.size()));
  (void)key;
  (void)question;
}

}  // namespace herontally::reg
