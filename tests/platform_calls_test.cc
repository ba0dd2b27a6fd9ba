// The operator's calls, their ends, the list of engines and reports, in the platform's words.
#include "platform_fixture.h"

using namespace herontally;
using namespace herontally::tests;

TEST_CASE("the operator's calls are told apart") {
  auto speech = words();
  auto change = std::get<platform_protocol::change_command>(
      speech.read_command(call("POST", "/-/config/replace", "{}", {{"x-base-version", "5"}})));
  CHECK(change.expected == 5);
  CHECK(!change.partial);
  CHECK(change.body == "{}");
  auto part =
      std::get<platform_protocol::change_command>(speech.read_command(call("POST", "/-/config/amend")));
  CHECK(part.partial);
  CHECK(part.expected == -1);
  CHECK(std::holds_alternative<platform_protocol::read_command>(
      speech.read_command(call("GET", "/-/config/read"))));
  auto zone = std::get<platform_protocol::evacuate_command>(
      speech.read_command(call("POST", "/-/evacuation/lj-a/begin")));
  CHECK(zone.zone == "lj-a");
  CHECK(zone.begin);
  CHECK(!std::get<platform_protocol::evacuate_command>(
             speech.read_command(call("POST", "/-/evacuation/z/finish")))
             .begin);
  auto retire = std::get<platform_protocol::retire_command>(
      speech.read_command(call("POST", "/-/retire/s-1/begin", "{\"over_s\":10}")));
  CHECK(retire.node == "s-1");
  CHECK(retire.seconds == 10);
  CHECK(std::get<platform_protocol::retire_status_command>(
            speech.read_command(call("GET", "/-/retire/s-1/read")))
            .node == "s-1");
  auto unknown = [&](const std::string& method, const std::string& path) {
    return std::get<platform_protocol::unknown_command>(speech.read_command(call(method, path))).known_path;
  };
  CHECK(unknown("GET", "/-/config/replace"));
  CHECK(unknown("POST", "/-/retire/s-1/read"));
  CHECK(!unknown("GET", "/"));
  CHECK(!unknown("GET", "/-/config/other"));
  CHECK(!unknown("POST", "/-/evacuation//begin"));
}

TEST_CASE("each end of a call has its status") {
  using platform_protocol::command_status;
  auto speech = words();
  auto status = [&](command_status end,
                    const platform_protocol::command& asked = platform_protocol::change_command{}) {
    platform_protocol::command_reply terms;
    terms.status = end;
    terms.document = "{ \"as\": \"sent\" }";
    return speech.write_reply(asked, terms);
  };
  CHECK(status(command_status::done).status == 200);
  CHECK(status(command_status::done, platform_protocol::read_command{}).body == "{ \"as\": \"sent\" }");
  CHECK(status(command_status::rolling, platform_protocol::retire_status_command{}).body ==
        "{\"phase\":\"rolling\"}");
  CHECK(status(command_status::done, platform_protocol::retire_status_command{}).body ==
        "{\"phase\":\"complete\"}");
  CHECK(status(command_status::stale).status == 412);
  CHECK(status(command_status::invalid).status == 400);
  CHECK(status(command_status::unknown_name).status == 404);
  CHECK(status(command_status::under_way).status == 409);
  CHECK(status(command_status::too_few).status == 409);
  CHECK(status(command_status::unreachable).status == 503);
  CHECK(status(command_status::unclear).status == 503);
  platform_protocol::command_reply wrong;
  wrong.status = command_status::invalid;
  wrong.violations = {{"/routing/0/mix", "the shares add up to 0"}};
  CHECK(json::parse(
            speech.write_reply(platform_protocol::change_command{}, wrong).body)["faults"][0]["field"] ==
        "/routing/0/mix");
}

TEST_CASE("the list of engines and a report are read") {
  auto speech = words();
  CHECK(speech.list_path("") == "/instances");
  CHECK(speech.list_path("p 5/") == "/instances?page_token=p%205%2F");
  json entry{{"id", "i-1"},        {"backend", "chat"}, {"endpoint", "10.0.0.9:80"}, {"zone", "lj-a"},
             {"generation", "v1"}, {"capacity", 64},    {"phase", "draining"},       {"warmup_left_ms", 120}};
  auto page = speech.read_list(json{{"servers", {entry}}, {"next_token", "p-50"}}.dump());
  REQUIRE(page);
  REQUIRE(page->engines.size() == 1);
  CHECK(page->next == "p-50");
  CHECK(page->engines[0].id == "i-1");
  CHECK(page->engines[0].draining);
  CHECK(page->engines[0].slow_start_milliseconds == 120);
  CHECK(page->engines[0].release == "v1");
  auto last = speech.read_list(json{{"servers", json::array()}, {"next_token", nullptr}}.dump());
  REQUIRE(last);
  CHECK(last->next.empty());
  CHECK(!speech.read_list("{"));
  CHECK(!speech.read_list("{}"));
  entry.erase("endpoint");
  CHECK(!speech.read_list(json{{"servers", {entry}}}.dump()));
  auto report = speech.read_report(
      json{{"backlog", 1}, {"active", 12}, {"cache_used", 41000}, {"cache_cap", 90000}}.dump());
  REQUIRE(report);
  CHECK(report->running == 12);
  CHECK(report->waiting == 1);
  CHECK(report->memory == 90000);
  CHECK(!speech.read_report("[]"));
}
