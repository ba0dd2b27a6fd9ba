// Contents that are damaged on a voter's disk: repair, reading of chains, and catch-up from another source.
#include <catch2/catch.hpp>

#include "replica_group_fixture.h"

using namespace herontally;
using runtime::second;
using tests::group;

namespace {

std::string body_of(int number) { return "{}\n" + std::to_string(number) + std::string(300, 'b'); }

// Changes one byte of this text in each file of the machine that contains it. Returns the number of files.
int damage(simulator::world& world, const std::string& machine, const std::string& text) {
  int damaged_files = 0;
  for (auto& [name, file] : world.find(machine).disk.files) {
    auto found = file.current.find(text);
    if (found == std::string::npos) continue;
    file.current[found + text.size() / 2] ^= 0x20;
    ++damaged_files;
  }
  return damaged_files;
}

}  // namespace

TEST_CASE("repair restores a content that is damaged on one voter's disk") {
  group site(41);
  auto writer = site.begin();
  auto key = [](int number) { return "turn/" + std::to_string(number); };
  for (int number = 0; number < 10; ++number)
    REQUIRE(
        site.run("w", writer.put_content(key(number), body_of(number), site.deadline("w", second), false)));
  site.world.run_for(second);
  REQUIRE(damage(site.world, "s1", body_of(4)) > 0);
  // The damage isn't repaired yet, and the content reads as missing.
  REQUIRE_FALSE(site.voters["s1"]->content(key(4)));
  site.world.run_for(10 * second);
  for (auto& name : {"s1", "s2", "s3"})
    for (int number = 0; number < 10; ++number)
      REQUIRE(site.voters[name]->content(key(number)) == body_of(number));
  // The repaired content is on disk as well, so that it is read after a restart.
  auto id = site.voters["s1"]->id();
  site.world.kill("s1", simulator::disk_loss::none);
  site.boot("s1");
  REQUIRE(site.voters["s1"]->id() == id);
  REQUIRE(site.voters["s1"]->content(key(4)) == body_of(4));
}

TEST_CASE("a chain is served from disk, and ends where a body is damaged") {
  group site(42);
  auto writer = site.begin();
  auto key = [](int number) { return "turn/" + std::to_string(number); };
  auto body = [&key](int number) {
    return R"({"previous":")" + (number > 0 ? key(number - 1) : "") + "\"}\n" + body_of(number);
  };
  for (int number = 0; number < 6; ++number)
    REQUIRE(site.run("w", writer.put_content(key(number), body(number), site.deadline("w", second), false)));
  site.world.run_for(second);
  for (auto& name : {"s1", "s2"}) REQUIRE(damage(site.world, name, body_of(2)) > 0);
  auto any = [](const std::string&, const std::string&) { return true; };
  auto previous = [](const std::string& text) {
    return nlohmann::json::parse(text.substr(0, text.find('\n')))["previous"].get<std::string>();
  };
  // s3 still holds the whole chain.
  auto bodies = site.run("w", writer.fetch_chain(key(5), 6, any, previous, site.deadline("w", 5 * second)));
  REQUIRE(bodies);
  for (int number = 0; number < 6; ++number)
    REQUIRE((*bodies)[static_cast<std::size_t>(5 - number)] == body(number));
}

TEST_CASE("a joining voter fetches a content from another source if the first one can't read it") {
  for (std::uint64_t seed = 43; seed < 49; ++seed) {
    group site(seed, 4);
    auto writer = site.begin();
    consensus::view first = writer.current_view();
    auto write_first = [first](const std::optional<std::string>&) {
      return std::optional<std::string>(consensus::to_text(first));
    };
    site.run("w", writer.change(reconfiguration::view_register_key("store"), write_first,
                                site.deadline("w", 3 * second)));
    for (int number = 0; number < 6; ++number)
      REQUIRE(site.run("w", writer.put_content("turn/" + std::to_string(number), body_of(number),
                                               site.deadline("w", second), false)));
    site.world.run_for(second);
    for (auto& name : {"s1", "s2"}) REQUIRE(damage(site.world, name, body_of(2)) > 0);
    // Only s3, which leaves, can read the content.
    auto wanted = site.places({"s1", "s2", "s4"});
    auto begun =
        site.run("w", reconfiguration::begin_move(writer, writer, wanted, 0, site.deadline("w", 5 * second)));
    REQUIRE(std::holds_alternative<consensus::view>(begun));
    REQUIRE(site.run("w", reconfiguration::finish_move(writer, writer, site.deadline("w", 5 * second))));
    REQUIRE(site.voters["s4"]->content("turn/2") == body_of(2));
  }
}
