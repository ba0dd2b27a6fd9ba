#include "hproxy/node.h"

#include "hproxy/node_state.h"
#include "membership/member_list.h"
#include "runtime/breaks.h"

namespace herontally::hproxy {

node::state::state(runtime::handle handle, settings::settings given, logging::logger lines, adapted spoken)
    : runtime(handle),
      place(std::move(given)),
      logger(lines),
      endpoint(handle, place.name, lines),
      stores(endpoint, "store"),
      book(stores, [this](const std::string& owner, std::int64_t life) { return is_gone(owner, life); }),
      to(std::move(spoken)),
      engines(handle, lines),
      incarnation(handle.wall()) {
  if (place.speaks > 0) endpoint.set_version(place.speaks);
}

node::node(runtime::handle runtime, settings::settings place, logging::logger logger, adapted to)
    : state_(
          std::make_shared<state>(std::move(runtime), std::move(place), std::move(logger), std::move(to))) {}
node::~node() = default;

task<std::optional<std::string>> node::start() {
  auto self = state_;
  std::weak_ptr<state> weak = self;
  self->stores.set_seeds([weak] {
    std::vector<std::string> addresses;
    auto here = weak.lock();
    if (!here) return addresses;
    for (auto& each : here->members)
      if (each.role == rpc::node_role::store &&
          (each.status == rpc::member_status::alive || each.status == rpc::member_status::suspect))
        addresses.push_back(each.inner);
    return addresses;
  });
  self->engines.on_reset([weak](const engine::engine_row& row) {
    // Whatever it held, it is doubted now.
    if (auto here = weak.lock()) here->held.forget(row.number);
  });
  self->engines.on_report([weak] {
    if (auto here = weak.lock()) here->wake_room();
  });
  if (self->to.speech) {
    auto fault = self->open_door();
    if (fault) co_return fault;
  } else {
    self->engines.start();
  }
  self->runtime.spawn(self->feed());
  if (!self->endpoint.listen(self->place.inner)) co_return "inner can't be listened on: " + self->place.inner;
  self->endpoint.serve<rpc::trace_request>([weak](rpc::trace_request request) -> task<rpc::trace_reply> {
    auto here = weak.lock();
    rpc::trace_reply reply;
    reply.node = here->place.name;
    reply.role = rpc::node_role::proxy;
    for (auto& event : here->trace)
      if (request.revision == 0 || event.revision == request.revision) reply.events.push_back(event);
    co_return reply;
  });
  if (!self->runtime.http_serve(
          self->place.http, [weak](runtime::inbound_request request, gateway::writer out) {
            if (auto here = weak.lock())
              here->runtime.spawn(here->serve_request(std::move(request), std::move(out)));
          }))
    co_return "http can't be listened on: " + self->place.http;
  self->logger.info("started", {{"agent", self->place.agent}});
  co_return std::nullopt;
}

// The platform's warning: no new requests; those under way finish within the notice.
task<> node::leave() {
  auto self = state_;
  self->leaving = true;
  if (self->door) {
    co_await self->close_door();
    co_return;
  }
  auto until = self->runtime.now() + (self->place.notice_milliseconds - 200) * millisecond;
  while (self->requests > 0 && self->runtime.now() < until) co_await self->runtime.sleep(50 * millisecond);
}

bool node::state::fresh() const {
  if (broken("freshness")) return desired.has_value();
  return desired && fresh_at >= 0 && runtime.now() - fresh_at <= config_distribution::max_config_age;
}

bool node::state::is_gone(const std::string& owner, std::int64_t life) const {
  for (auto& each : members)
    if (each.name == owner && each.role == rpc::node_role::proxy)
      return each.incarnation > life ||
             (each.incarnation == life &&
              (each.status == rpc::member_status::dead || each.status == rpc::member_status::left));
  return false;
}

void node::state::take_members(const std::string& text, std::int64_t version) {
  auto list = membership::members_from_text(text);
  if (list.empty()) return;
  members = std::move(list);
  members_version = version;
  for (auto& each : members)
    if (each.role == rpc::node_role::agent && each.inner == place.agent) agent_name = each.name;
}

// Which doors share the engines' cold caps, and this one's place among them. The agreed list of edges
// decides, not the membership: doors with different views of who lives would hand out more than the cap
// between them. A door that isn't listed yet has no share; while the list changes, the smaller share of both
// lists holds.
void node::state::count_doors() {
  auto place_in = [this](const std::vector<std::string>& edges) -> std::int64_t {
    auto own = std::find(edges.begin(), edges.end(), agent_name);
    return own == edges.end() ? -1 : own - edges.begin();
  };
  rank = place_in(desired->edges);
  proxies = std::max<std::int64_t>(1, static_cast<std::int64_t>(desired->edges.size()));
  rank_before = place_in(desired->previous_edges);
  proxies_before = static_cast<std::int64_t>(desired->previous_edges.size());
}

void node::state::take_news(const rpc::config_update_reply& reply, microseconds asked) {
  if (!reply.members.empty()) take_members(reply.members, reply.members_version);
  if (!reply.engines.empty()) {
    engines_epoch = reply.engines_epoch;
    engines_sequence = reply.engines_sequence;
    if (!door) engines.list(reply.engines);
  }
  if (!door) engines.leaving(reply.draining_engines);
  bool changed = false;
  // A lower revision never replaces a higher one.
  if (!reply.config.empty() && reply.revision > revision) {
    auto content = configuration::record_from_text(reply.config);
    if (content) {
      desired = configuration::snapshot_of(*content);
      revision = content->revision;
      changed = true;
      trace.push_back({revision, "in force", "agent", runtime.wall()});
      if (trace.size() > 500) trace.erase(trace.begin(), trace.begin() + 250);
      logger.info("desired state in force", {{"revision", revision}});
      logger.gauge("herontally_desired_revision", static_cast<double>(revision));
      wake_room();
    }
  }
  if (desired) count_doors();
  if (door) tell_door(reply, changed);
  // The agent vouches for its knowledge as of some moment before it answered; we count from our question.
  if (reply.age_milliseconds >= 0 && revision >= reply.revision)
    fresh_at = std::max(fresh_at, asked - reply.age_milliseconds * millisecond);
}

task<> node::state::feed() {
  auto self = shared_from_this();
  while (true) {
    auto asked = self->runtime.now();
    rpc::config_update_request request;
    request.node = self->place.name;
    request.revision = self->revision;
    request.applied_revision = self->revision;
    request.engines_epoch = self->engines_epoch;
    request.engines_sequence = self->engines_sequence;
    request.wait_milliseconds = 150;
    request.incarnation = self->incarnation;
    request.http = self->place.inner;
    request.members_version = self->members_version;
    auto result = co_await self->endpoint.call(self->place.agent, std::move(request), 600 * millisecond);
    auto* reply = std::get_if<rpc::config_update_reply>(&result);
    if (reply)
      self->take_news(*reply, asked);
    else
      co_await self->runtime.sleep(100 * millisecond);
    self->logger.gauge("herontally_news_age_milliseconds",
                       static_cast<double>((self->runtime.now() - self->fresh_at) / millisecond));
    self->logger.gauge("herontally_fresh", self->fresh() ? 1 : 0);
  }
}

void node::state::refused(const std::string& reason) {
  logger.count("herontally_drops_total{reason=\"" + reason + "\"}");
}

int node::state::retry_after_seconds(std::int64_t least) const {
  // The more that wait, the wider apart: what a second can serve is about what waits for a second.
  auto crowd = static_cast<std::uint64_t>(waiting * 4 / std::max<std::int64_t>(1, place.queue));
  auto spread = static_cast<std::uint64_t>(least) + 1 + crowd;
  return static_cast<int>(
      std::min<std::int64_t>(30, least + static_cast<std::int64_t>(runtime.draw(spread))));
}

gateway::planning_context node::state::context(std::vector<interning::symbol> avoid, int attempt) const {
  return {*desired, proxies, rank, proxies_before, rank_before, runtime.now(), std::move(avoid), attempt};
}

std::optional<seat> node::state::take_seat(const std::string& peer, const gateway::writer& out) {
  std::string host = peer.substr(0, peer.rfind(':'));
  if (requests >= place.requests || by_peer[host] >= desired->limit.requests_per_client) {
    bool own = requests < place.requests;
    refused(own ? "client limit" : "request limit");
    gateway::reject(out, 429, own ? "too many requests of this client" : "too many requests",
                    gateway::executed::no, retry_after_seconds(1));
    return std::nullopt;
  }
  ++requests;
  ++by_peer[host];
  return seat([weak = weak_from_this(), host] {
    auto here = weak.lock();
    if (!here) return;
    --here->requests;
    if (--here->by_peer[host] == 0) here->by_peer.erase(host);
  });
}

task<> node::state::serve_request(runtime::inbound_request request, gateway::writer out) {
  auto self = shared_from_this();
  self->logger.gauge("herontally_requests", static_cast<double>(self->requests));
  self->logger.gauge("herontally_queue", static_cast<double>(self->waiting));
  // A door whose zone is evacuated serves who still comes, and asks the platform to send others elsewhere.
  bool evacuated = self->desired && self->desired->evacuated_zones.count(self->place.zone) > 0;
  if (gateway::common_pages(request, out, self->logger, self->fresh() && !self->leaving && !evacuated,
                            {{"revision", self->revision}}))
    co_return;
  auto parts = gateway::split_path(request.path);
  bool known = parts.size() >= 5 && parts[0] == "v1" && parts[1] == "partners";
  bool turns =
      known && parts.size() == 6 && parts[3] == "programs" && parts[5] == "turns" && request.method == "POST";
  bool calls = known && parts.size() == 5 && parts[3] == "calls" && request.method == "POST";
  bool looks = known && parts.size() == 5 && parts[3] == "programs" && request.method == "GET";
  if (!turns && !calls && !looks) {
    gateway::reject(out, 404, "no such page", gateway::executed::no);
    co_return;
  }
  // A change may have passed us by: better no request than one under a state that is no longer in force.
  if (!self->fresh() || self->leaving) {
    self->refused(self->leaving ? "leaving" : "outdated");
    gateway::reject(out, 503,
                    self->leaving ? "this door is closing" : "the desired state may be outdated here",
                    gateway::executed::no, self->retry_after_seconds(1));
    co_return;
  }
  if (!self->desired->partners.count(parts[2])) {
    gateway::reject(out, 404, "no such partner", gateway::executed::no);
    co_return;
  }
  auto seat = self->take_seat(request.peer, out);
  if (!seat) co_return;
  if (turns) co_await self->turn(std::move(request), out, parts[2], parts[4]);
  if (calls) co_await self->call(std::move(request), out, parts[2], parts[4]);
  if (looks) co_await self->look(out, parts[2], parts[4]);
}

}  // namespace herontally::hproxy
