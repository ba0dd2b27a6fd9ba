#include "control_node/node.h"

#include <algorithm>

#include "control_node/calendar_scheduler.h"
#include "control_node/edge_set_manager.h"
#include "control_node/engine_list_poller.h"
#include "control_node/group_founder.h"
#include "control_node/operator_api.h"
#include "control_node/platform_operator_api.h"
#include "http_api/document_limit.h"
#include "runtime/listening.h"

namespace herontally::control_node {

static replication::voter_options voter_options_of(const settings::settings& node_settings) {
  replication::voter_options options;
  options.group = core_group;
  options.bucket_count = 1;
  options.limit_bytes = node_settings.disk_megabytes << 20;
  return options;
}

// The node's parts. Each part's header says what it does and which state it owns.
struct node::state {
  std::shared_ptr<context> shared;
  replication::voter voter;
  std::shared_ptr<config_reader> reader;
  std::shared_ptr<config_changes> changes;
  std::shared_ptr<edge_set_manager> edges;
  std::shared_ptr<engine_list_publisher> publisher;
  std::shared_ptr<engine_list_poller> poller;
  std::shared_ptr<calendar_scheduler> calendars;
  std::shared_ptr<storage_directory> directory;
  std::shared_ptr<voter_group_manager> core_manager, store_manager;
  std::shared_ptr<group_founder> founder;
  std::shared_ptr<stall_detector> stalls;
  std::shared_ptr<operator_api> operators;
  std::shared_ptr<platform_operator_api> platform_operators;

  explicit state(std::shared_ptr<context> node_context)
      : shared(node_context),
        voter(node_context->endpoint, voter_options_of(node_context->node_settings)),
        reader(std::make_shared<config_reader>(node_context, voter)),
        changes(std::make_shared<config_changes>(node_context)),
        edges(std::make_shared<edge_set_manager>(node_context, changes, reader)),
        publisher(std::make_shared<engine_list_publisher>(node_context)),
        poller(std::make_shared<engine_list_poller>(node_context, publisher)),
        calendars(std::make_shared<calendar_scheduler>(node_context, changes)),
        directory(std::make_shared<storage_directory>(node_context)),
        core_manager(std::make_shared<voter_group_manager>(node_context, node_context->catalog, core_group,
                                                           rpc::node_role::core, nullptr)),
        store_manager(std::make_shared<voter_group_manager>(node_context, node_context->stores, store_group,
                                                            rpc::node_role::store, directory)),
        founder(std::make_shared<group_founder>(node_context, voter)),
        stalls(std::make_shared<stall_detector>(node_context)),
        operators(std::make_shared<operator_api>(node_context, changes, reader)),
        platform_operators(
            std::make_shared<platform_operator_api>(node_context, changes, directory, stalls)) {}

  void set_seeds();
  void serve_requests();
  void start_tasks();
  bool serve_http();
  bool serve_control();
};

node::node(runtime::handle runtime, settings::settings node_settings, logging::logger logger,
           std::shared_ptr<const platform_protocol::adapter> platform_adapter)
    : state_(std::make_shared<state>(std::make_shared<context>(
          std::move(runtime), std::move(node_settings), std::move(logger), std::move(platform_adapter)))) {}
node::~node() = default;

// Inner addresses of the role's live members, or the seeds while none is known.
static std::vector<std::string> addresses_of(const context& shared, rpc::node_role role) {
  std::vector<std::string> addresses;
  for (auto& member : shared.members.live(role)) addresses.push_back(member.inner);
  return addresses.empty() ? shared.node_settings.seeds : addresses;
}

void node::state::set_seeds() {
  std::weak_ptr<context> weak = shared;
  auto live_addresses = [weak](rpc::node_role role) {
    return [weak, role] {
      auto node_context = weak.lock();
      return node_context ? addresses_of(*node_context, role) : std::vector<std::string>();
    };
  };
  shared->catalog.set_seeds(live_addresses(rpc::node_role::core));
  shared->stores.set_seeds(live_addresses(rpc::node_role::store));
  voter.on_view([weak](const consensus::view& installed) {
    if (auto node_context = weak.lock()) node_context->catalog.learn_view(installed);
  });
}

void node::state::serve_requests() {
  auto& endpoint = shared->endpoint;
  endpoint.serve<rpc::config_update_request>(
      [shared = shared, changes = changes,
       reader = reader](rpc::config_update_request request) -> task<rpc::config_update_reply> {
        changes->note_applied(request.node, request.applied_revision);
        auto age = [reader] { return reader->age_milliseconds(); };
        co_return co_await shared->configs.wait_for_update(std::move(request), age);
      });
  endpoint.serve<rpc::config_applied_request>(
      [changes = changes](rpc::config_applied_request request) -> task<rpc::config_applied_reply> {
        changes->note_applied(request.node, request.revision);
        co_return rpc::config_applied_reply{rpc::reply_status::ok};
      });
  endpoint.serve<rpc::config_committed_request>(
      [shared = shared](rpc::config_committed_request request) -> task<rpc::config_committed_reply> {
        shared->learn_config(request.config, "core");
        co_return rpc::config_committed_reply{shared->configs.revision()};
      });
  endpoint.serve<rpc::engine_list_request>(
      [publisher = publisher](rpc::engine_list_request request) -> task<rpc::engine_list_reply> {
        co_return publisher->handle(request);
      });
  shared->trace.serve(endpoint, rpc::node_role::core);
}

void node::state::start_tasks() {
  auto& runtime = shared->runtime;
  shared->engine_list_role.start();
  shared->voter_groups_role.start();
  shared->calendar_role.start();
  runtime.spawn(reader->run());
  // With an adapter a change is acknowledged without waiting for the edges, so the set of edges isn't kept.
  if (shared->platform_adapter) {
    runtime.spawn(poller->run());
    runtime.spawn(founder->found_core_group());
    runtime.spawn(founder->report_missing_group());
  } else {
    runtime.spawn(edges->run());
    runtime.spawn(poller->run());
  }
  runtime.spawn(stalls->run());
  if (shared->platform_adapter) runtime.spawn(founder->finish_founding());
  runtime.spawn(core_manager->run());
  runtime.spawn(store_manager->run());
  runtime.spawn(calendars->run());
  runtime.spawn(voter.repair_forever());
}

bool node::state::serve_http() {
  auto serve = [runtime = shared->runtime, logger = shared->logger,
                weak = std::weak_ptr<operator_api>(operators)](runtime::inbound_request request,
                                                               http_api::writer out) {
    auto api = weak.lock();
    if (!api || !http_api::admit_document(request, out)) return;
    runtime.spawn(http_api::serve_guarded(api->serve(std::move(request), out), out, logger));
  };
  return shared->runtime.http_serve(shared->node_settings.http, serve);
}

bool node::state::serve_control() {
  if (!shared->platform_adapter || shared->node_settings.control.empty()) return true;
  auto serve = [runtime = shared->runtime, logger = shared->logger,
                weak = std::weak_ptr<platform_operator_api>(platform_operators)](
                   runtime::inbound_request request, http_api::writer out) {
    auto api = weak.lock();
    if (!api || !http_api::admit_document(request, out)) return;
    runtime.spawn(http_api::serve_guarded(api->serve(std::move(request), out), out, logger));
  };
  return shared->runtime.http_serve(shared->node_settings.control, serve);
}

// The settings give a claim to the seeds, at the first start of the whole system. Sorted, since all seeds
// must have the same claim whatever the order in their settings.
static replication::founding_claim claim_of(const settings::settings& node_settings) {
  auto seeds = node_settings.seeds;
  std::sort(seeds.begin(), seeds.end());
  bool is_seed = std::find(seeds.begin(), seeds.end(), node_settings.inner) != seeds.end();
  if (!node_settings.may_found_groups || !is_seed) return {};
  return {seeds};
}

task<std::optional<std::string>> node::start() {
  using runtime::listen_when_possible;
  auto self = state_;
  auto shared = self->shared;
  auto handle = shared->runtime;
  auto logger = shared->logger;
  auto& node_settings = shared->node_settings;
  self->set_seeds();
  self->voter.offer_claim(claim_of(node_settings));
  co_await self->voter.open_when_possible();
  auto& installed = self->voter.current_view();
  if (installed.number > 0) self->shared->catalog.learn_view(installed);
  self->serve_requests();
  runtime::listener inner{"inner", node_settings.inner,
                          [shared] { return shared->endpoint.listen(shared->node_settings.inner); }};
  co_await listen_when_possible(handle, logger, std::move(inner));
  self->shared->members.start();
  self->start_tasks();
  // Operators are served as soon as their addresses are free; the register doesn't wait for that.
  runtime::listener http{"http", node_settings.http, [self] { return self->serve_http(); }};
  handle.spawn(listen_when_possible(handle, logger, std::move(http)));
  runtime::listener control{"control", node_settings.control, [self] { return self->serve_control(); }};
  handle.spawn(listen_when_possible(handle, logger, std::move(control)));
  self->shared->logger.info("started", {{"voter", self->voter.id()}});
  co_return std::nullopt;
}

const replication::voter& node::voter() const { return state_->voter; }

std::vector<singleton::role_status> node::roles() const {
  auto& shared = *state_->shared;
  return {shared.engine_list_role.status(), shared.voter_groups_role.status(), shared.calendar_role.status()};
}

// A core that is asked to end during its first start stores its claim before it ends: its next start is no
// first start, and gives it none.
static task<> wait_until_claim_is_stored(std::shared_ptr<context> shared, replication::voter voter) {
  constexpr microseconds longest_wait = second, poll_period = 5 * millisecond;
  if (claim_of(shared->node_settings).seeds.empty()) co_return;
  auto until = shared->runtime.now() + longest_wait;
  while (!voter.is_open() && shared->runtime.now() < until) co_await shared->runtime.sleep(poll_period);
}

task<> node::leave() {
  // Clients have this long to close their connections. After it only operators' calls that were already read
  // are waited for: they still get their answer.
  constexpr microseconds drain_time = second;
  // Left of the notice for the process to end by itself.
  constexpr std::int64_t reserve_milliseconds = 200;
  auto shared = state_->shared;
  auto voter = state_->voter;
  shared->leaving = true;
  co_await wait_until_claim_is_stored(shared, voter);
  auto drain_until = shared->runtime.now() + drain_time;
  auto drain_deadline = shared->runtime.now() +
                        (shared->node_settings.notice_milliseconds - reserve_milliseconds) * millisecond;
  co_await shared->members.leave();
  std::vector<std::string> addresses{shared->node_settings.http};
  if (!shared->node_settings.control.empty()) addresses.push_back(shared->node_settings.control);
  co_await runtime::drain_connections(shared->runtime, addresses, drain_until, drain_deadline);
}

}  // namespace herontally::control_node
