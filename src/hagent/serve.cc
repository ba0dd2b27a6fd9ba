// What the agent answers: its proxy's and its peers' questions for news, and the tracer's.
#include "hagent/node_state.h"

namespace herontally::hagent {

task<wire::news_receipt> node::state::answer(wire::news_ask question) {
  auto self = shared_from_this();
  std::weak_ptr<state> weak = self;
  // Only our own proxy gives its address.
  bool from_proxy = !question.http.empty();
  auto rows_known = question.members_version;
  if (from_proxy) {
    if (question.incarnation > self->proxy_incarnation) self->proxy_revision = 0;
    self->proxy = question.node;
    self->proxy_inner = question.http;
    self->proxy_incarnation = std::max(self->proxy_incarnation, question.incarnation);
    self->proxy_revision = std::max(self->proxy_revision, question.revision);
    self->proxy_seen = self->runtime.now();
    co_await self->tell_in_force();
  }
  auto age = [weak]() -> std::int64_t {
    auto here = weak.lock();
    return here ? here->age_milliseconds() : -1;
  };
  auto receipt = co_await self->board.answer(std::move(question), age);
  // A few peers are asked for what all of them said: with it a majority's word needs no message to each.
  if (!from_proxy) receipt.heard = nlohmann::json(self->fresh.ages_milliseconds()).dump();
  if (!from_proxy) co_return receipt;
  // Rows are many and change seldom: a proxy that has the newest isn't told them again.
  receipt.leaving = self->leaving_engines;
  receipt.members_version = self->known.version();
  if (receipt.members_version == rows_known) co_return receipt;
  std::vector<wire::member> useful;
  for (auto& each : self->known.all())
    if (each.role == "hstore" || each.role == "hproxy" || each.name == self->place.name)
      useful.push_back(each);
  receipt.members = nlohmann::json(useful).dump();
  co_return receipt;
}

void node::state::serve() {
  std::weak_ptr<state> weak = shared_from_this();
  port.on<wire::news_ask>([weak](wire::news_ask question) -> task<wire::news_receipt> {
    auto here = weak.lock();
    co_return co_await here->answer(std::move(question));
  });
  port.on<wire::trace_ask>([weak](wire::trace_ask question) -> task<wire::trace_receipt> {
    auto here = weak.lock();
    wire::trace_receipt receipt;
    receipt.node = here->place.name;
    receipt.role = "hagent";
    for (auto& event : here->trace)
      if (question.revision == 0 || event.revision == question.revision) receipt.events.push_back(event);
    co_return receipt;
  });
}

}  // namespace herontally::hagent
