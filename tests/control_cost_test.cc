// The cost of periodic messages: membership rows and engine lists are sent when they change; otherwise nodes
// only confirm that what the other one has is still current.
#include <catch2/catch.hpp>

#include "agent/node.h"
#include "control_node/node.h"
#include "membership/member_list.h"
#include "simulator/world.h"

using namespace herontally;
using runtime::millisecond;
using runtime::second;

namespace {

// Nodes n1, n2, ... that run a member list and nothing else; the first three are the seeds.
struct member_list_fleet {
  simulator::world world{5};
  std::vector<std::string> seeds;
  std::map<std::string, std::shared_ptr<membership::member_list>> nodes;
  std::map<std::string, logging::logger> loggers;

  // `version`: of the protocol; 0: the newest.
  void boot(int number, int version) {
    std::string name = "n" + std::to_string(number), address = "10.0.0." + std::to_string(number) + ":7000";
    world.machine(name, "z");
    world.boot(name);
    auto logger = loggers.emplace(name, logging::logger(name, [](auto&, auto&) {})).first->second;
    rpc::endpoint endpoint(world.runtime_of(name), name, logger);
    if (version > 0) endpoint.set_version(version);
    endpoint.listen(address);
    rpc::member self;
    self.name = name;
    self.role = rpc::node_role::agent;
    self.inner = address;
    nodes[name] = std::make_shared<membership::member_list>(endpoint, self, seeds);
    nodes[name]->start();
  }
  member_list_fleet(int count, std::function<int(int)> version_of) {
    for (int number = 1; number <= 3; ++number) seeds.push_back("10.0.0." + std::to_string(number) + ":7000");
    for (int number = 1; number <= count; ++number) boot(number, version_of(number));
  }
  // Whether every running node lists `count` live nodes.
  bool all_know(std::size_t count) {
    for (auto& [name, known] : nodes)
      if (world.find(name).up && known->live(rpc::node_role::agent).size() != count) return false;
    return true;
  }
  // The counter's sum over all nodes.
  double total(const std::string& counter) {
    double sum = 0;
    for (auto& [name, logger] : loggers) sum += logger.value(counter);
    return sum;
  }
  // Bytes sent between nodes so far, requests and replies.
  double bytes() {
    return total("herontally_inner_asked_bytes_total") + total("herontally_inner_answer_bytes_total");
  }
};

// Sends a request from the machine "asker" and waits for its reply; nothing if the call failed.
template <class Request>
std::optional<typename Request::reply> ask(simulator::world& world, rpc::endpoint endpoint,
                                           std::string address, Request request) {
  std::optional<typename Request::reply> result;
  bool done = false;
  auto work = [](rpc::endpoint from, std::string to, Request message,
                 std::optional<typename Request::reply>* out, bool* ended) -> runtime::task<> {
    auto answer = co_await from.call(std::move(to), std::move(message), second);
    if (auto* reply = std::get_if<typename Request::reply>(&answer)) *out = *reply;
    *ended = true;
  };
  world.runtime_of("asker").spawn(work(endpoint, std::move(address), std::move(request), &result, &done));
  REQUIRE(world.run_until([&] { return done; }, 3 * second));
  return result;
}

// One node under test, on the machine "node", and an endpoint on the machine "asker" that sends it requests.
struct single_node_site {
  simulator::world world{3};
  settings::settings node_settings;
  rpc::endpoint endpoint;
  single_node_site() : endpoint(boot_asker(world), "asker", logging::logger("asker", [](auto&, auto&) {})) {
    world.machine("node", "z");
    world.boot("node");
    node_settings.name = "node";
    node_settings.zone = "z";
    node_settings.inner = "10.0.0.1:7000";
    node_settings.http = "10.0.0.1:7001";
    node_settings.seeds = {"10.0.0.1:7000", "10.0.0.8:7000", "10.0.0.9:7000"};
    node_settings.platform = "10.0.0.7:7000";
  }
  static runtime::handle boot_asker(simulator::world& world) {
    world.machine("asker", "z");
    world.boot("asker");
    return world.runtime_of("asker");
  }
  template <class Node>
  void start(Node& node) {
    auto work = [](Node* started) -> runtime::task<> { (void)co_await started->start(); };
    world.runtime_of("node").spawn(work(&node));
    world.run_for(100 * millisecond);
  }
  logging::logger logger() {
    return logging::logger("node", [](auto&, auto&) {});
  }
};

}  // namespace

TEST_CASE("nodes with equal member lists exchange checksums and no rows") {
  member_list_fleet fleet(40, [](int) { return 0; });
  REQUIRE(fleet.world.run_until([&] { return fleet.all_know(40); }, 3 * second));
  // Wait until the start's updates, which are sent a number of times, and the more frequent full requests of
  // new nodes are over.
  fleet.world.run_for(15 * second);
  double messages = fleet.total("herontally_inner_asked_total{kind=\"probe\"}"), bytes = fleet.bytes();
  fleet.world.run_for(10 * second);
  messages = fleet.total("herontally_inner_asked_total{kind=\"probe\"}") - messages;
  bytes = fleet.bytes() - bytes;
  REQUIRE(messages > 40 * 10 * 4);
  // A probe and its reply without rows; 40 rows would take 1,600 bytes and more.
  REQUIRE(bytes / messages < 120);
}

// Guards against issue 37: simulated days of the large deployments were given up because they took too much
// processor time.
TEST_CASE("FAULT: what a node pays for the membership at rest doesn't grow with the fleet") {
  constexpr double most_growth = 1.5;
  auto examined_a_second = [](int nodes) {
    constexpr double seconds = 10;
    const std::string counter = "herontally_member_entries_examined_total";
    member_list_fleet fleet(nodes, [](int) { return 0; });
    REQUIRE(
        fleet.world.run_until([&] { return fleet.all_know(static_cast<std::size_t>(nodes)); }, 5 * second));
    fleet.world.run_for(20 * second);
    double before = fleet.total(counter);
    fleet.world.run_for(10 * second);
    return (fleet.total(counter) - before) / seconds / nodes;
  };
  double few = examined_a_second(30), many = examined_a_second(240);
  INFO("entries examined a second by one node: " << few << " of 30, " << many << " of 240");
  REQUIRE(many > 0);
  REQUIRE(many <= few * most_growth);
}

TEST_CASE("FAULT: soon after a start of all at once a node sends no more than at the target size") {
  constexpr int nodes = 240;
  constexpr double most_bytes_a_second = 7000, seconds = 10;
  member_list_fleet fleet(nodes, [](int) { return 0; });
  REQUIRE(fleet.world.run_until([&] { return fleet.all_know(nodes); }, 5 * second));
  fleet.world.run_for(5 * second);
  double before = fleet.bytes();
  fleet.world.run_for(10 * second);
  double bytes = (fleet.bytes() - before) / seconds / nodes;
  INFO("bytes a second sent by one node: " << bytes);
  REQUIRE(bytes <= most_bytes_a_second);
}

TEST_CASE("nodes of this protocol version and the previous one find each other and notice a loss") {
  member_list_fleet fleet(20, [](int number) { return number % 2 ? rpc::protocol_version - 1 : 0; });
  REQUIRE(fleet.world.run_until([&] { return fleet.all_know(20); }, 3 * second));
  fleet.world.kill("n7", simulator::disk_loss::none, true);
  REQUIRE(fleet.world.run_until([&] { return fleet.all_know(19); }, 8 * second));
}

TEST_CASE("an agent sends its proxy the membership rows only when they have changed") {
  single_node_site site;
  agent::node agent(site.world.runtime_of("node"), site.node_settings, site.logger());
  site.start(agent);
  rpc::config_update_request request;
  request.node = "proxy";
  request.http = "10.0.0.2:7000";
  request.incarnation = 1;
  auto first = ask(site.world, site.endpoint, site.node_settings.inner, request);
  REQUIRE(first);
  REQUIRE(first->members_version > 0);
  REQUIRE_FALSE(membership::members_from_text(first->members).empty());
  // The first request made the agent add a row for the proxy; after that nothing changes.
  site.world.run_for(second);
  request.members_version =
      ask(site.world, site.endpoint, site.node_settings.inner, request)->members_version;
  auto again = ask(site.world, site.endpoint, site.node_settings.inner, request);
  REQUIRE(again->members.empty());
  REQUIRE(again->members_version == request.members_version);
  rpc::member store;
  store.name = "store-9";
  store.role = rpc::node_role::store;
  store.inner = "10.0.0.9:7000";
  store.incarnation = 1;
  store.status = rpc::member_status::alive;
  ask(site.world, site.endpoint, site.node_settings.inner, rpc::probe_request{"", false, {store}, 0});
  auto changed = ask(site.world, site.endpoint, site.node_settings.inner, request);
  REQUIRE(changed->members_version > request.members_version);
  REQUIRE(changed->members.find("store-9") != std::string::npos);
  // A proxy that sends no version of the list, such as one of the previous release, is sent all rows.
  request.members_version = 0;
  REQUIRE_FALSE(ask(site.world, site.endpoint, site.node_settings.inner, request)->members.empty());
}

// Guards against issue 37: at any change of any member each proxy was sent all rows again, and parsed them.
TEST_CASE("FAULT: a proxy is sent the membership rows that changed, and all rows only at first") {
  single_node_site site;
  agent::node agent(site.world.runtime_of("node"), site.node_settings, site.logger());
  site.start(agent);
  auto store = [](int number) {
    rpc::member made;
    made.name = "store-" + std::to_string(number);
    made.role = rpc::node_role::store;
    made.inner = "10.0.1." + std::to_string(number) + ":7000";
    made.incarnation = 1;
    return made;
  };
  auto learn = [&site](const rpc::member& changed) {
    ask(site.world, site.endpoint, site.node_settings.inner, rpc::probe_request{"", false, {changed}, 0});
  };
  for (int number = 1; number <= 60; ++number) learn(store(number));
  rpc::config_update_request request;
  request.node = "proxy";
  request.http = "10.0.0.2:7000";
  request.incarnation = 1;
  request.takes_member_changes = true;
  ask(site.world, site.endpoint, site.node_settings.inner, request);
  site.world.run_for(second);
  auto first = ask(site.world, site.endpoint, site.node_settings.inner, request);
  REQUIRE(first->members_since == 0);
  REQUIRE(membership::members_from_text(first->members).size() >= 60);
  request.members_version = first->members_version;
  auto lost = store(7);
  lost.status = rpc::member_status::dead;
  learn(lost);
  auto changed = ask(site.world, site.endpoint, site.node_settings.inner, request);
  REQUIRE(changed->members_since == request.members_version);
  REQUIRE(changed->members_version > request.members_version);
  auto rows = membership::members_from_text(changed->members);
  REQUIRE(rows.size() == 1);
  REQUIRE(rows.front().name == "store-7");
  REQUIRE_FALSE(rows.front().is_live());
  // A proxy that can't merge changes, or has a version from before the agent's restart, is sent all rows.
  for (auto version : {std::int64_t(1), changed->members_version + 1000}) {
    request.members_version = version;
    auto all = ask(site.world, site.endpoint, site.node_settings.inner, request);
    REQUIRE(all->members_since == 0);
    REQUIRE(membership::members_from_text(all->members).size() >= 60);
  }
  request.members_version = first->members_version;
  request.takes_member_changes = false;
  REQUIRE(ask(site.world, site.endpoint, site.node_settings.inner, request)->members_since == 0);
}

TEST_CASE("an engine list is confirmed without its text at a core that already has it") {
  single_node_site site;
  control_node::node core(site.world.runtime_of("node"), site.node_settings, site.logger());
  site.start(core);
  std::string address = site.node_settings.inner;
  REQUIRE(ask(site.world, site.endpoint, address, rpc::engine_list_request{1, 1, ""})->status ==
          rpc::reply_status::content_missing);
  REQUIRE(ask(site.world, site.endpoint, address, rpc::engine_list_request{1, 1, "[1]"})->status ==
          rpc::reply_status::ok);
  rpc::config_update_request request;
  request.node = "agent";
  auto first = ask(site.world, site.endpoint, address, request);
  REQUIRE(first->engines == "[1]");
  site.world.run_for(5 * second);
  REQUIRE(ask(site.world, site.endpoint, address, rpc::engine_list_request{1, 1, ""})->status ==
          rpc::reply_status::ok);
  request.engines_epoch = 1;
  request.engines_sequence = 1;
  auto confirmed = ask(site.world, site.endpoint, address, request);
  REQUIRE(confirmed->engines.empty());
  REQUIRE(confirmed->engines_age_milliseconds < 1000);
  // A confirmation of a list that the core doesn't have is refused, and its own list's age goes on growing.
  site.world.run_for(5 * second);
  REQUIRE(ask(site.world, site.endpoint, address, rpc::engine_list_request{1, 2, ""})->status ==
          rpc::reply_status::content_missing);
  REQUIRE(ask(site.world, site.endpoint, address, request)->engines_age_milliseconds > 5000);
  REQUIRE(ask(site.world, site.endpoint, address, rpc::engine_list_request{2, 1, "[2]"})->status ==
          rpc::reply_status::ok);
  REQUIRE(ask(site.world, site.endpoint, address, request)->engines == "[2]");
  REQUIRE(ask(site.world, site.endpoint, address, rpc::engine_list_request{1, 1, ""})->status ==
          rpc::reply_status::ballot_outdated);
}
