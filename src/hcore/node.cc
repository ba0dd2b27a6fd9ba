#include "hcore/node.h"

#include "hcore/node_state.h"

namespace herontally::hcore {

static reg::voter_options voter_choice(const settings::settings& place) {
  reg::voter_options choice;
  choice.group = "core";
  choice.buckets = 1;
  choice.limit_bytes = place.disk_megabytes << 20;
  return choice;
}

node::state::state(runtime::handle handle, settings::settings given, logging::journal lines,
                   std::shared_ptr<const dialect::dialect> speech)
    : runtime(handle),
      place(std::move(given)),
      journal(lines),
      surroundings(std::move(speech)),
      port(handle, place.name, lines),
      known(port, members::row_of(place, "hcore"), place.seeds),
      voter(port, voter_choice(place)),
      catalog(port, "core"),
      stores(port, "store"),
      board(handle),
      platform_duty(known, catalog, "platform", "hcore"),
      voters_duty(known, catalog, "voters", "hcore"),
      calendar_duty(known, catalog, "calendars", "hcore") {
  if (place.speaks > 0) port.speak(place.speaks);
}

node::node(runtime::handle runtime, settings::settings place, logging::journal journal,
           std::shared_ptr<const dialect::dialect> surroundings)
    : state_(std::make_shared<state>(std::move(runtime), std::move(place), std::move(journal),
                                     std::move(surroundings))) {}
node::~node() = default;

static std::vector<std::string> addresses_of(const members::members& known, const std::string& role,
                                             const std::vector<std::string>& seeds) {
  std::vector<std::string> addresses;
  for (auto& each : known.live(role)) addresses.push_back(each.inner);
  if (addresses.empty()) addresses = seeds;
  return addresses;
}

task<std::optional<std::string>> node::start() {
  auto self = state_;
  auto weak = std::weak_ptr<state>(self);
  self->catalog.seeds([weak] {
    auto here = weak.lock();
    return here ? addresses_of(here->known, "hcore", here->place.seeds) : std::vector<std::string>();
  });
  self->stores.seeds([weak] {
    auto here = weak.lock();
    return here ? addresses_of(here->known, "hstore", here->place.seeds) : std::vector<std::string>();
  });
  self->voter.on_view([weak](const reg::view& installed) {
    if (auto here = weak.lock()) here->catalog.learn(installed);
  });
  self->began = self->runtime.now();
  auto fault = co_await self->voter.open();
  if (fault == reg::voter_fault::failed)
    co_return std::string("data can't be read or written: ") + self->place.data;
  if (self->voter.current().number > 0) self->catalog.learn(self->voter.current());
  self->serve_inner();
  self->known.start();
  // Only now can every message be answered.
  if (!self->port.listen(self->place.inner)) co_return "inner can't be listened on: " + self->place.inner;
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
  self->runtime.spawn(self->keep_group(self->catalog, "core", "hcore"));
  self->runtime.spawn(self->keep_group(self->stores, "store", "hstore"));
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
  self->journal.info("started", {{"voter", self->voter.id()}});
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
  journal.info("desired state learned", {{"revision", content->revision}, {"way", way}});
  journal.gauge("herontally_desired_revision", static_cast<double>(content->revision));
}

// Reads the register at a majority again and again: news is only as good as the last such reading.
task<> node::state::confirm_forever() {
  auto self = shared_from_this();
  while (true) {
    microseconds begun = self->runtime.now();
    auto result = co_await self->catalog.read(desired::register_key, begun + second);
    if (result.end == reg::change_end::settled || result.end == reg::change_end::declined) {
      if (result.value) self->learn(*result.value, "register");
      self->confirmed = begun;
      self->ready = true;
    }
    self->journal.gauge("herontally_confirmed_age_milliseconds",
                        static_cast<double>((self->runtime.now() - self->confirmed) / millisecond));
    self->journal.gauge("herontally_view", static_cast<double>(self->voter.current().number));
    self->journal.gauge("herontally_voter_bytes", static_cast<double>(self->voter.live_bytes()));
    co_await self->runtime.sleep(200 * millisecond);
  }
}

void node::state::serve_inner() {
  std::weak_ptr<state> weak = shared_from_this();
  port.on<wire::news_ask>([weak](wire::news_ask question) -> task<wire::news_receipt> {
    auto self = weak.lock();
    auto age = [weak]() -> std::int64_t {
      auto here = weak.lock();
      if (!here || here->confirmed < 0) return -1;
      return (here->runtime.now() - here->confirmed) / millisecond + 1;
    };
    auto& reached = self->in_force[question.node];
    if (question.in_force > reached) {
      reached = question.in_force;
      for (auto& wait : self->force_waits) wait.set(true);
    }
    auto receipt = co_await self->board.answer(std::move(question), age);
    co_return receipt;
  });
  port.on<wire::in_force>([weak](wire::in_force word) -> task<wire::in_force_receipt> {
    auto self = weak.lock();
    auto& reached = self->in_force[word.node];
    reached = std::max(reached, word.revision);
    for (auto& wait : self->force_waits) wait.set(true);
    co_return wire::in_force_receipt{"yes"};
  });
  port.on<wire::chosen>([weak](wire::chosen word) -> task<wire::chosen_receipt> {
    auto self = weak.lock();
    self->learn(word.state, "core");
    co_return wire::chosen_receipt{self->board.revision()};
  });
  port.on<wire::engines_push>([weak](wire::engines_push word) -> task<wire::engines_push_receipt> {
    auto self = weak.lock();
    // A holder that was superseded must not bring its old list back.
    bool passed = self->gate.pass("platform", word.epoch);
    // Without its text the list is only confirmed, which counts where it is the one at hand.
    bool at_hand =
        word.epoch == self->board.engines_epoch() && word.sequence == self->board.engines_sequence();
    if (passed && word.engines.empty() && !at_hand)
      co_return wire::engines_push_receipt{"lacking", self->gate.highest("platform")};
    if (passed) self->board.set_engines(word.epoch, word.sequence, word.engines);
    // The holder asked the platform just before; its message may have been this long under way.
    if (passed) self->board.engines_confirmed(self->runtime.now() - push_timeout);
    // The edges hear of the confirmation at once: they go by how old the list is.
    if (passed) self->board.stir();
    co_return wire::engines_push_receipt{passed ? "yes" : "behind", self->gate.highest("platform")};
  });
  port.on<wire::trace_ask>([weak](wire::trace_ask question) -> task<wire::trace_receipt> {
    auto self = weak.lock();
    wire::trace_receipt receipt;
    receipt.node = self->place.name;
    receipt.role = "hcore";
    for (auto& event : self->trace)
      if (question.revision == 0 || event.revision == question.revision) receipt.events.push_back(event);
    co_return receipt;
  });
}

}  // namespace herontally::hcore
