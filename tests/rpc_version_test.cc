// The inner protocol between versions, and calendars on a whole simulated site.
#include <catch2/catch.hpp>

#include "rpc/endpoint.h"
#include "simulator/site.h"

using namespace herontally;
using runtime::second;

namespace {

constexpr std::int64_t payload = 4711;

// Asks a node that speaks one version from a node that speaks another.
std::variant<std::int64_t, rpc::error> ask_across(int asker, int answerer, double* dropped) {
  simulator::world world(1);
  for (auto* name : {"a", "b"}) {
    world.machine(name, "z");
    world.boot(name);
  }
  logging::logger lines("b", [](auto&, auto&) {});
  rpc::endpoint left(world.runtime_of("a"), "a", logging::logger("a", [](auto&, auto&) {}));
  rpc::endpoint right(world.runtime_of("b"), "b", lines);
  left.set_version(asker);
  right.set_version(answerer);
  right.listen("10.0.0.2:7000");
  right.serve<rpc::config_committed_request>(
      [](rpc::config_committed_request word) -> runtime::task<rpc::config_committed_reply> {
        co_return rpc::config_committed_reply{word.revision};
      });
  std::optional<std::variant<std::int64_t, rpc::error>> result;
  auto ask = [](rpc::endpoint endpoint,
                std::optional<std::variant<std::int64_t, rpc::error>>* out) -> runtime::task<> {
    rpc::config_committed_request word{payload, ""};
    auto answer = co_await endpoint.call("10.0.0.2:7000", std::move(word), second);
    if (auto* reply = std::get_if<rpc::config_committed_reply>(&answer))
      *out = reply->revision;
    else
      *out = std::get<rpc::error>(answer);
  };
  world.runtime_of("a").spawn(ask(left, &result));
  REQUIRE(world.run_until([&] { return result.has_value(); }, 3 * second));
  *dropped = lines.value("herontally_inner_dropped_total{reason=\"version\"}");
  return *result;
}

}  // namespace

TEST_CASE("a neighbouring version is understood, a further one is refused at once and counted") {
  for (int asker = 1; asker <= 4; ++asker)
    for (int answerer = 1; answerer <= 4; ++answerer) {
      double dropped = 0;
      auto result = ask_across(asker, answerer, &dropped);
      INFO(asker << " asks " << answerer);
      if (std::abs(asker - answerer) <= 1) {
        REQUIRE(std::get<std::int64_t>(result) == payload);
        REQUIRE(dropped == 0);
      } else {
        REQUIRE(std::get<rpc::error>(result) == rpc::error::refused);
        REQUIRE(dropped == 1);
      }
    }
}

TEST_CASE("a calendar switches its table once for each of its times, also when the duty moves") {
  simulator::world world(21);
  simulator::oracle judge(world);
  simulator::site_options choice;
  choice.partners = {simulator::swanreach(1, 1)};
  simulator::site place(world, judge, choice);
  REQUIRE(place.begin());
  std::int64_t version = 0, before = 0;
  std::string table;
  auto look = [](simulator::site* own, std::string core, std::int64_t* version, std::string* table,
                 bool* done) -> runtime::task<> {
    auto now = co_await own->operate(core, "GET", "/v1/desired", "", "");
    if (now.status == 200) {
      *version = now.body["version"];
      *table = now.body["desired"]["partners"]["swanreach"]["programs"]["exchange"]["table"];
    }
    *done = true;
  };
  auto see = [&](const std::string& core) {
    bool done = false;
    place.callers().spawn(look(&place, core, &version, &table, &done));
    REQUIRE(world.run_until([&] { return done; }, 10 * second));
  };
  see("core-1");
  auto apply = [](simulator::site* own, std::int64_t expected, bool* done) -> runtime::task<> {
    nlohmann::json next = own->document(1);
    auto& partner = next["partners"]["swanreach"];
    partner["tables"]["night"] = nlohmann::json::object();
    partner["calendars"]["c"] = {{"cron", "* * * * *"}, {"program", "exchange"}, {"table", "night"}};
    auto result =
        co_await own->operate("core-1", "PUT", "/v1/desired", next.dump(), std::to_string(expected));
    *done = result.status == 200;
  };
  bool applied = false;
  place.callers().spawn(apply(&place, version, &applied));
  REQUIRE(world.run_until([&] { return applied; }, 10 * second));
  see("core-1");
  before = version;
  // Two full minutes, and the duty's holder dies in the middle of them.
  world.run_for(50 * second);
  world.kill("core-1", simulator::disk_loss::none, true);
  world.run_for(80 * second);
  see("core-2");
  REQUIRE(table == "night");
  // The minute that was under way when it was applied, and those that began since: no more than one change
  // each.
  REQUIRE(version - before >= 2);
  REQUIRE(version - before <= 3);
}
