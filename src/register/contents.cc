// Contents by digest.
#include "register/proposer_state.h"

namespace herontally::reg {

using runtime::microseconds;
using runtime::millisecond;
using runtime::task;

static task<> put_one(wire::port port, std::string address, wire::content_put question,
                      runtime::mailbox<std::pair<std::string, std::string>> box) {
  std::string id = question.voter;
  auto result = co_await port.ask(std::move(address), std::move(question), round_timeout);
  auto* receipt = std::get_if<wire::content_put_receipt>(&result);
  box.push({id, receipt ? receipt->verdict : std::string()});
}

task<bool> proposer::put_content(std::string digest, std::string body, microseconds deadline, bool urgent) {
  auto self = state_;
  auto runtime = self->port.runtime();
  for (int turn = 0; runtime.now() < deadline; ++turn) {
    if (self->current.voters.empty() || turn > 0) co_await refresh(deadline);
    view used = self->current;
    runtime::mailbox<std::pair<std::string, std::string>> box(runtime);
    auto places = used.all();
    for (auto& place : places) {
      wire::content_put question{place.id, digest, body, urgent, used.number};
      runtime.spawn(put_one(self->port, place.address, std::move(question), box));
    }
    std::set<std::string> yes;
    for (std::size_t heard = 0; heard < places.size(); ++heard) {
      auto word = co_await box.pop(std::max<microseconds>(0, deadline - runtime.now()));
      if (!word) break;
      if (word->second == "yes") yes.insert(word->first);
      // It may have missed the installation; a voter that is further on passes it over.
      if (word->second == "view") self->send_view(used, word->first);
      // Each of these had this view when it took the content, so that a move that fills a newcomer after
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
