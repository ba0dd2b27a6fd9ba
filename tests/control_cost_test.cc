// What the control side tells again and again: membership rows and engine lists go out when they change, and
// otherwise only that they still hold.
#include <catch2/catch.hpp>

#include "agent/node.h"
#include "control_node/node.h"
#include "membership/member_list.h"
#include "simulator/world.h"

using namespace herontally;
using runtime::millisecond;
using runtime::second;

namespace {

struct table_fleet {
  simulator::world world{5};
  std::vector<std::string> seeds;
  std::map<std::string, std::shared_ptr<membership::member_list>> nodes;
  std::map<std::string, logging::logger> lines;

  void boot(int number, int speaks) {
    std::string name = "n" + std::to_string(number), address = "10.0.0." + std::to_string(number) + ":7000";
    world.machine(name, "z");
    world.boot(name);
    auto logger = lines.emplace(name, logging::logger(name, [](auto&, auto&) {})).first->second;
    rpc::endpoint endpoint(world.runtime_of(name), name, logger);
    if (speaks > 0) endpoint.set_version(speaks);
    endpoint.listen(address);
    rpc::member self;
    self.name = name;
    self.role = rpc::node_role::agent;
    self.inner = address;
    nodes[name] = std::make_shared<membership::member_list>(endpoint, self, seeds);
    nodes[name]->start();
  }
  table_fleet(int count, std::function<int(int)> speaks) {
    for (int number = 1; number <= 3; ++number) seeds.push_back("10.0.0." + std::to_string(number) + ":7000");
    for (int number = 1; number <= count; ++number) boot(number, speaks(number));
  }
  bool agree(std::size_t count) {
    for (auto& [name, known] : nodes)
      if (world.find(name).up && known->live(rpc::node_role::agent).size() != count) return false;
    return true;
  }
  double total(const std::string& counter) {
    double sum = 0;
    for (auto& [name, logger] : lines) sum += logger.value(counter);
    return sum;
  }
  double bytes() {
    return total("herontally_inner_asked_bytes_total") + total("herontally_inner_answer_bytes_total");
  }
};

template <class Request>
std::optional<typename Request::reply> ask(simulator::world& world, rpc::endpoint endpoint,
                                           std::string address, Request request) {
  std::optional<typename Request::reply> result;
  bool done = false;
  auto work = [](rpc::endpoint from, std::string to, Request words,
                 std::optional<typename Request::reply>* out, bool* ended) -> runtime::task<> {
    auto answer = co_await from.call(std::move(to), std::move(words), second);
    if (auto* reply = std::get_if<typename Request::reply>(&answer)) *out = *reply;
    *ended = true;
  };
  world.runtime_of("asker").spawn(work(endpoint, std::move(address), std::move(request), &result, &done));
  REQUIRE(world.run_until([&] { return done; }, 3 * second));
  return result;
}

struct one_node {
  simulator::world world{3};
  settings::settings place;
  rpc::endpoint endpoint;
  one_node() : endpoint(boot_asker(world), "asker", logging::logger("asker", [](auto&, auto&) {})) {
    world.machine("node", "z");
    world.boot("node");
    place.name = "node";
    place.zone = "z";
    place.inner = "10.0.0.1:7000";
    place.http = "10.0.0.1:7001";
    place.seeds = {"10.0.0.1:7000", "10.0.0.8:7000", "10.0.0.9:7000"};
    place.platform = "10.0.0.7:7000";
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

TEST_CASE("nodes with equal tables tell each other sums, not rows") {
  table_fleet site(40, [](int) { return 0; });
  REQUIRE(site.world.run_until([&] { return site.agree(40); }, 3 * second));
  // Rumours of the start are told a number of times, and newcomers ask for everything more often.
  site.world.run_for(15 * second);
  double messages = site.total("herontally_inner_asked_total{kind=\"probe\"}"), bytes = site.bytes();
  site.world.run_for(10 * second);
  messages = site.total("herontally_inner_asked_total{kind=\"probe\"}") - messages;
  bytes = site.bytes() - bytes;
  REQUIRE(messages > 40 * 10 * 4);
  // A question and its answer without rows; 40 rows take 1,600 bytes and more.
  REQUIRE(bytes / messages < 120);
}

// FAULT of issue 37: days of the large sites were given up for their processor time.
TEST_CASE("FAULT: what a node pays for the membership at rest doesn't grow with the fleet") {
  constexpr double most_growth = 1.5;
  auto examined_a_second = [](int nodes) {
    constexpr double seconds = 10;
    const std::string counter = "herontally_member_entries_examined_total";
    table_fleet site(nodes, [](int) { return 0; });
    REQUIRE(site.world.run_until([&] { return site.agree(static_cast<std::size_t>(nodes)); }, 5 * second));
    site.world.run_for(20 * second);
    double before = site.total(counter);
    site.world.run_for(10 * second);
    return (site.total(counter) - before) / seconds / nodes;
  };
  double few = examined_a_second(30), many = examined_a_second(240);
  INFO("entries examined a second by one node: " << few << " of 30, " << many << " of 240");
  REQUIRE(many > 0);
  REQUIRE(many <= few * most_growth);
}

TEST_CASE("FAULT: soon after a start of all at once a node sends no more than at the target size") {
  constexpr int nodes = 240;
  constexpr double most_bytes_a_second = 7000, seconds = 10;
  table_fleet site(nodes, [](int) { return 0; });
  REQUIRE(site.world.run_until([&] { return site.agree(nodes); }, 5 * second));
  site.world.run_for(5 * second);
  double before = site.bytes();
  site.world.run_for(10 * second);
  double bytes = (site.bytes() - before) / seconds / nodes;
  INFO("bytes a second sent by one node: " << bytes);
  REQUIRE(bytes <= most_bytes_a_second);
}

TEST_CASE("nodes of this version and the one before find and lose each other") {
  table_fleet site(20, [](int number) { return number % 2 ? rpc::protocol_version - 1 : 0; });
  REQUIRE(site.world.run_until([&] { return site.agree(20); }, 3 * second));
  site.world.kill("n7", simulator::disk_loss::none, true);
  REQUIRE(site.world.run_until([&] { return site.agree(19); }, 8 * second));
}

TEST_CASE("an agent tells its proxy the membership rows only when they have changed") {
  one_node own;
  agent::node agent(own.world.runtime_of("node"), own.place, own.logger());
  own.start(agent);
  rpc::config_update_request request;
  request.node = "proxy";
  request.http = "10.0.0.2:7000";
  request.incarnation = 1;
  auto first = ask(own.world, own.endpoint, own.place.inner, request);
  REQUIRE(first);
  REQUIRE(first->members_version > 0);
  REQUIRE_FALSE(membership::members_from_text(first->members).empty());
  // The first question made the agent keep a row for the proxy; then nothing changes.
  own.world.run_for(second);
  request.members_version = ask(own.world, own.endpoint, own.place.inner, request)->members_version;
  auto again = ask(own.world, own.endpoint, own.place.inner, request);
  REQUIRE(again->members.empty());
  REQUIRE(again->members_version == request.members_version);
  rpc::member store;
  store.name = "store-9";
  store.role = rpc::node_role::store;
  store.inner = "10.0.0.9:7000";
  store.incarnation = 1;
  store.status = rpc::member_status::alive;
  ask(own.world, own.endpoint, own.place.inner, rpc::probe_request{"", false, {store}, 0});
  auto changed = ask(own.world, own.endpoint, own.place.inner, request);
  REQUIRE(changed->members_version > request.members_version);
  REQUIRE(changed->members.find("store-9") != std::string::npos);
  // A proxy that says no version, as one of the version before, is told all of them.
  request.members_version = 0;
  REQUIRE_FALSE(ask(own.world, own.endpoint, own.place.inner, request)->members.empty());
}

// FAULT of issue 37: at any change of any member each proxy was handed all rows anew, and parsed them.
TEST_CASE("FAULT: a proxy is told the membership rows that changed, and all of them only at first") {
  one_node own;
  agent::node agent(own.world.runtime_of("node"), own.place, own.logger());
  own.start(agent);
  auto store = [](int number) {
    rpc::member made;
    made.name = "store-" + std::to_string(number);
    made.role = rpc::node_role::store;
    made.inner = "10.0.1." + std::to_string(number) + ":7000";
    made.incarnation = 1;
    return made;
  };
  auto learn = [&own](const rpc::member& changed) {
    ask(own.world, own.endpoint, own.place.inner, rpc::probe_request{"", false, {changed}, 0});
  };
  for (int number = 1; number <= 60; ++number) learn(store(number));
  rpc::config_update_request request;
  request.node = "proxy";
  request.http = "10.0.0.2:7000";
  request.incarnation = 1;
  request.takes_member_changes = true;
  ask(own.world, own.endpoint, own.place.inner, request);
  own.world.run_for(second);
  auto first = ask(own.world, own.endpoint, own.place.inner, request);
  REQUIRE(first->members_since == 0);
  REQUIRE(membership::members_from_text(first->members).size() >= 60);
  request.members_version = first->members_version;
  auto lost = store(7);
  lost.status = rpc::member_status::dead;
  learn(lost);
  auto changed = ask(own.world, own.endpoint, own.place.inner, request);
  REQUIRE(changed->members_since == request.members_version);
  REQUIRE(changed->members_version > request.members_version);
  auto rows = membership::members_from_text(changed->members);
  REQUIRE(rows.size() == 1);
  REQUIRE(rows.front().name == "store-7");
  REQUIRE_FALSE(rows.front().is_live());
  // Who can't merge them, or has a version of another life of the agent, is told all.
  for (auto version : {std::int64_t(1), changed->members_version + 1000}) {
    request.members_version = version;
    auto all = ask(own.world, own.endpoint, own.place.inner, request);
    REQUIRE(all->members_since == 0);
    REQUIRE(membership::members_from_text(all->members).size() >= 60);
  }
  request.members_version = first->members_version;
  request.takes_member_changes = false;
  REQUIRE(ask(own.world, own.endpoint, own.place.inner, request)->members_since == 0);
}

TEST_CASE("an engine list is confirmed without its text, by a core that has it") {
  one_node own;
  control_node::node core(own.world.runtime_of("node"), own.place, own.logger());
  own.start(core);
  std::string address = own.place.inner;
  REQUIRE(ask(own.world, own.endpoint, address, rpc::engine_list_request{1, 1, ""})->status ==
          rpc::reply_status::content_missing);
  REQUIRE(ask(own.world, own.endpoint, address, rpc::engine_list_request{1, 1, "[1]"})->status ==
          rpc::reply_status::ok);
  rpc::config_update_request request;
  request.node = "agent";
  auto first = ask(own.world, own.endpoint, address, request);
  REQUIRE(first->engines == "[1]");
  own.world.run_for(5 * second);
  REQUIRE(ask(own.world, own.endpoint, address, rpc::engine_list_request{1, 1, ""})->status ==
          rpc::reply_status::ok);
  request.engines_epoch = 1;
  request.engines_sequence = 1;
  auto confirmed = ask(own.world, own.endpoint, address, request);
  REQUIRE(confirmed->engines.empty());
  REQUIRE(confirmed->engines_age_milliseconds < 1000);
  // What it doesn't have it can't confirm, and the list at hand grows older.
  own.world.run_for(5 * second);
  REQUIRE(ask(own.world, own.endpoint, address, rpc::engine_list_request{1, 2, ""})->status ==
          rpc::reply_status::content_missing);
  REQUIRE(ask(own.world, own.endpoint, address, request)->engines_age_milliseconds > 5000);
  REQUIRE(ask(own.world, own.endpoint, address, rpc::engine_list_request{2, 1, "[2]"})->status ==
          rpc::reply_status::ok);
  REQUIRE(ask(own.world, own.endpoint, address, request)->engines == "[2]");
  REQUIRE(ask(own.world, own.endpoint, address, rpc::engine_list_request{1, 1, ""})->status ==
          rpc::reply_status::ballot_outdated);
}
