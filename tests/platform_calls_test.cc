// The platform adapter: parsing of operator commands, the status and body of their replies, and parsing of
// the engine list and of engine reports.
#include "platform_fixture.h"

using namespace herontally;
using namespace herontally::tests;

TEST_CASE("operator commands are parsed by method and path") {
  auto adapter = operator_adapter();
  auto change = std::get<platform_protocol::change_command>(
      adapter.read_command(call("POST", "/-/config/replace", "{}", {{"x-base-version", "5"}})));
  CHECK(change.expected == 5);
  CHECK(!change.partial);
  CHECK(change.body == "{}");
  auto partial =
      std::get<platform_protocol::change_command>(adapter.read_command(call("POST", "/-/config/amend")));
  CHECK(partial.partial);
  CHECK(partial.expected == -1);
  CHECK(std::holds_alternative<platform_protocol::read_command>(
      adapter.read_command(call("GET", "/-/config/read"))));
  auto zone = std::get<platform_protocol::evacuate_command>(
      adapter.read_command(call("POST", "/-/evacuation/lj-a/begin")));
  CHECK(zone.zone == "lj-a");
  CHECK(zone.begin);
  CHECK(!std::get<platform_protocol::evacuate_command>(
             adapter.read_command(call("POST", "/-/evacuation/z/finish")))
             .begin);
  auto retire = std::get<platform_protocol::retire_command>(
      adapter.read_command(call("POST", "/-/retire/s-1/begin", "{\"over_s\":10}")));
  CHECK(retire.node == "s-1");
  CHECK(retire.seconds == 10);
  CHECK(std::get<platform_protocol::retire_status_command>(
            adapter.read_command(call("GET", "/-/retire/s-1/read")))
            .node == "s-1");
  auto is_known_path = [&](const std::string& method, const std::string& path) {
    return std::get<platform_protocol::unknown_command>(adapter.read_command(call(method, path))).known_path;
  };
  CHECK(is_known_path("GET", "/-/config/replace"));
  CHECK(is_known_path("POST", "/-/retire/s-1/read"));
  CHECK(!is_known_path("GET", "/"));
  CHECK(!is_known_path("GET", "/-/config/other"));
  CHECK(!is_known_path("POST", "/-/evacuation//begin"));
}

TEST_CASE("each command status maps to its HTTP status and body") {
  using platform_protocol::command_status;
  auto adapter = operator_adapter();
  auto response_to = [&](command_status status,
                         const platform_protocol::command& command = platform_protocol::change_command{}) {
    platform_protocol::command_reply reply;
    reply.status = status;
    reply.document = "{ \"as\": \"sent\" }";
    return adapter.write_reply(command, reply);
  };
  CHECK(response_to(command_status::done).status == 200);
  CHECK(response_to(command_status::done, platform_protocol::read_command{}).body == "{ \"as\": \"sent\" }");
  CHECK(response_to(command_status::rolling, platform_protocol::retire_status_command{}).body ==
        "{\"phase\":\"rolling\"}");
  CHECK(response_to(command_status::done, platform_protocol::retire_status_command{}).body ==
        "{\"phase\":\"complete\"}");
  CHECK(response_to(command_status::stale).status == 412);
  CHECK(response_to(command_status::invalid).status == 400);
  CHECK(response_to(command_status::unknown_name).status == 404);
  CHECK(response_to(command_status::under_way).status == 409);
  CHECK(response_to(command_status::too_few).status == 409);
  CHECK(response_to(command_status::unreachable).status == 503);
  CHECK(response_to(command_status::unclear).status == 503);
  platform_protocol::command_reply invalid;
  invalid.status = command_status::invalid;
  invalid.violations = {{"/routing/0/mix", "the shares add up to 0"}};
  CHECK(json::parse(
            adapter.write_reply(platform_protocol::change_command{}, invalid).body)["faults"][0]["field"] ==
        "/routing/0/mix");
}

TEST_CASE("the engine list and an engine report are parsed") {
  auto adapter = operator_adapter();
  CHECK(adapter.list_path("") == "/instances");
  CHECK(adapter.list_path("p 5/") == "/instances?page_token=p%205%2F");
  json entry{{"id", "i-1"},        {"backend", "chat"}, {"endpoint", "10.0.0.9:80"}, {"zone", "lj-a"},
             {"generation", "v1"}, {"capacity", 64},    {"phase", "draining"},       {"warmup_left_ms", 120}};
  auto page = adapter.read_list(json{{"servers", {entry}}, {"next_token", "p-50"}}.dump());
  REQUIRE(page);
  REQUIRE(page->engines.size() == 1);
  CHECK(page->next == "p-50");
  CHECK(page->engines[0].id == "i-1");
  CHECK(page->engines[0].draining);
  CHECK(page->engines[0].slow_start_milliseconds == 120);
  CHECK(page->engines[0].release == "v1");
  auto last = adapter.read_list(json{{"servers", json::array()}, {"next_token", nullptr}}.dump());
  REQUIRE(last);
  CHECK(last->next.empty());
  CHECK(!adapter.read_list("{"));
  CHECK(!adapter.read_list("{}"));
  entry.erase("endpoint");
  CHECK(!adapter.read_list(json{{"servers", {entry}}}.dump()));
  auto report = adapter.read_report(
      json{{"backlog", 1}, {"active", 12}, {"cache_used", 41000}, {"cache_cap", 90000}}.dump());
  REQUIRE(report);
  CHECK(report->running == 12);
  CHECK(report->waiting == 1);
  CHECK(report->memory == 90000);
  CHECK(!adapter.read_report("[]"));
}
