// The proxy's side towards the users' platform, where an adapter gives its words.
#include "hproxy/node_state.h"

namespace herontally::hproxy {

std::optional<std::string> node::state::open_door() {
  forward::door_options choice;
  choice.zone = place.zone;
  choice.min_cached_token_delta = to.min_cached_token_delta;
  door.emplace(runtime, logger, to.speech, ledger::programs(stores), choice);
  std::weak_ptr<state> weak = weak_from_this();
  bool clients =
      runtime.http_serve(place.ingress, [weak](runtime::inbound_request request, gateway::writer out) {
        auto here = weak.lock();
        if (here) here->runtime.spawn(here->door->serve(std::move(request), std::move(out)));
      });
  if (!clients) return "ingress can't be listened on: " + place.ingress;
  bool asked =
      runtime.http_serve(place.readiness, [weak](runtime::inbound_request request, gateway::writer out) {
        auto here = weak.lock();
        if (!here) return;
        // Without a view of the ledger's stores no turn could be taken.
        bool ready = here->door->ready() && here->stores.current_view().number > 0;
        bool known = request.path == here->to.speech->ready_path;
        runtime::http_response response;
        response.status = !known ? 404 : ready ? 200 : 503;
        out->reply(std::move(response));
      });
  if (!asked) return "readiness can't be listened on: " + place.readiness;
  return std::nullopt;
}

void node::state::tell_door(const rpc::config_update_reply& response, bool changed) {
  if (changed && desired && desired->routing) door->routing(*desired->routing, desired->evacuated_zones);
  door->engines(response.engines, response.draining_engines);
  std::int64_t live = 0;
  for (auto& each : members)
    if (each.role == rpc::node_role::proxy &&
        (each.status == rpc::member_status::alive || each.status == rpc::member_status::suspect))
      ++live;
  // By the agreed list of edges, not the membership: nodes with different views of who lives would send more
  // than the rate between them.
  door->nodes(live, {desired ? proxies : 0, rank, proxies_before, rank_before});
  // Readiness asks for the view of the stores before any client does.
  if (stores.current_view().number == 0) runtime.spawn(stores.refresh_view(runtime.now() + second));
}

// Ends once nothing has been under way for a moment: clients that still hold a connection may send another
// request on it, which then is served and told to be the last.
task<> node::state::close_door() {
  auto self = shared_from_this();
  self->door->leave();
  auto last = self->runtime.now() + (self->place.notice_milliseconds - 300) * millisecond;
  // New connections come until the platform has missed our readiness twice.
  co_await self->runtime.sleep(std::min<microseconds>(2500, self->place.notice_milliseconds / 2) *
                               millisecond);
  constexpr microseconds calm = 200 * millisecond;
  auto calm_since = self->runtime.now();
  while (self->runtime.now() < last && self->runtime.now() - calm_since < calm) {
    co_await self->runtime.sleep(20 * millisecond);
    // Never calm: what is under way gets the time that is left, and nobody else.
    if (self->runtime.now() > last - 2 * second) self->door->close();
    if (self->door->under_way() > 0) calm_since = self->runtime.now();
  }
}

}  // namespace herontally::hproxy
