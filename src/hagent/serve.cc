// What the agent answers: its proxy's and its peers' questions for news, and the tracer's.
#include "hagent/node_state.h"

namespace herontally::hagent {

task<rpc::config_update_reply> node::state::answer(rpc::config_update_request request) {
  auto self = shared_from_this();
  std::weak_ptr<state> weak = self;
  // Only our own proxy gives its address.
  bool from_proxy = !request.http.empty();
  auto rows_known = request.members_version;
  if (from_proxy) {
    if (request.incarnation > self->proxy_incarnation) self->proxy_revision = 0;
    self->proxy = request.node;
    self->proxy_inner = request.http;
    self->proxy_incarnation = std::max(self->proxy_incarnation, request.incarnation);
    self->proxy_revision = std::max(self->proxy_revision, request.revision);
    self->proxy_seen = self->runtime.now();
    co_await self->tell_in_force();
  }
  auto age = [weak]() -> std::int64_t {
    auto here = weak.lock();
    return here ? here->age_milliseconds() : -1;
  };
  auto reply = co_await self->board.answer(std::move(request), age);
  // A few peers are asked for what all of them said: with it a majority's word needs no message to each.
  if (!from_proxy) reply.peer_ages = nlohmann::json(self->fresh.ages_milliseconds()).dump();
  if (!from_proxy) co_return reply;
  // Rows are many and change seldom: a proxy that has the newest isn't told them again.
  reply.draining_engines = self->leaving_engines;
  reply.members_version = self->known.version();
  if (reply.members_version == rows_known) co_return reply;
  std::vector<rpc::member> useful;
  for (auto& each : self->known.all())
    if (each.role == rpc::node_role::store || each.role == rpc::node_role::proxy ||
        each.name == self->place.name)
      useful.push_back(each);
  reply.members = nlohmann::json(useful).dump();
  co_return reply;
}

void node::state::serve() {
  std::weak_ptr<state> weak = shared_from_this();
  endpoint.serve<rpc::config_update_request>(
      [weak](rpc::config_update_request request) -> task<rpc::config_update_reply> {
        auto here = weak.lock();
        co_return co_await here->answer(std::move(request));
      });
  endpoint.serve<rpc::trace_request>([weak](rpc::trace_request request) -> task<rpc::trace_reply> {
    auto here = weak.lock();
    rpc::trace_reply reply;
    reply.node = here->place.name;
    reply.role = rpc::node_role::agent;
    for (auto& event : here->trace)
      if (request.revision == 0 || event.revision == request.revision) reply.events.push_back(event);
    co_return reply;
  });
}

}  // namespace herontally::hagent
