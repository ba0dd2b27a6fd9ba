// Founding the groups by an operator's call.
#include "hcore/node_state.h"

namespace herontally::hcore {

static std::vector<consensus::voter_info> places_of(const json& list) {
  std::vector<consensus::voter_info> places;
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
    auto begun = co_await reconfiguration::begin_group(self->endpoint, group, places,
                                                       self->runtime.now() + 5 * second);
    if (auto* why = std::get_if<reconfiguration::move_error>(&begun)) {
      bool there = *why == reconfiguration::move_error::already_there ||
                   *why == reconfiguration::move_error::not_empty;
      gateway::drop(out, there ? 409 : 503,
                    there ? std::string(group) + " has begun already" : "a voter can't be reached", "no",
                    there ? 0 : 1);
      co_return;
    }
    auto first = std::get<consensus::view>(begun);
    (std::string(group) == "core" ? self->catalog : self->stores).learn(first);
    auto lay = [first](const std::optional<std::string>& current) -> std::optional<std::string> {
      return current ? std::nullopt : std::optional<std::string>(consensus::to_text(first));
    };
    auto result = co_await self->catalog.change(reconfiguration::view_register_key(group), lay,
                                                self->runtime.now() + 5 * second, true);
    if (!result.value) {
      gateway::drop(out, 503, "the first view could not be settled; ask again", "unknown", 1);
      co_return;
    }
  }
  gateway::reply_json(out, 200, {{"begun", true}});
}

}  // namespace herontally::hcore
