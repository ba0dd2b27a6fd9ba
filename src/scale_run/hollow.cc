#include "scale_run/hollow.h"

#include "agent/node.h"
#include "configuration/snapshot.h"
#include "rpc/endpoint.h"

namespace scale_run {

namespace rpc = herontally::rpc;
using runtime::millisecond;
using runtime::task;

struct machine::state : std::enable_shared_from_this<machine::state> {
  machine_terms terms;
  std::shared_ptr<sightings> seen;
  std::shared_ptr<bool> dead = std::make_shared<bool>(false);
  runtime::handle agent_runtime, proxy_runtime;
  logging::logger agent_logger, proxy_logger;
  rpc::endpoint proxy_endpoint;
  std::optional<herontally::agent::node> agent;
  // What the proxy knows, as proxy keeps it.
  std::int64_t revision = 0, engines_epoch = 0, engines_sequence = 0, members_version = 0;

  state(const runtime::backend& table, machine_terms given, std::shared_ptr<sightings> shared)
      : terms(std::move(given)),
        seen(std::move(shared)),
        agent_runtime(mortal(table, dead), std::hash<std::string>()(terms.name)),
        proxy_runtime(mortal(table, dead), std::hash<std::string>()("proxy " + terms.name)),
        agent_logger(terms.name, watcher(seen, terms.name, agent_runtime)),
        proxy_logger("proxy-" + terms.name, [](const std::string&, const json&) {}),
        proxy_endpoint(proxy_runtime, "proxy-" + terms.name, proxy_logger) {}

  static runtime::backend mortal(runtime::backend table, std::shared_ptr<bool> dead) {
    auto serve = table.serve;
    table.serve = [serve, dead](std::string address, runtime::message_handler handler) {
      return serve(std::move(address), [handler, dead](std::string bytes, auto reply) {
        if (!*dead) handler(std::move(bytes), std::move(reply));
      });
    };
    return table;
  }

  static logging::logger::sink watcher(std::shared_ptr<sightings> seen, std::string observer,
                                       runtime::handle handle) {
    return [seen, observer, handle](const std::string&, const json& line) {
      if (line.value("event", "") != "member" || line.value("status", "") != "dead") return;
      seen->dead[line.value("member", "")].emplace(observer, handle.wall());
    };
  }

  static task<> begin(std::shared_ptr<state> self) {
    auto fault = co_await self->agent->start();
    if (fault) fprintf(stderr, "scale_run: %s: %s\n", self->terms.name.c_str(), fault->c_str());
  }

  // The questions of proxy's feed: same message, same waits.
  static task<> feed(std::shared_ptr<state> self) {
    auto incarnation = self->proxy_runtime.wall();
    while (true) {
      rpc::config_update_request request;
      request.node = "proxy-" + self->terms.name;
      request.revision = self->revision;
      request.applied_revision = self->revision;
      request.engines_epoch = self->engines_epoch;
      request.engines_sequence = self->engines_sequence;
      request.wait_milliseconds = 150;
      request.incarnation = incarnation;
      request.http = self->terms.proxy_inner;
      request.members_version = self->members_version;
      auto result =
          co_await self->proxy_endpoint.call(self->terms.inner, std::move(request), 600 * millisecond);
      auto* reply = std::get_if<rpc::config_update_reply>(&result);
      if (reply)
        self->take(*reply);
      else
        co_await self->proxy_runtime.sleep(100 * millisecond);
    }
  }

  void take(const rpc::config_update_reply& reply) {
    if (!reply.engines.empty()) {
      engines_epoch = reply.engines_epoch;
      engines_sequence = reply.engines_sequence;
      // Parsed as a proxy does it, for the processor time.
      (void)json::parse(reply.engines, nullptr, false).size();
    }
    if (!reply.members.empty()) {
      members_version = reply.members_version;
      (void)json::parse(reply.members, nullptr, false).size();
    }
    if (reply.config.empty() || reply.revision <= revision) return;
    auto content = herontally::configuration::record_from_text(reply.config);
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
  place.zone = here.terms.zone;
  place.inner = here.terms.inner;
  place.http = here.terms.http;
  place.seeds = here.terms.seeds;
  place.platform = here.terms.platform;
  place.speaks = here.terms.speaks;
  if (place.speaks > 0) here.proxy_endpoint.set_version(place.speaks);
  here.agent.emplace(here.agent_runtime, place, here.agent_logger);
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
double machine::agent_value(const std::string& counter) const { return state_->agent_logger.value(counter); }
double machine::proxy_value(const std::string& counter) const { return state_->proxy_logger.value(counter); }

}  // namespace scale_run
