// Calls between nodes of different protocol versions, and scheduled table changes (calendars) on a simulated
// site.
#include <catch2/catch.hpp>

#include "rpc/endpoint.h"
#include "simulator/site.h"

using namespace herontally;
using runtime::second;

namespace {

constexpr std::int64_t payload = 4711;

// Calls a node of version `server_version` from a node of version `client_version`. Sets `dropped` to the
// number of messages that the called node refused because of their version.
std::variant<std::int64_t, rpc::error> call_across_versions(int client_version, int server_version,
                                                            double* dropped) {
  simulator::world world(1);
  for (auto* name : {"a", "b"}) {
    world.machine(name, "z");
    world.boot(name);
  }
  logging::logger server_logger("b", [](auto&, auto&) {});
  rpc::endpoint client(world.runtime_of("a"), "a", logging::logger("a", [](auto&, auto&) {}));
  rpc::endpoint server(world.runtime_of("b"), "b", server_logger);
  client.set_version(client_version);
  server.set_version(server_version);
  server.listen("10.0.0.2:7000");
  server.serve<rpc::config_committed_request>(
      [](rpc::config_committed_request request) -> runtime::task<rpc::config_committed_reply> {
        co_return rpc::config_committed_reply{request.revision};
      });
  std::optional<std::variant<std::int64_t, rpc::error>> result;
  auto call = [](rpc::endpoint endpoint,
                 std::optional<std::variant<std::int64_t, rpc::error>>* out) -> runtime::task<> {
    rpc::config_committed_request request{payload, ""};
    auto outcome = co_await endpoint.call("10.0.0.2:7000", std::move(request), second);
    if (auto* reply = std::get_if<rpc::config_committed_reply>(&outcome))
      *out = reply->revision;
    else
      *out = std::get<rpc::error>(outcome);
  };
  world.runtime_of("a").spawn(call(client, &result));
  REQUIRE(world.run_until([&] { return result.has_value(); }, 3 * second));
  *dropped = server_logger.value("herontally_inner_dropped_total{reason=\"version\"}");
  return *result;
}

}  // namespace

TEST_CASE("an adjacent protocol version is accepted, any other is refused at once and counted") {
  for (int client_version = 1; client_version <= 4; ++client_version)
    for (int server_version = 1; server_version <= 4; ++server_version) {
      double dropped = 0;
      auto result = call_across_versions(client_version, server_version, &dropped);
      INFO(client_version << " calls " << server_version);
      if (std::abs(client_version - server_version) <= 1) {
        REQUIRE(std::get<std::int64_t>(result) == payload);
        REQUIRE(dropped == 0);
      } else {
        REQUIRE(std::get<rpc::error>(result) == rpc::error::refused);
        REQUIRE(dropped == 1);
      }
    }
}

TEST_CASE("a calendar switches its table once for each scheduled time, also when the owner changes") {
  simulator::world world(21);
  simulator::oracle oracle(world);
  simulator::site_options options;
  options.partners = {simulator::swanreach(1, 1)};
  simulator::site site(world, oracle, options);
  REQUIRE(site.begin());
  std::int64_t version = 0, before = 0;
  std::string table;
  auto read_config = [](simulator::site* target, std::string core, std::int64_t* version, std::string* table,
                        bool* done) -> runtime::task<> {
    auto response = co_await target->operate(core, "GET", "/v1/desired", "", "");
    if (response.status == 200) {
      *version = response.body["version"];
      *table = response.body["desired"]["partners"]["swanreach"]["programs"]["exchange"]["table"];
    }
    *done = true;
  };
  auto refresh = [&](const std::string& core) {
    bool done = false;
    site.callers().spawn(read_config(&site, core, &version, &table, &done));
    REQUIRE(world.run_until([&] { return done; }, 10 * second));
  };
  refresh("core-1");
  auto apply = [](simulator::site* target, std::int64_t expected, bool* done) -> runtime::task<> {
    nlohmann::json next = target->document(1);
    auto& partner = next["partners"]["swanreach"];
    partner["tables"]["night"] = nlohmann::json::object();
    partner["calendars"]["c"] = {{"cron", "* * * * *"}, {"program", "exchange"}, {"table", "night"}};
    auto result =
        co_await target->operate("core-1", "PUT", "/v1/desired", next.dump(), std::to_string(expected));
    *done = result.status == 200;
  };
  bool applied = false;
  site.callers().spawn(apply(&site, version, &applied));
  REQUIRE(world.run_until([&] { return applied; }, 10 * second));
  refresh("core-1");
  before = version;
  // At least two minutes begin in this time, and the core that runs the calendars is killed in between.
  world.run_for(50 * second);
  world.kill("core-1", simulator::disk_loss::none, true);
  world.run_for(80 * second);
  refresh("core-2");
  REQUIRE(table == "night");
  // At most one change for the minute in which the calendar was applied and for each minute that began since.
  REQUIRE(version - before >= 2);
  REQUIRE(version - before <= 3);
}
