#include "hscale/hollow.h"

#include "desired/state.h"
#include "hagent/node.h"
#include "wire/wire.h"

namespace hscale {

namespace wire = herontally::wire;
using runtime::millisecond;
using runtime::task;

struct machine::state : std::enable_shared_from_this<machine::state> {
  machine_terms terms;
  std::shared_ptr<sightings> seen;
  std::shared_ptr<bool> dead = std::make_shared<bool>(false);
  runtime::handle agent_runtime, proxy_runtime;
  logging::journal agent_journal, proxy_journal;
  wire::port proxy_port;
  std::optional<herontally::hagent::node> agent;
  // What the proxy knows, as hproxy keeps it.
  std::int64_t revision = 0, engines_epoch = 0, engines_sequence = 0, members_version = 0;

  state(const runtime::backend& table, machine_terms given, std::shared_ptr<sightings> shared)
      : terms(std::move(given)),
        seen(std::move(shared)),
        agent_runtime(mortal(table, dead), std::hash<std::string>()(terms.name)),
        proxy_runtime(mortal(table, dead), std::hash<std::string>()("proxy " + terms.name)),
        agent_journal(terms.name, watcher(seen, terms.name, agent_runtime)),
        proxy_journal("proxy-" + terms.name, [](const std::string&, const json&) {}),
        proxy_port(proxy_runtime, "proxy-" + terms.name, proxy_journal) {}

  static runtime::backend mortal(runtime::backend table, std::shared_ptr<bool> dead) {
    auto serve = table.serve;
    table.serve = [serve, dead](std::string address, runtime::message_handler handler) {
      return serve(std::move(address), [handler, dead](std::string bytes, auto reply) {
        if (!*dead) handler(std::move(bytes), std::move(reply));
      });
    };
    return table;
  }

  static logging::journal::sink watcher(std::shared_ptr<sightings> seen, std::string observer,
                                        runtime::handle handle) {
    return [seen, observer, handle](const std::string&, const json& line) {
      if (line.value("event", "") != "member" || line.value("status", "") != "dead") return;
      seen->dead[line.value("member", "")].emplace(observer, handle.wall());
    };
  }

  static task<> begin(std::shared_ptr<state> self) {
    auto fault = co_await self->agent->start();
    if (fault) fprintf(stderr, "hscale: %s: %s\n", self->terms.name.c_str(), fault->c_str());
  }

  // The questions of hproxy's feed: same message, same waits.
  static task<> feed(std::shared_ptr<state> self) {
    auto incarnation = self->proxy_runtime.wall();
    while (true) {
      wire::news_ask question;
      question.node = "proxy-" + self->terms.name;
      question.revision = self->revision;
      question.in_force = self->revision;
      question.engines_epoch = self->engines_epoch;
      question.engines_sequence = self->engines_sequence;
      question.wait_milliseconds = 150;
      question.incarnation = incarnation;
      question.http = self->terms.proxy_inner;
      question.members_version = self->members_version;
      auto result = co_await self->proxy_port.ask(self->terms.inner, std::move(question), 600 * millisecond);
      auto* receipt = std::get_if<wire::news_receipt>(&result);
      if (receipt)
        self->take(*receipt);
      else
        co_await self->proxy_runtime.sleep(100 * millisecond);
    }
  }

  void take(const wire::news_receipt& receipt) {
    if (!receipt.engines.empty()) {
      engines_epoch = receipt.engines_epoch;
      engines_sequence = receipt.engines_sequence;
      // Parsed as a proxy does it, for the processor time.
      (void)json::parse(receipt.engines, nullptr, false).size();
    }
    if (!receipt.members.empty()) {
      members_version = receipt.members_version;
      (void)json::parse(receipt.members, nullptr, false).size();
    }
    if (receipt.state.empty() || receipt.revision <= revision) return;
    auto content = herontally::desired::from_text(receipt.state);
    if (!content) return;
    revision = content->revision;
    seen->in_force[revision].push_back(proxy_runtime.wall());
  }
};

machine::machine(const runtime::backend& table, machine_terms terms, std::shared_ptr<sightings> seen)
    : state_(std::make_shared<state>(table, std::move(terms), std::move(seen))) {}
machine::~machine() { kill(); }

void machine::start() {
  auto& here = *state_;
  herontally::settings::settings place;
  place.name = here.terms.name;
  place.role = "hagent";
  place.zone = here.terms.zone;
  place.inner = here.terms.inner;
  place.http = here.terms.http;
  place.seeds = here.terms.seeds;
  place.platform = here.terms.platform;
  place.speaks = here.terms.speaks;
  if (place.speaks > 0) here.proxy_port.speak(place.speaks);
  here.agent.emplace(here.agent_runtime, place, here.agent_journal);
  here.agent_runtime.spawn(state::begin(state_));
  here.proxy_runtime.spawn(state::feed(state_));
}

void machine::kill() {
  if (*state_->dead) return;
  *state_->dead = true;
  state_->agent_runtime.stop();
  state_->proxy_runtime.stop();
  state_->agent.reset();
}

bool machine::alive() const { return !*state_->dead; }
const machine_terms& machine::terms() const { return state_->terms; }
double machine::agent_value(const std::string& counter) const { return state_->agent_journal.value(counter); }
double machine::proxy_value(const std::string& counter) const { return state_->proxy_journal.value(counter); }

}  // namespace hscale
