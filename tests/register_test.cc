// The register and the ledger over simulated storage machines: agreement, identity, moves, fencing.
#include <catch2/catch.hpp>

#include "hsim/world.h"
#include "hstore/node.h"
#include "ledger/book.h"
#include "register/change_view.h"
#include "register/voter.h"

using namespace herontally;
using runtime::second;

namespace {

// Three storage machines (and spares), and writers that are machines of their own.
struct group {
  hsim::world world;
  std::map<std::string, std::shared_ptr<reg::voter>> voters;
  std::vector<std::string> names;
  explicit group(std::uint64_t seed, int count = 3) : world(seed) {
    for (int number = 1; number <= count; ++number) boot("s" + std::to_string(number));
  }
  static std::string address(const std::string& name) { return "10.0.0." + name.substr(1) + ":7000"; }
  void boot(const std::string& name) {
    world.machine(name, "z");
    world.boot(name);
    auto runtime = world.runtime_of(name);
    wire::port port(runtime, name, logging::journal(name, [](auto&, auto&) {}));
    port.listen(address(name));
    reg::voter_options choice;
    choice.group = "store";
    choice.buckets = 2;
    auto voter = std::make_shared<reg::voter>(port, choice);
    voters[name] = voter;
    runtime.spawn(
        [](std::shared_ptr<reg::voter> opened) -> runtime::task<> { co_await opened->open(); }(voter));
    runtime.spawn([](std::shared_ptr<reg::voter> mended) -> runtime::task<> {
      co_await mended->repair_forever();
    }(voter));
    world.run_for(10 * runtime::millisecond);
  }
  reg::proposer writer(const std::string& name) {
    world.machine(name, "z");
    if (!world.find(name).up) world.boot(name);
    wire::port port(world.runtime_of(name), name, logging::journal(name, [](auto&, auto&) {}));
    reg::proposer made(port, "store");
    made.seeds([] {
      return std::vector<std::string>{address("s1"), address("s2"), address("s3"), address("s4")};
    });
    return made;
  }
  std::vector<reg::voter_place> places(std::vector<std::string> which) {
    std::vector<reg::voter_place> list;
    for (auto& name : which) list.push_back({voters[name]->id(), address(name), name, "z"});
    return list;
  }
  template <class T>
  T run(const std::string& machine, runtime::task<T> work) {
    auto result = std::make_shared<std::optional<T>>();
    world.runtime_of(machine).spawn(
        [](runtime::task<T> inner, std::shared_ptr<std::optional<T>> out) -> runtime::task<> {
          out->emplace(co_await std::move(inner));
        }(std::move(work), result));
    REQUIRE(world.run_until([&] { return result->has_value(); }, 60 * second));
    return std::move(**result);
  }
  runtime::microseconds deadline(const std::string& machine, runtime::microseconds span) {
    return world.runtime_of(machine).now() + span;
  }
  reg::proposer begin() {
    auto first = writer("w");
    auto begun = run(
        "w", reg::begin_group(first.port(), "store", places({"s1", "s2", "s3"}), deadline("w", 5 * second)));
    REQUIRE(std::holds_alternative<reg::view>(begun));
    first.learn(std::get<reg::view>(begun));
    return first;
  }
};

reg::mutator set_to(std::string value) {
  return [value](const std::optional<std::string>&) { return std::optional<std::string>(value); };
}
reg::mutator append_once(std::string word) {
  return [word](const std::optional<std::string>& now) -> std::optional<std::string> {
    std::string text = now.value_or("");
    if (text.find(word) != std::string::npos) return std::nullopt;
    return text + word;
  };
}

}  // namespace

TEST_CASE("what a writer was told is settled stays, through kills, cuts and racing writers") {
  int settled_in_all = 0;
  for (std::uint64_t seed = 1; seed <= 25; ++seed) {
    group site(seed);
    site.begin();
    auto settled = std::make_shared<std::vector<std::string>>();
    for (int number = 0; number < 3; ++number) {
      auto name = "w" + std::to_string(number);
      site.world.machine(name, "z");
      auto maker = site.writer(name);
      site.world.runtime_of(name).spawn(
          [](reg::proposer maker, std::string name,
             std::shared_ptr<std::vector<std::string>> done) -> runtime::task<> {
            auto runtime = maker.port().runtime();
            for (int each = 0; each < 8; ++each) {
              std::string word = "<" + name + "." + std::to_string(each) + ">";
              reg::mutator add = append_once(word);
              auto result = co_await maker.change("k", add, runtime.now() + 2 * second);
              bool known = result.end == reg::change_end::settled || result.end == reg::change_end::declined;
              if (known) done->push_back(word);
              co_await runtime.sleep(static_cast<runtime::microseconds>(runtime.draw(100000)));
            }
          }(maker, name, settled));
    }
    for (int fault = 0; fault < 5; ++fault) {
      site.world.run_for(static_cast<runtime::microseconds>(site.world.draw(300000)));
      auto victim = "s" + std::to_string(1 + site.world.draw(3));
      if (site.world.draw(2)) {
        site.world.kill(victim, hsim::disk_loss::unsynced, true);
        site.world.run_for(static_cast<runtime::microseconds>(site.world.draw(400000)));
        site.boot(victim);
      } else {
        auto writer = "w" + std::to_string(site.world.draw(3));
        site.world.cut(victim, writer);
        site.world.run_for(static_cast<runtime::microseconds>(site.world.draw(900000)));
        site.world.heal(victim, writer);
      }
    }
    site.world.run_for(30 * second);
    auto reader = site.writer("r");
    auto now = site.run("r", reader.read("k", site.deadline("r", 5 * second)));
    REQUIRE(now.value.has_value());
    for (auto& word : *settled) {
      INFO("seed " << seed << " lost " << word);
      auto at = now.value->find(word);
      REQUIRE(at != std::string::npos);
      REQUIRE(now.value->find(word, at + 1) == std::string::npos);
    }
    settled_in_all += static_cast<int>(settled->size());
  }
  REQUIRE(settled_in_all > 400);
}

TEST_CASE("an empty disk does not vote as its predecessor") {
  group site(5);
  auto writer = site.begin();
  // The third voter misses the value, the second one loses its disk: no majority has both memory and voice.
  site.world.cut("w", "s3");
  auto written = site.run("w", writer.change("k", set_to("precious"), site.deadline("w", 3 * second)));
  REQUIRE(written.end == reg::change_end::settled);
  site.world.kill("s1", hsim::disk_loss::none);
  site.world.kill("s2", hsim::disk_loss::all, true);
  site.boot("s2");
  site.world.heal("w", "s3");
  auto blind = site.run("w", writer.read("k", site.deadline("w", 2 * second)));
  REQUIRE(blind.end == reg::change_end::unreachable);
  // With the first one back there is a majority again, and the value with it.
  site.boot("s1");
  auto now = site.run("w", writer.read("k", site.deadline("w", 5 * second)));
  REQUIRE(now.value == "precious");
}

TEST_CASE("a lost machine is replaced by an empty one and every record has its copies again") {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    group site(seed, 4);
    auto writer = site.begin();
    for (int each = 0; each < 20; ++each)
      site.run("w", writer.change("k" + std::to_string(each), set_to("v" + std::to_string(each)),
                                  site.deadline("w", 3 * second)));
    REQUIRE(site.run("w", writer.put_content("d1", "body", site.deadline("w", 3 * second), false)));
    reg::view first = writer.current();
    auto lay = [first](const std::optional<std::string>&) {
      return std::optional<std::string>(reg::view_text(first));
    };
    site.run("w", writer.change(reg::view_key_of("store"), lay, site.deadline("w", 3 * second)));
    std::string lost = "s" + std::to_string(1 + seed % 3);
    site.world.kill(lost, hsim::disk_loss::all, true);
    std::string leaving;
    for (auto& place : first.voters)
      if (place.node == lost) leaving = place.id;
    reg::replacement wanted{leaving, site.places({"s4"})[0]};
    auto moved = site.run("w", reg::replace_voter(writer, writer, wanted, site.deadline("w", 30 * second)));
    REQUIRE(std::holds_alternative<reg::view>(moved));
    REQUIRE(std::get<reg::view>(moved).before.empty());
    REQUIRE(std::get<reg::view>(moved).number == 3);
    for (int each = 0; each < 20; ++each)
      REQUIRE(site.voters["s4"]->accepted_value("k" + std::to_string(each)) == "v" + std::to_string(each));
    REQUIRE(site.voters["s4"]->content("d1") == "body");
    // A second loss right after the move is survived by what the newcomer holds.
    std::string second_lost = lost == "s1" ? "s2" : "s1";
    site.world.kill(second_lost, hsim::disk_loss::all, true);
    auto now = site.run("w", writer.read("k7", site.deadline("w", 5 * second)));
    REQUIRE(now.value == "v7");
  }
}

TEST_CASE("a voter that a chosen view leaves out wipes itself and is a stranger afterwards") {
  group site(9, 4);
  auto writer = site.begin();
  site.run("w", writer.change("k", set_to("old"), site.deadline("w", 3 * second)));
  reg::view first = writer.current();
  auto lay = [first](const std::optional<std::string>&) {
    return std::optional<std::string>(reg::view_text(first));
  };
  site.run("w", writer.change(reg::view_key_of("store"), lay, site.deadline("w", 3 * second)));
  auto before = site.voters["s2"]->id();
  reg::replacement wanted{before, site.places({"s4"})[0]};
  auto moved = site.run("w", reg::replace_voter(writer, writer, wanted, site.deadline("w", 30 * second)));
  REQUIRE(std::holds_alternative<reg::view>(moved));
  site.world.run_for(2 * second);
  REQUIRE(site.voters["s2"]->id() != before);
  REQUIRE_FALSE(site.voters["s2"]->accepted_value("k").has_value());
}

TEST_CASE("what a voter missed is handed over to it by the others") {
  group site(4);
  auto writer = site.begin();
  site.world.kill("s3", hsim::disk_loss::none);
  for (int each = 0; each < 10; ++each)
    site.run("w", writer.change("k" + std::to_string(each), set_to("v"), site.deadline("w", 3 * second)));
  site.boot("s3");
  REQUIRE_FALSE(site.voters["s3"]->accepted_value("k3").has_value());
  REQUIRE(site.world.run_until(
      [&] {
        return site.voters["s3"]->accepted_value("k3") == "v" &&
               site.voters["s3"]->accepted_value("k9") == "v";
      },
      10 * second));
}

TEST_CASE("a superseded proxy can't settle its turn, and a finished turn is not run again") {
  group site(6);
  auto writer = site.begin();
  bool owner_gone = false;
  ledger::book mine(writer,
                    [&](const std::string& owner, std::int64_t) { return owner == "a" && owner_gone; });
  auto open = [&](const std::string& turn, const std::string& visit, const std::string& owner) {
    ledger::turn_wish wish{"p", "chat", turn, visit, owner, 1, 100, 60, 20 * second};
    return std::make_pair(wish, site.run("w", mine.open_turn(wish, site.deadline("w", 3 * second))));
  };
  auto first = open("t0", "v1", "a");
  REQUIRE(first.second.end == ledger::open_end::granted);
  REQUIRE(open("t1", "v2", "b").second.end == ledger::open_end::busy);
  owner_gone = true;
  auto next = open("t1", "v3", "b");
  REQUIRE(next.second.end == ledger::open_end::granted);
  // The abandoned grant is charged in full, and its owner's late settlement is refused.
  REQUIRE(next.second.now.spent == 60);
  ledger::turn_content content;
  content.turn = "t0";
  auto late = site.run("w", mine.settle_done(first.first, first.second.now.epoch, content, 5, 60,
                                             site.deadline("w", 3 * second)));
  REQUIRE(late == ledger::settle_end::superseded);
  content.turn = "t1";
  auto done = site.run("w", mine.settle_done(next.first, next.second.now.epoch, content, 50, 60,
                                             site.deadline("w", 3 * second)));
  REQUIRE(done == ledger::settle_end::settled);
  REQUIRE(open("t1", "v4", "b").second.end == ledger::open_end::ended);
  // 110 of 100 are spent: this turn is told so, and stays told so under a larger budget.
  REQUIRE(open("t2", "v5", "b").second.end == ledger::open_end::spent);
  ledger::turn_wish richer{"p", "chat", "t2", "v6", "b", 1, 1000, 60, 20 * second};
  REQUIRE(site.run("w", mine.open_turn(richer, site.deadline("w", 3 * second))).end ==
          ledger::open_end::spent);
  richer.turn = "t3";
  REQUIRE(site.run("w", mine.open_turn(richer, site.deadline("w", 3 * second))).end ==
          ledger::open_end::granted);
}
