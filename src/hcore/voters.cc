// Who votes: half-done moves are finished, lost machines replaced, retiring ones emptied.
#include "hcore/node_state.h"

namespace herontally::hcore {

// From when the membership gives a voter up until a spare takes its place. A machine that is gone for good
// must not be waited for: until it is replaced the group has one loss less to bear, and a newcomer is
// expected to carry its part a few seconds after it came. One that only restarts, and finds itself replaced,
// is a spare.
constexpr microseconds patience = second;

static task<std::optional<wire::identify_receipt>> identify(wire::port port, std::string address,
                                                            std::string group) {
  wire::identify_ask question{std::move(group)};
  auto result = co_await port.ask(std::move(address), std::move(question), 500 * millisecond);
  auto* receipt = std::get_if<wire::identify_receipt>(&result);
  if (!receipt || receipt->voter.empty()) co_return std::nullopt;
  co_return *receipt;
}

task<bool> node::state::replace_one(reg::proposer group, std::string role) {
  auto self = shared_from_this();
  auto deadline = [self] { return self->runtime.now() + 20 * second; };
  std::string name = role == "hcore" ? "core" : "store";
  auto agreed = co_await reg::agreed_view(self->catalog, name, self->runtime.now() + second);
  if (!agreed || agreed->number == 0) co_return false;
  if (!agreed->before.empty() || agreed->number > group.current().number) {
    if (group.current().number == 0) group.learn(*agreed);
    bool done = co_await reg::finish_move(group, self->catalog, deadline());
    co_return done;
  }
  auto content = self->current();
  std::set<std::string> retiring;
  if (content && role == "hstore") retiring = desired::state_of(*content).retiring_storage;
  for (auto& voter : agreed->voters) {
    std::optional<reg::voter_place> arriving;
    auto row = self->known.find(voter.node);
    bool live = row && (row->status == "alive" || row->status == "suspect");
    auto& since = self->gone_since["voter/" + voter.id];
    if (live) {
      since = 0;
      // Same machine, empty disk: it has another identity and must be let in like any newcomer.
      auto seen = co_await identify(self->port, row->inner, name);
      if (seen && seen->voter != voter.id && seen->empty && seen->view.empty() && !retiring.count(voter.node))
        arriving = reg::voter_place{seen->voter, row->inner, voter.node, row->zone};
    } else if (since == 0) {
      since = self->runtime.now();
    }
    bool lost = !live && since > 0 && self->runtime.now() - since > patience;
    if (!arriving && (lost || retiring.count(voter.node))) {
      // A spare in the same zone keeps the copies in three zones.
      for (int pass = 0; pass < 2 && !arriving; ++pass) {
        for (auto& spare : self->known.live(role)) {
          if (spare.status != "alive" || (pass == 0 && spare.zone != voter.zone) ||
              retiring.count(spare.name))
            continue;
          auto seen = co_await identify(self->port, spare.inner, name);
          if (!seen || !seen->empty || !seen->view.empty() || agreed->has(seen->voter)) continue;
          arriving = reg::voter_place{seen->voter, spare.inner, spare.name, spare.zone};
          break;
        }
      }
    }
    if (!arriving) continue;
    self->journal.info("replacing a voter",
                       {{"group", name}, {"leaving", voter.node}, {"arriving", arriving->node}});
    reg::replacement wanted{voter.id, *arriving};
    auto result = co_await reg::replace_voter(group, self->catalog, wanted, deadline());
    bool done = std::holds_alternative<reg::view>(result);
    self->journal.info("voter replaced", {{"group", name}, {"done", done}});
    co_return done;
  }
  co_return true;
}

task<> node::state::keep_voters() {
  auto self = shared_from_this();
  while (true) {
    co_await self->runtime.sleep(500 * millisecond);
    // Two holders at once would only collide in the register, which settles it.
    if (!self->voters_duty.mine() || self->leaving) continue;
    if (self->surroundings) co_await self->finish_founding();
    co_await self->replace_one(self->catalog, "hcore");
    co_await self->replace_one(self->stores, "hstore");
  }
}

static std::vector<reg::voter_place> places_of(const json& list) {
  std::vector<reg::voter_place> places;
  for (auto& address : list) places.push_back({"", address.get<std::string>(), "", ""});
  return places;
}

task<> node::state::bootstrap_request(runtime::inbound_request request, gateway::writer out) {
  auto self = shared_from_this();
  auto body = json::parse(request.body, nullptr, false);
  for (auto* group : {"core", "store"}) {
    bool usable =
        body.is_object() && body.contains(group) && body[group].is_array() && body[group].size() % 2 == 1;
    if (usable)
      for (auto& address : body[group])
        usable = usable && address.is_string() && settings::is_address(address.get<std::string>());
    if (!usable) {
      gateway::drop(out, 400, std::string(group) + " must list an odd number of ip:port", "no");
      co_return;
    }
  }
  for (auto* group : {"core", "store"}) {
    auto places = places_of(body[group]);
    for (auto& place : places)
      for (auto& each : self->known.all())
        if (each.inner == place.address) {
          place.node = each.name;
          place.zone = each.zone;
        }
    for (auto& place : places) {
      if (!place.node.empty()) continue;
      gateway::drop(out, 503, "no member is known at " + place.address, "no", 1);
      co_return;
    }
    auto begun = co_await reg::begin_group(self->port, group, places, self->runtime.now() + 5 * second);
    if (auto* why = std::get_if<reg::move_error>(&begun)) {
      bool there = *why == reg::move_error::already_there || *why == reg::move_error::not_empty;
      gateway::drop(out, there ? 409 : 503,
                    there ? std::string(group) + " has begun already" : "a voter can't be reached", "no",
                    there ? 0 : 1);
      co_return;
    }
    auto first = std::get<reg::view>(begun);
    (std::string(group) == "core" ? self->catalog : self->stores).learn(first);
    auto lay = [first](const std::optional<std::string>& current) -> std::optional<std::string> {
      return current ? std::nullopt : std::optional<std::string>(reg::view_text(first));
    };
    auto result =
        co_await self->catalog.change(reg::view_key_of(group), lay, self->runtime.now() + 5 * second, true);
    if (!result.value) {
      gateway::drop(out, 503, "the first view could not be settled; ask again", "unknown", 1);
      co_return;
    }
  }
  gateway::reply_json(out, 200, {{"begun", true}});
}

}  // namespace herontally::hcore
