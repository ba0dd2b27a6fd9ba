// Probes to a few in turn, second opinions, and the seeds now and then.
#include "members/members_state.h"

namespace herontally::members {

task<bool> members::state::probe_one(std::string address, bool full, microseconds timeout) {
  auto here = shared_from_this();
  wire::probe question{"", full, here->choose(false), full ? here->sum() : 0};
  auto result = co_await here->port.ask(address, std::move(question), timeout);
  auto* receipt = std::get_if<wire::probe_receipt>(&result);
  if (!receipt) co_return false;
  for (auto& rumour : receipt->rumours) here->hear(rumour);
  // We have heard all that it knows. What it lacks of ours it is told whole; one of an older version says no
  // sum and is told always.
  if (full && receipt->sum != here->sum()) {
    wire::probe rest{"", false, here->choose(true), 0};
    auto taken = co_await here->port.ask(std::move(address), std::move(rest), timeout);
    co_return std::holds_alternative<wire::probe_receipt>(taken);
  }
  co_return true;
}

task<> members::state::second_opinion(std::shared_ptr<state> here, std::string helper, std::string target,
                                      runtime::mailbox<bool> box) {
  wire::probe question{std::move(target), false, {}, 0};
  auto result = co_await here->port.ask(std::move(helper), std::move(question), here->pace.indirect);
  auto* receipt = std::get_if<wire::probe_receipt>(&result);
  box.push(receipt && receipt->reached);
}

task<> members::state::check(std::shared_ptr<state> here, wire::member target) {
  bool reached = co_await here->probe_one(target.inner, false, here->pace.direct);
  if (reached) co_return;
  // Perhaps only our own way to it is cut: ask others before doubting it.
  std::vector<std::string> helpers;
  for (auto& [name, each] : here->rows)
    if (name != here->self.name && name != target.name && each.entry.status == "alive")
      helpers.push_back(each.entry.inner);
  std::shuffle(helpers.begin(), helpers.end(), here->port.runtime().random());
  if (helpers.size() > static_cast<std::size_t>(here->pace.second_opinions))
    helpers.resize(static_cast<std::size_t>(here->pace.second_opinions));
  runtime::mailbox<bool> box(here->port.runtime());
  for (auto& helper : helpers) here->port.runtime().spawn(second_opinion(here, helper, target.inner, box));
  for (std::size_t heard = 0; heard < helpers.size(); ++heard) {
    auto seen = co_await box.pop(here->pace.indirect + 50 * millisecond);
    if (seen && *seen) co_return;
  }
  here->doubt(target.name, target.incarnation);
}

task<> members::state::prober(std::shared_ptr<state> here) {
  microseconds next_full = 0, begun = here->port.runtime().now();
  std::size_t seed = 0;
  while (!here->leaving) {
    here->declare_dead();
    auto target = here->next_target();
    if (target) here->port.runtime().spawn(check(here, *target));
    auto now = here->port.runtime().now();
    if (!target || now >= next_full) {
      // Rumours alone reach a newcomer slowly: at first it asks for everything more often.
      next_full = now + (now - begun < 5 * second ? 400 * millisecond : 2 * second);
      // Seeds and the dead are tried now and then, so that two halves of a split find together again.
      std::vector<std::string> places = here->seeds;
      for (auto& [name, each] : here->rows)
        if (name != here->self.name) places.push_back(each.entry.inner);
      auto place = target ? places[here->port.runtime().draw(places.size())]
                          : here->seeds[seed++ % here->seeds.size()];
      if (place != here->self.inner) co_await here->probe_one(place, true, here->pace.direct);
    }
    auto jitter = static_cast<microseconds>(here->port.runtime().draw(40 * millisecond));
    co_await here->port.runtime().sleep(here->pace.period - 20 * millisecond + jitter);
  }
}

}  // namespace herontally::members
