// What the control side tells again and again: membership rows and engine lists go out when they change, and
// otherwise only that they still hold.
#include <catch2/catch.hpp>

#include "hagent/node.h"
#include "hcore/node.h"
#include "hsim/world.h"
#include "members/members.h"

using namespace herontally;
using runtime::millisecond;
using runtime::second;

namespace {

struct table_fleet {
  hsim::world world{5};
  std::vector<std::string> seeds;
  std::map<std::string, std::shared_ptr<members::members>> nodes;
  std::map<std::string, logging::journal> lines;

  void boot(int number, int speaks) {
    std::string name = "n" + std::to_string(number), address = "10.0.0." + std::to_string(number) + ":7000";
    world.machine(name, "z");
    world.boot(name);
    auto journal = lines.emplace(name, logging::journal(name, [](auto&, auto&) {})).first->second;
    wire::port port(world.runtime_of(name), name, journal);
    if (speaks > 0) port.speak(speaks);
    port.listen(address);
    wire::member self;
    self.name = name;
    self.role = "node";
    self.inner = address;
    nodes[name] = std::make_shared<members::members>(port, self, seeds);
    nodes[name]->start();
  }
  table_fleet(int count, std::function<int(int)> speaks) {
    for (int number = 1; number <= 3; ++number) seeds.push_back("10.0.0." + std::to_string(number) + ":7000");
    for (int number = 1; number <= count; ++number) boot(number, speaks(number));
  }
  bool agree(std::size_t count) {
    for (auto& [name, known] : nodes)
      if (world.find(name).up && known->live("node").size() != count) return false;
    return true;
  }
  double total(const std::string& counter) {
    double sum = 0;
    for (auto& [name, journal] : lines) sum += journal.value(counter);
    return sum;
  }
  double bytes() {
    return total("herontally_inner_asked_bytes_total") + total("herontally_inner_answer_bytes_total");
  }
};

template <class Ask>
std::optional<typename Ask::receipt> ask(hsim::world& world, wire::port port, std::string address,
                                         Ask question) {
  std::optional<typename Ask::receipt> result;
  bool done = false;
  auto work = [](wire::port from, std::string to, Ask words, std::optional<typename Ask::receipt>* out,
                 bool* ended) -> runtime::task<> {
    auto answer = co_await from.ask(std::move(to), std::move(words), second);
    if (auto* receipt = std::get_if<typename Ask::receipt>(&answer)) *out = *receipt;
    *ended = true;
  };
  world.runtime_of("asker").spawn(work(port, std::move(address), std::move(question), &result, &done));
  REQUIRE(world.run_until([&] { return done; }, 3 * second));
  return result;
}

struct one_node {
  hsim::world world{3};
  settings::settings place;
  wire::port port;
  one_node() : port(boot_asker(world), "asker", logging::journal("asker", [](auto&, auto&) {})) {
    world.machine("node", "z");
    world.boot("node");
    place.name = "node";
    place.zone = "z";
    place.inner = "10.0.0.1:7000";
    place.http = "10.0.0.1:7001";
    place.seeds = {"10.0.0.1:7000", "10.0.0.8:7000", "10.0.0.9:7000"};
    place.platform = "10.0.0.7:7000";
  }
  static runtime::handle boot_asker(hsim::world& world) {
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
  logging::journal journal() {
    return logging::journal("node", [](auto&, auto&) {});
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

TEST_CASE("nodes of this version and the one before find and lose each other") {
  table_fleet site(20, [](int number) { return number % 2 ? wire::protocol_version - 1 : 0; });
  REQUIRE(site.world.run_until([&] { return site.agree(20); }, 3 * second));
  site.world.kill("n7", hsim::disk_loss::none, true);
  REQUIRE(site.world.run_until([&] { return site.agree(19); }, 8 * second));
}

TEST_CASE("an agent tells its proxy the membership rows only when they have changed") {
  one_node own;
  hagent::node agent(own.world.runtime_of("node"), own.place, own.journal());
  own.start(agent);
  wire::news_ask question;
  question.node = "proxy";
  question.http = "10.0.0.2:7000";
  question.incarnation = 1;
  auto first = ask(own.world, own.port, own.place.inner, question);
  REQUIRE(first);
  REQUIRE(first->members_version > 0);
  REQUIRE_FALSE(members::from_text(first->members).empty());
  // The first question made the agent keep a row for the proxy; then nothing changes.
  own.world.run_for(second);
  question.members_version = ask(own.world, own.port, own.place.inner, question)->members_version;
  auto again = ask(own.world, own.port, own.place.inner, question);
  REQUIRE(again->members.empty());
  REQUIRE(again->members_version == question.members_version);
  wire::member store;
  store.name = "store-9";
  store.role = "hstore";
  store.inner = "10.0.0.9:7000";
  store.incarnation = 1;
  store.status = "alive";
  ask(own.world, own.port, own.place.inner, wire::probe{"", false, {store}, 0});
  auto changed = ask(own.world, own.port, own.place.inner, question);
  REQUIRE(changed->members_version > question.members_version);
  REQUIRE(changed->members.find("store-9") != std::string::npos);
  // A proxy that says no version, as one of the version before, is told all of them.
  question.members_version = 0;
  REQUIRE_FALSE(ask(own.world, own.port, own.place.inner, question)->members.empty());
}

TEST_CASE("an engine list is confirmed without its text, by a core that has it") {
  one_node own;
  hcore::node core(own.world.runtime_of("node"), own.place, own.journal());
  own.start(core);
  std::string address = own.place.inner;
  REQUIRE(ask(own.world, own.port, address, wire::engines_push{1, 1, ""})->verdict == "lacking");
  REQUIRE(ask(own.world, own.port, address, wire::engines_push{1, 1, "[1]"})->verdict == "yes");
  wire::news_ask question;
  question.node = "agent";
  auto first = ask(own.world, own.port, address, question);
  REQUIRE(first->engines == "[1]");
  own.world.run_for(5 * second);
  REQUIRE(ask(own.world, own.port, address, wire::engines_push{1, 1, ""})->verdict == "yes");
  question.engines_epoch = 1;
  question.engines_sequence = 1;
  auto confirmed = ask(own.world, own.port, address, question);
  REQUIRE(confirmed->engines.empty());
  REQUIRE(confirmed->engines_age_milliseconds < 1000);
  // What it doesn't have it can't confirm, and the list at hand grows older.
  own.world.run_for(5 * second);
  REQUIRE(ask(own.world, own.port, address, wire::engines_push{1, 2, ""})->verdict == "lacking");
  REQUIRE(ask(own.world, own.port, address, question)->engines_age_milliseconds > 5000);
  REQUIRE(ask(own.world, own.port, address, wire::engines_push{2, 1, "[2]"})->verdict == "yes");
  REQUIRE(ask(own.world, own.port, address, question)->engines == "[2]");
  REQUIRE(ask(own.world, own.port, address, wire::engines_push{1, 1, ""})->verdict == "behind");
}
