// Replicated registers on simulated storage machines: agreement, voter identity, reconfiguration, catch-up
// and repair.
#include <catch2/catch.hpp>

#include "replica_group_fixture.h"

using namespace herontally;
using runtime::second;
using tests::group;

namespace {

consensus::mutator set_to(std::string value) {
  return [value](const std::optional<std::string>&) { return std::optional<std::string>(value); };
}
consensus::mutator append_once(std::string word) {
  return [word](const std::optional<std::string>& now) -> std::optional<std::string> {
    std::string text = now.value_or("");
    if (text.find(word) != std::string::npos) return std::nullopt;
    return text + word;
  };
}

// Writes the group's view to the register that a reconfiguration reads and changes.
void record_current_view(group& site, consensus::proposer writer) {
  auto text = consensus::to_text(writer.current_view());
  auto key = reconfiguration::view_register_key("store");
  site.run("w", writer.change(key, set_to(text), site.deadline("w", 3 * second)));
}

}  // namespace

TEST_CASE("committed changes survive kills, network cuts and concurrent writers") {
  int total_committed = 0;
  for (std::uint64_t seed = 1; seed <= 25; ++seed) {
    group site(seed);
    site.begin();
    auto committed = std::make_shared<std::vector<std::string>>();
    for (int number = 0; number < 3; ++number) {
      auto name = "w" + std::to_string(number);
      site.world.machine(name, "z");
      auto writer = site.writer(name);
      site.world.runtime_of(name).spawn(
          [](consensus::proposer writer, std::string name,
             std::shared_ptr<std::vector<std::string>> done) -> runtime::task<> {
            auto runtime = writer.endpoint().runtime();
            for (int each = 0; each < 8; ++each) {
              std::string word = "<" + name + "." + std::to_string(each) + ">";
              consensus::mutator add = append_once(word);
              auto result = co_await writer.change("k", add, runtime.now() + 2 * second);
              bool known = result.known();
              if (known) done->push_back(word);
              co_await runtime.sleep(static_cast<runtime::microseconds>(runtime.draw(100000)));
            }
          }(writer, name, committed));
    }
    for (int fault = 0; fault < 5; ++fault) {
      site.world.run_for(static_cast<runtime::microseconds>(site.world.draw(300000)));
      auto victim = "s" + std::to_string(1 + site.world.draw(3));
      if (site.world.draw(2)) {
        site.world.kill(victim, simulator::disk_loss::unsynced, true);
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
    for (auto& word : *committed) {
      INFO("seed " << seed << " lost " << word);
      auto at = now.value->find(word);
      REQUIRE(at != std::string::npos);
      REQUIRE(now.value->find(word, at + 1) == std::string::npos);
    }
    total_committed += static_cast<int>(committed->size());
  }
  REQUIRE(total_committed > 400);
}

TEST_CASE("a change by the fast path never overwrites another writer's change") {
  double rounds = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    group site(seed);
    site.begin();
    std::map<std::string, consensus::proposer> writers;
    for (auto* name : {"wa", "wb"}) writers.emplace(name, site.writer(name));
    std::vector<std::string> words;
    // Consecutive changes of one writer, which use the fast path, interrupted by the other writer.
    for (int each = 0; each < 12; ++each) {
      std::string name = site.world.draw(3) ? "wa" : "wb";
      words.push_back("<" + name + std::to_string(each) + ">");
      auto result = site.run(
          name, writers.at(name).change("k", append_once(words.back()), site.deadline(name, 3 * second)));
      REQUIRE(result.status == consensus::change_status::committed);
      INFO("seed " << seed);
      for (auto& word : words) REQUIRE(result.value->find(word) != std::string::npos);
    }
    for (auto& [name, writer] : writers)
      rounds += writer.endpoint().logger().value("herontally_register_rounds_total");
  }
  // With two rounds or more for each change no writer would have used the fast path.
  REQUIRE(rounds < 20 * 12 * 2);
}

TEST_CASE("a voter whose disk was emptied does not vote under its old identity") {
  group site(5);
  auto writer = site.begin();
  // s3 misses the value, s2 loses its disk and s1 is down, so that no majority that can vote holds the value.
  site.world.cut("w", "s3");
  auto written = site.run("w", writer.change("k", set_to("precious"), site.deadline("w", 3 * second)));
  REQUIRE(written.status == consensus::change_status::committed);
  site.world.kill("s1", simulator::disk_loss::none);
  site.world.kill("s2", simulator::disk_loss::all, true);
  site.boot("s2");
  site.world.heal("w", "s3");
  auto unanswered = site.run("w", writer.read("k", site.deadline("w", 2 * second)));
  REQUIRE(unanswered.status == consensus::change_status::unreachable);
  // Once s1 is back, s1 and s3 are a majority, and s1 holds the value.
  site.boot("s1");
  auto now = site.run("w", writer.read("k", site.deadline("w", 5 * second)));
  REQUIRE(now.value == "precious");
}

TEST_CASE("a voter that lost its disk and an unreachable seed don't slow down changes that have a quorum") {
  group site(7, 4);
  auto writer = site.begin();
  site.world.kill("s3", simulator::disk_loss::all, true);
  site.boot("s3");
  // A change that waited for every seed's reply in the search for a newer view would wait for this one.
  site.world.cut("w", "s4");
  for (int number = 0; number < 5; ++number) {
    auto begun = site.world.runtime_of("w").now();
    auto value = std::to_string(number);
    auto result = site.run("w", writer.change("k" + value, set_to(value), site.deadline("w", 3 * second)));
    REQUIRE(result.status == consensus::change_status::committed);
    CHECK(site.world.runtime_of("w").now() - begun < 100 * runtime::millisecond);
  }
}

TEST_CASE("replacing a lost machine by an empty one restores the copies of every record") {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    group site(seed, 4);
    auto writer = site.begin();
    for (int each = 0; each < 20; ++each)
      site.run("w", writer.change("k" + std::to_string(each), set_to("v" + std::to_string(each)),
                                  site.deadline("w", 3 * second)));
    REQUIRE(site.run("w", writer.put_content("d1", "body", site.deadline("w", 3 * second), false)));
    consensus::view first = writer.current_view();
    record_current_view(site, writer);
    std::string lost = "s" + std::to_string(1 + seed % 3);
    site.world.kill(lost, simulator::disk_loss::all, true);
    std::string leaving;
    for (auto& voter : first.voters)
      if (voter.node == lost) leaving = voter.id;
    reconfiguration::replacement wanted{leaving, site.places({"s4"})[0]};
    auto moved = site.run(
        "w", reconfiguration::replace_voter(writer, writer, wanted, site.deadline("w", 30 * second)));
    REQUIRE(std::holds_alternative<consensus::view>(moved));
    REQUIRE(std::get<consensus::view>(moved).previous_voters.empty());
    REQUIRE(std::get<consensus::view>(moved).number == 3);
    for (int each = 0; each < 20; ++each)
      REQUIRE(site.voters["s4"]->accepted_value("k" + std::to_string(each)) == "v" + std::to_string(each));
    REQUIRE(site.voters["s4"]->content("d1") == "body");
    // A second loss right after the replacement is survived because the new voter holds every record.
    std::string second_lost = lost == "s1" ? "s2" : "s1";
    site.world.kill(second_lost, simulator::disk_loss::all, true);
    auto now = site.run("w", writer.read("k7", site.deadline("w", 5 * second)));
    REQUIRE(now.value == "v7");
  }
}

TEST_CASE("a joining voter gets its records by catch-up and not by repair as well") {
  group site(11, 4);
  auto writer = site.begin();
  REQUIRE(site.run("w", writer.put_content("d1", "body", site.deadline("w", 3 * second), false)));
  record_current_view(site, writer);
  auto begun = site.run("w", reconfiguration::begin_move(writer, writer, site.places({"s1", "s2", "s4"}), 0,
                                                         site.deadline("w", 5 * second)));
  REQUIRE(std::holds_alternative<consensus::view>(begun));
  auto joint = std::get<consensus::view>(begun);
  REQUIRE(site.run("w", reconfiguration::install_chosen(writer, joint, site.deadline("w", 5 * second))));
  // Long enough for several rounds of repair.
  site.world.run_for(15 * second);
  REQUIRE(site.voters["s4"]->current_view().number == joint.number);
  CHECK_FALSE(site.voters["s4"]->content("d1").has_value());
  REQUIRE(site.run("w", reconfiguration::finish_move(writer, writer, site.deadline("w", 30 * second))));
  CHECK(site.voters["s4"]->content("d1") == "body");
}

TEST_CASE("repair brings a voter records that it missed in all checksum ranges") {
  group site(12);
  auto writer = site.begin();
  site.world.kill("s3", simulator::disk_loss::none);
  constexpr int records = 1500;  // more than a page, with some in each range
  for (int each = 0; each < records; ++each)
    site.run("w",
             writer.put_content("d" + std::to_string(each), "body", site.deadline("w", 3 * second), true));
  site.boot("s3");
  REQUIRE(site.world.run_until(
      [&] {
        int stored = 0;
        for (int each = 0; each < records; ++each)
          stored += site.voters["s3"]->content("d" + std::to_string(each)) ? 1 : 0;
        return stored == records;
      },
      20 * second));
}

TEST_CASE("concurrent catch-up sources of a joining voter share the records between them") {
  group site(14, 4);
  auto writer = site.begin();
  constexpr int records = 2000;
  for (int each = 0; each < records; ++each)
    REQUIRE(site.run("w", writer.put_content("d" + std::to_string(each), std::string(2000, 'x'),
                                             site.deadline("w", 3 * second), true)));
  record_current_view(site, writer);
  // Slow enough that the voter asks a second and a third source before the first one is done.
  for (auto source : {"s1", "s2", "s3"}) site.world.net().link_delays[{source, "s4"}] = 150000;
  reconfiguration::replacement wanted{site.voters["s3"]->id(), site.places({"s4"})[0]};
  auto moved =
      site.run("w", reconfiguration::replace_voter(writer, writer, wanted, site.deadline("w", 30 * second)));
  REQUIRE(std::holds_alternative<consensus::view>(moved));
  int stored = 0;
  for (int each = 0; each < records; ++each)
    stored += site.voters["s4"]->content("d" + std::to_string(each)) ? 1 : 0;
  CHECK(stored == records);
  CHECK(site.loggers.at("s4").value("herontally_catch_up_records_total") < records * 1.2);
}

TEST_CASE("a voter answers all concurrent installations of the same view") {
  group site(13, 4);
  auto writer = site.begin();
  auto next = writer.current_view();
  next.number += 1;
  next.previous_voters = next.voters;
  next.voters = site.places({"s1", "s2", "s4"});
  int installed = 0;
  for (int caller = 0; caller < 50; ++caller)
    site.world.runtime_of("s1").spawn(
        [](std::shared_ptr<replication::voter> voter, consensus::view chosen, int* count) -> runtime::task<> {
          bool done = co_await voter->install(chosen);
          *count += done ? 1 : 0;
        }(site.voters["s1"], next, &installed));
  REQUIRE(site.world.run_until([&] { return installed == 50; }, second));
  CHECK(site.voters["s1"]->current_view() == next);
}

TEST_CASE("a voter that a chosen view leaves out deletes its records and takes a new identity") {
  group site(9, 4);
  auto writer = site.begin();
  site.run("w", writer.change("k", set_to("old"), site.deadline("w", 3 * second)));
  record_current_view(site, writer);
  auto before = site.voters["s2"]->id();
  reconfiguration::replacement wanted{before, site.places({"s4"})[0]};
  auto moved =
      site.run("w", reconfiguration::replace_voter(writer, writer, wanted, site.deadline("w", 30 * second)));
  REQUIRE(std::holds_alternative<consensus::view>(moved));
  site.world.run_for(2 * second);
  REQUIRE(site.voters["s2"]->id() != before);
  REQUIRE_FALSE(site.voters["s2"]->accepted_value("k").has_value());
}

TEST_CASE("repair brings a voter the records that it missed while it was down") {
  group site(4);
  auto writer = site.begin();
  site.world.kill("s3", simulator::disk_loss::none);
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
