#include "hagent/node.h"

#include <cmath>

#include "hagent/node_state.h"
#include "runtime/breaks.h"

namespace herontally::hagent {

node::state::state(runtime::handle handle, settings::settings given, logging::logger lines,
                   std::shared_ptr<const dialect::dialect> speech)
    : runtime(handle),
      place(std::move(given)),
      logger(lines),
      surroundings(std::move(speech)),
      endpoint(handle, place.name, lines),
      known(endpoint, membership::own_entry(place, rpc::node_role::agent), place.seeds),
      board(handle),
      fresh(handle, place.name) {
  if (place.speaks > 0) endpoint.set_version(place.speaks);
}

node::node(runtime::handle runtime, settings::settings place, logging::logger logger,
           std::shared_ptr<const dialect::dialect> surroundings)
    : state_(std::make_shared<state>(std::move(runtime), std::move(place), std::move(logger),
                                     std::move(surroundings))) {}
node::~node() = default;

task<std::optional<std::string>> node::start() {
  auto self = state_;
  std::weak_ptr<state> weak = self;
  self->serve();
  if (!self->endpoint.listen(self->place.inner)) co_return "inner can't be listened on: " + self->place.inner;
  self->known.start();
  self->runtime.spawn(self->core_link());
  self->runtime.spawn(self->ask_peers());
  if (self->surroundings)
    self->runtime.spawn(self->look_at_listing());
  else
    self->runtime.spawn(self->look_at_platform());
  self->runtime.spawn(self->keep_proxy_row());
  bool served = self->runtime.http_serve(self->place.http, [weak](runtime::inbound_request incoming,
                                                                  gateway::writer out) {
    auto here = weak.lock();
    if (!here) return;
    auto age = here->age_milliseconds();
    bool ready = age >= 0 && age * millisecond <= news::longest_age && !here->leaving;
    if (!gateway::common_pages(incoming, out, here->logger, ready, {{"revision", here->board.revision()}}))
      gateway::drop(out, 404, "no such page", "no");
  });
  if (!served) co_return "http can't be listened on: " + self->place.http;
  self->logger.info("started");
  co_return std::nullopt;
}

task<> node::leave() {
  auto self = state_;
  self->leaving = true;
  co_await self->known.leave();
}

std::int64_t node::state::age_milliseconds() const {
  // Nothing vouched for in this life: there is nothing to give on.
  if (!fresh.settled()) return -1;
  return (runtime.now() - fresh.moment()) / millisecond + 1;
}

// What is in force on this machine. A proxy that hasn't asked for longer than its knowledge lasts serves
// nobody.
std::int64_t node::state::in_force() const {
  bool proxy_lives = proxy_seen >= 0 && runtime.now() - proxy_seen <= news::longest_age + 500 * millisecond;
  return proxy_lives ? proxy_revision : board.revision();
}

// The first list of a new life, when it is old where it comes from, may not say which engines leave, and we
// can't know it from before. We look at the platform first, and go by the list when that look is over:
// without an answer the engines' own word is all there is.
bool node::state::may_take_list(const rpc::config_update_reply& reply) {
  auto age = reply.engines_age_milliseconds;
  bool old = age < 0 || age * millisecond > list_is_old;
  bool may = !old || looked || board.engines_sequence() > 0 || broken("outlook");
  list_offered = !may;
  return may;
}

void node::state::learn(const rpc::config_update_reply& reply, const std::string& way) {
  if (!reply.engines.empty() && may_take_list(reply))
    board.set_engines(reply.engines_epoch, reply.engines_sequence, reply.engines);
  if (reply.config.empty()) return;
  auto content = desired::from_text(reply.config);
  if (!content || !board.set_state(content->revision, reply.config)) return;
  edges = content->edges;
  for (auto& name : content->edges_before)
    if (std::find(edges.begin(), edges.end(), name) == edges.end()) edges.push_back(name);
  fresh.edges(content->edges, content->edges_before);
  trace.push_back({content->revision, "learned", way, runtime.wall()});
  if (trace.size() > 500) trace.erase(trace.begin(), trace.begin() + 250);
  logger.info("desired state learned", {{"revision", content->revision}, {"way", way}});
  logger.gauge("herontally_desired_revision", static_cast<double>(content->revision));
}

// Asks one core with the revision at hand and is answered on news; another core when that one fails.
task<> node::state::core_link() {
  auto self = shared_from_this();
  std::size_t turn = self->runtime.draw(3);
  while (true) {
    std::vector<std::string> cores;
    for (auto& each : self->known.live(rpc::node_role::core)) cores.push_back(each.inner);
    // A seed that is no core closes the question, and the next one is tried.
    if (cores.empty()) cores = self->place.seeds;
    std::string address = cores[turn % cores.size()];
    rpc::config_update_request request;
    request.node = self->place.name;
    request.revision = self->board.revision();
    request.applied_revision = self->in_force();
    request.engines_epoch = self->board.engines_epoch();
    request.engines_sequence = self->board.engines_sequence();
    request.wait_milliseconds = 250;
    auto asked = self->runtime.now();
    auto result = co_await self->endpoint.call(address, std::move(request), 600 * millisecond);
    auto* reply = std::get_if<rpc::config_update_reply>(&result);
    bool useful = reply && reply->age_milliseconds >= 0 && reply->age_milliseconds < 1000;
    if (reply) self->learn(*reply, "core");
    if (reply && reply->engines_age_milliseconds >= 0)
      self->board.engines_confirmed(asked - reply->engines_age_milliseconds * millisecond);
    if (useful && self->board.revision() >= reply->revision)
      self->fresh.vouched(asked - reply->age_milliseconds * millisecond);
    // A core that lost touch with its peers is of little use: try the next.
    if (!useful) {
      ++turn;
      co_await self->runtime.sleep(60 * millisecond);
    }
    self->logger.gauge("herontally_news_age_milliseconds", static_cast<double>(self->age_milliseconds()));
  }
}

// A core's word comes at least this often when all is well: it waits up to 250 ms with its answer, reads the
// register 200 ms apart, and counts from our question.
constexpr microseconds lonely_after = 850 * millisecond;

// Without a core's word the other edges are asked: a majority of them knows every acknowledged change.
task<> node::state::ask_peers() {
  auto self = shared_from_this();
  auto ask = [](std::shared_ptr<node::state> here, rpc::member peer) -> task<> {
    rpc::config_update_request request;
    request.node = here->place.name;
    request.revision = here->board.revision();
    request.engines_epoch = here->board.engines_epoch();
    request.engines_sequence = here->board.engines_sequence();
    auto asked = here->runtime.now();
    auto result = co_await here->endpoint.call(peer.inner, std::move(request), 500 * millisecond);
    auto* reply = std::get_if<rpc::config_update_reply>(&result);
    // A peer that was never vouched for in this life says nothing that could be relied on.
    if (!reply || reply->age_milliseconds < 0) co_return;
    here->learn(*reply, "agent " + peer.name);
    if (here->board.revision() < reply->revision) co_return;
    here->fresh.heard_edge(peer.name, asked);
    auto heard = nlohmann::json::parse(reply->peer_ages, nullptr, false);
    if (heard.is_object())
      for (auto& [name, age] : heard.items())
        if (age.is_number_integer() && age.get<std::int64_t>() >= 0)
          here->fresh.heard_edge(name, asked - age.get<std::int64_t>() * millisecond);
    here->fresh.vouched(asked - reply->age_milliseconds * millisecond);
  };
  while (true) {
    if (!self->fresh.settled() || self->runtime.now() - self->fresh.moment() > lonely_after) {
      std::vector<rpc::member> peers;
      for (auto& peer : self->known.live(rpc::node_role::agent)) {
        bool listed = std::find(self->edges.begin(), self->edges.end(), peer.name) != self->edges.end();
        // Before any state is known, any peers will do to get one.
        if (peer.name != self->place.name && (listed || self->edges.empty())) peers.push_back(peer);
      }
      std::shuffle(peers.begin(), peers.end(), self->runtime.random());
      // What they heard from the others reaches everybody in a number of turns that grows as this does.
      auto most = 4 + static_cast<std::size_t>(std::ceil(std::log2(static_cast<double>(peers.size() + 1))));
      if (peers.size() > most) peers.resize(most);
      for (auto& peer : peers) self->runtime.spawn(ask(self, peer));
    }
    co_await self->runtime.sleep(200 * millisecond);
  }
}

static task<> tell_one(rpc::endpoint endpoint, std::string address, rpc::config_applied_request word) {
  co_await endpoint.call(std::move(address), std::move(word), 500 * millisecond);
}

task<> node::state::tell_in_force() {
  auto self = shared_from_this();
  auto revision = self->in_force();
  if (revision <= self->told_in_force) co_return;
  self->told_in_force = revision;
  self->trace.push_back({revision, "in force", "proxy", self->runtime.wall()});
  rpc::config_applied_request word{self->place.name, revision};
  for (auto& each : self->known.live(rpc::node_role::core))
    self->runtime.spawn(tell_one(self->endpoint, each.inner, word));
}

// The proxy's row in the membership tells the others which of its lives goes on: its grants hang on that.
task<> node::state::keep_proxy_row() {
  auto self = shared_from_this();
  while (true) {
    co_await self->runtime.sleep(200 * millisecond);
    co_await self->tell_in_force();
    if (self->proxy.empty()) continue;
    bool live = self->runtime.now() - self->proxy_seen <= second;
    auto row = self->known.find(self->proxy);
    bool shown =
        row && row->incarnation == self->proxy_incarnation && row->status == rpc::member_status::alive;
    if (live == shown) continue;
    rpc::member next;
    next.name = self->proxy;
    next.role = rpc::node_role::proxy;
    next.zone = self->place.zone;
    next.inner = self->place.inner;  // probes of the row reach its agent
    next.http = self->proxy_inner;
    next.incarnation = self->proxy_incarnation;
    next.status = live ? rpc::member_status::alive : rpc::member_status::dead;
    if (row && row->incarnation == next.incarnation) next.refutations = row->refutations + 1;
    self->known.apply_updates({next});
  }
}

}  // namespace herontally::hagent
