#include "control_node/node.h"

#include "control_node/calendar_scheduler.h"
#include "control_node/edge_set_manager.h"
#include "control_node/engine_list_poller.h"
#include "control_node/group_founder.h"
#include "control_node/operator_api.h"
#include "control_node/platform_operator_api.h"

namespace herontally::control_node {

static replication::voter_options voter_options_of(const settings::settings& place) {
  replication::voter_options options;
  options.group = core_group;
  options.bucket_count = 1;
  options.limit_bytes = place.disk_megabytes << 20;
  return options;
}

// The node's parts, wired together; each header tells what a part is for and which state it owns.
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

  explicit state(std::shared_ptr<context> made)
      : shared(made),
        voter(made->endpoint, voter_options_of(made->place)),
        reader(std::make_shared<config_reader>(made, voter)),
        changes(std::make_shared<config_changes>(made)),
        edges(std::make_shared<edge_set_manager>(made, changes, reader)),
        publisher(std::make_shared<engine_list_publisher>(made)),
        poller(std::make_shared<engine_list_poller>(made, publisher)),
        calendars(std::make_shared<calendar_scheduler>(made, changes)),
        directory(std::make_shared<storage_directory>(made)),
        core_manager(std::make_shared<voter_group_manager>(made, made->catalog, core_group,
                                                           rpc::node_role::core, nullptr)),
        store_manager(std::make_shared<voter_group_manager>(made, made->stores, store_group,
                                                            rpc::node_role::store, directory)),
        founder(std::make_shared<group_founder>(made, voter)),
        stalls(std::make_shared<stall_detector>(made)),
        operators(std::make_shared<operator_api>(made, changes, reader)),
        platform_operators(std::make_shared<platform_operator_api>(made, changes, directory, stalls)) {}

  void set_seeds();
  void serve_requests();
  void start_tasks();
  bool serve_http();
  bool serve_control();
};

node::node(runtime::handle runtime, settings::settings place, logging::logger logger,
           std::shared_ptr<const platform_protocol::adapter> platform_adapter)
    : state_(std::make_shared<state>(std::make_shared<context>(
          std::move(runtime), std::move(place), std::move(logger), std::move(platform_adapter)))) {}
node::~node() = default;

static std::vector<std::string> addresses_of(const context& shared, rpc::node_role role) {
  std::vector<std::string> addresses;
  for (auto& member : shared.members.live(role)) addresses.push_back(member.inner);
  return addresses.empty() ? shared.place.seeds : addresses;
}

void node::state::set_seeds() {
  std::weak_ptr<context> weak = shared;
  auto live_nodes = [weak](rpc::node_role role) {
    return [weak, role] {
      auto here = weak.lock();
      return here ? addresses_of(*here, role) : std::vector<std::string>();
    };
  };
  shared->catalog.set_seeds(live_nodes(rpc::node_role::core));
  shared->stores.set_seeds(live_nodes(rpc::node_role::store));
  voter.on_view([weak](const consensus::view& installed) {
    if (auto here = weak.lock()) here->catalog.learn(installed);
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
        co_return publisher->take(request);
      });
  shared->trace.serve(endpoint, rpc::node_role::core);
}

void node::state::start_tasks() {
  auto& runtime = shared->runtime;
  shared->engine_list_role.start();
  shared->voter_groups_role.start();
  shared->calendar_role.start();
  runtime.spawn(reader->run());
  // With an adapter an acknowledgement doesn't wait for the edges, so that nobody asks which there are.
  if (shared->platform_adapter) {
    runtime.spawn(poller->run());
    runtime.spawn(founder->found_core_group());
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
    auto here = weak.lock();
    if (here) runtime.spawn(http_api::serve_guarded(here->serve(std::move(request), out), out, logger));
  };
  return shared->runtime.http_serve(shared->place.http, serve);
}

bool node::state::serve_control() {
  if (!shared->platform_adapter || shared->place.control.empty()) return true;
  auto serve = [runtime = shared->runtime, logger = shared->logger,
                weak = std::weak_ptr<platform_operator_api>(platform_operators)](
                   runtime::inbound_request request, http_api::writer out) {
    auto here = weak.lock();
    if (here) runtime.spawn(http_api::serve_guarded(here->serve(std::move(request), out), out, logger));
  };
  return shared->runtime.http_serve(shared->place.control, serve);
}

task<std::optional<std::string>> node::start() {
  auto self = state_;
  auto& place = self->shared->place;
  self->set_seeds();
  auto fault = co_await self->voter.open();
  if (fault == replication::open_error::failed) co_return "data can't be read or written: " + place.data;
  auto& installed = self->voter.current_view();
  if (installed.number > 0) self->shared->catalog.learn(installed);
  self->serve_requests();
  self->shared->members.start();
  // Only now can every message be answered.
  if (!self->shared->endpoint.listen(place.inner)) co_return "inner can't be listened on: " + place.inner;
  self->start_tasks();
  if (!self->serve_http()) co_return "http can't be listened on: " + place.http;
  if (!self->serve_control()) co_return "control can't be listened on: " + place.control;
  self->shared->logger.info("started", {{"voter", self->voter.id()}});
  co_return std::nullopt;
}

const replication::voter& node::voter() const { return state_->voter; }

std::vector<singleton::role_status> node::roles() const {
  auto& shared = *state_->shared;
  return {shared.engine_list_role.status(), shared.voter_groups_role.status(), shared.calendar_role.status()};
}

task<> node::leave() {
  // Operators' calls that were read get their answer.
  constexpr microseconds drain_time = second;
  constexpr std::int64_t reserve_milliseconds = 200;
  auto shared = state_->shared;
  shared->leaving = true;
  auto until = shared->runtime.now() + drain_time;
  auto latest =
      shared->runtime.now() + (shared->place.notice_milliseconds - reserve_milliseconds) * millisecond;
  co_await shared->members.leave();
  std::vector<std::string> addresses{shared->place.http};
  if (!shared->place.control.empty()) addresses.push_back(shared->place.control);
  co_await runtime::drain_connections(shared->runtime, addresses, until, latest);
}

}  // namespace herontally::control_node
