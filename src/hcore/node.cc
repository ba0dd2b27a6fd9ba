#include "hcore/node.h"

#include "hcore/node_state.h"

namespace herontally::hcore {

static replication::voter_options voter_choice(const settings::settings& place) {
  replication::voter_options choice;
  choice.group = "core";
  choice.bucket_count = 1;
  choice.limit_bytes = place.disk_megabytes << 20;
  return choice;
}

node::state::state(runtime::handle handle, settings::settings given, logging::logger lines,
                   std::shared_ptr<const dialect::dialect> speech)
    : runtime(handle),
      place(std::move(given)),
      logger(lines),
      surroundings(std::move(speech)),
      endpoint(handle, place.name, lines),
      known(endpoint, membership::own_entry(place, rpc::node_role::core), place.seeds),
      voter(endpoint, voter_choice(place)),
      catalog(endpoint, "core"),
      stores(endpoint, "store"),
      board(handle),
      platform_duty(known, catalog, "platform", rpc::node_role::core),
      voters_duty(known, catalog, "voters", rpc::node_role::core),
      calendar_duty(known, catalog, "calendars", rpc::node_role::core) {
  if (place.speaks > 0) endpoint.set_version(place.speaks);
}

node::node(runtime::handle runtime, settings::settings place, logging::logger logger,
           std::shared_ptr<const dialect::dialect> surroundings)
    : state_(std::make_shared<state>(std::move(runtime), std::move(place), std::move(logger),
                                     std::move(surroundings))) {}
node::~node() = default;

static std::vector<std::string> addresses_of(const membership::member_list& known, rpc::node_role role,
                                             const std::vector<std::string>& seeds) {
  std::vector<std::string> addresses;
  for (auto& each : known.live(role)) addresses.push_back(each.inner);
  if (addresses.empty()) addresses = seeds;
  return addresses;
}

task<std::optional<std::string>> node::start() {
  auto self = state_;
  auto weak = std::weak_ptr<state>(self);
  self->catalog.set_seeds([weak] {
    auto here = weak.lock();
    return here ? addresses_of(here->known, rpc::node_role::core, here->place.seeds)
                : std::vector<std::string>();
  });
  self->stores.set_seeds([weak] {
    auto here = weak.lock();
    return here ? addresses_of(here->known, rpc::node_role::store, here->place.seeds)
                : std::vector<std::string>();
  });
  self->voter.on_view([weak](const consensus::view& installed) {
    if (auto here = weak.lock()) here->catalog.learn(installed);
  });
  self->began = self->runtime.now();
  auto fault = co_await self->voter.open();
  if (fault == replication::open_error::failed)
    co_return std::string("data can't be read or written: ") + self->place.data;
  if (self->voter.current_view().number > 0) self->catalog.learn(self->voter.current_view());
  self->serve_inner();
  self->known.start();
  // Only now can every message be answered.
  if (!self->endpoint.listen(self->place.inner)) co_return "inner can't be listened on: " + self->place.inner;
  self->platform_duty.start();
  self->voters_duty.start();
  self->calendar_duty.start();
  self->runtime.spawn(self->confirm_forever());
  if (self->surroundings) {
    // Which edges there are is asked of nobody here: an acknowledgement doesn't wait for them.
    self->runtime.spawn(self->poll_listing());
    self->runtime.spawn(self->found_core());
  } else {
    self->runtime.spawn(self->keep_edges());
    self->runtime.spawn(self->poll_platform());
  }
  self->runtime.spawn(self->watch_standstill());
  self->runtime.spawn(self->keep_founding());
  self->runtime.spawn(self->keep_group(self->catalog, "core", rpc::node_role::core));
  self->runtime.spawn(self->keep_group(self->stores, "store", rpc::node_role::store));
  self->runtime.spawn(self->keep_calendars());
  self->runtime.spawn(self->voter.repair_forever());
  if (!self->runtime.http_serve(
          self->place.http, [weak](runtime::inbound_request request, gateway::writer out) {
            if (auto here = weak.lock())
              here->runtime.spawn(here->serve_request(std::move(request), std::move(out)));
          }))
    co_return "http can't be listened on: " + self->place.http;
  bool controlled = self->surroundings && !self->place.control.empty();
  auto command = [weak](runtime::inbound_request request, gateway::writer out) {
    if (auto here = weak.lock())
      here->runtime.spawn(here->control_request(std::move(request), std::move(out)));
  };
  if (controlled && !self->runtime.http_serve(self->place.control, command))
    co_return "control can't be listened on: " + self->place.control;
  self->logger.info("started", {{"voter", self->voter.id()}});
  co_return std::nullopt;
}

task<> node::leave() {
  auto self = state_;
  self->leaving = true;
  co_await self->known.leave();
}

std::optional<desired::record> node::state::current() const {
  if (board.state_text().empty()) return std::nullopt;
  return desired::from_text(board.state_text());
}

void node::state::note(std::int64_t revision, const std::string& what, const std::string& way) {
  trace.push_back({revision, what, way, runtime.wall()});
  // Enough for the tracer to follow the latest changes.
  if (trace.size() > 500) trace.erase(trace.begin(), trace.begin() + 250);
}

void node::state::learn(const std::string& text, const std::string& way) {
  auto content = desired::from_text(text);
  if (!content) return;
  // What an operator sent is kept in the register alone; those who route need only what it means.
  bool long_form = !content->sent.empty();
  if (!board.set_state(content->revision, long_form ? desired::to_text(desired::for_news(*content)) : text))
    return;
  note(content->revision, "learned", way);
  logger.info("desired state learned", {{"revision", content->revision}, {"way", way}});
  logger.gauge("herontally_desired_revision", static_cast<double>(content->revision));
}

// Reads the register at a majority again and again: news is only as good as the last such reading.
task<> node::state::confirm_forever() {
  auto self = shared_from_this();
  while (true) {
    microseconds begun = self->runtime.now();
    auto result = co_await self->catalog.read(desired::register_key, begun + second);
    if (result.known()) {
      if (result.value) self->learn(*result.value, "register");
      self->confirmed = begun;
      self->ready = true;
    }
    self->logger.gauge("herontally_confirmed_age_milliseconds",
                       static_cast<double>((self->runtime.now() - self->confirmed) / millisecond));
    self->logger.gauge("herontally_view", static_cast<double>(self->voter.current_view().number));
    self->logger.gauge("herontally_voter_bytes", static_cast<double>(self->voter.records().live_bytes()));
    co_await self->runtime.sleep(200 * millisecond);
  }
}

void node::state::serve_inner() {
  std::weak_ptr<state> weak = shared_from_this();
  endpoint.serve<rpc::config_update_request>(
      [weak](rpc::config_update_request request) -> task<rpc::config_update_reply> {
        auto self = weak.lock();
        auto age = [weak]() -> std::int64_t {
          auto here = weak.lock();
          if (!here || here->confirmed < 0) return -1;
          return (here->runtime.now() - here->confirmed) / millisecond + 1;
        };
        auto& reached = self->in_force[request.node];
        if (request.applied_revision > reached) {
          reached = request.applied_revision;
          for (auto& wait : self->force_waits) wait.set(true);
        }
        auto reply = co_await self->board.answer(std::move(request), age);
        co_return reply;
      });
  endpoint.serve<rpc::config_applied_request>(
      [weak](rpc::config_applied_request word) -> task<rpc::config_applied_reply> {
        auto self = weak.lock();
        auto& reached = self->in_force[word.node];
        reached = std::max(reached, word.revision);
        for (auto& wait : self->force_waits) wait.set(true);
        co_return rpc::config_applied_reply{rpc::reply_status::ok};
      });
  endpoint.serve<rpc::config_committed_request>(
      [weak](rpc::config_committed_request word) -> task<rpc::config_committed_reply> {
        auto self = weak.lock();
        self->learn(word.config, "core");
        co_return rpc::config_committed_reply{self->board.revision()};
      });
  endpoint.serve<rpc::engine_list_request>([weak](rpc::engine_list_request word)
                                               -> task<rpc::engine_list_reply> {
    auto self = weak.lock();
    // A holder that was superseded must not bring its old list back.
    bool passed = self->gate.pass("platform", word.epoch);
    // Without its text the list is only confirmed, which counts where it is the one at hand.
    bool at_hand =
        word.epoch == self->board.engines_epoch() && word.sequence == self->board.engines_sequence();
    if (passed && word.engines.empty() && !at_hand)
      co_return rpc::engine_list_reply{rpc::reply_status::content_missing, self->gate.highest("platform")};
    if (passed) self->board.set_engines(word.epoch, word.sequence, word.engines);
    // The holder asked the platform just before; its message may have been this long under way.
    if (passed) self->board.engines_confirmed(self->runtime.now() - push_timeout);
    // The edges hear of the confirmation at once: they go by how old the list is.
    if (passed) self->board.stir();
    co_return rpc::engine_list_reply{passed ? rpc::reply_status::ok : rpc::reply_status::ballot_outdated,
                                     self->gate.highest("platform")};
  });
  endpoint.serve<rpc::trace_request>([weak](rpc::trace_request request) -> task<rpc::trace_reply> {
    auto self = weak.lock();
    rpc::trace_reply reply;
    reply.node = self->place.name;
    reply.role = rpc::node_role::core;
    for (auto& event : self->trace)
      if (request.revision == 0 || event.revision == request.revision) reply.events.push_back(event);
    co_return reply;
  });
}

}  // namespace herontally::hcore
