// The operator's calls, the list of engines and the reports, in the users' platform's words.
#include <catch2/catch.hpp>

#include "platform/dialect.h"

using namespace herontally;
using json = nlohmann::json;

static json whole(int version = 7) {
  return {
      {"generation", version},
      {"routing", json::array({{{"label", "talk"},
                                {"authority", "a.example"},
                                {"path_prefix", "/talk/"},
                                {"category", "streaming"},
                                {"deadline_ms", 4000},
                                {"target_ms", 200},
                                {"urgency", 1},
                                {"mix", json::array({{{"backend", "chat"}, {"share", 90}},
                                                     {{"backend", "tool"}, {"share", 10}}})},
                                {"tries", 2},
                                {"retained", true},
                                {"retain_s", 60.0},
                                {"affine", true},
                                {"resumable", false},
                                {"gap_target_ms", 300}},
                               {{"label", "look"},
                                {"authority", "a.example"},
                                {"path_prefix", "/look/"},
                                {"category", "idempotent"},
                                {"deadline_ms", 1000},
                                {"backend", "tool"},
                                {"news_to_us", 5}}})},
      {"backends", json::array({{{"label", "chat"},
                                 {"probe", "/health"},
                                 {"max_conns", 360},
                                 {"warmup_s", 3.0},
                                 {"warmup_per_s", 22.5},
                                 {"engine",
                                  {{"capacity", 64},
                                   {"cache_tokens", 207117},
                                   {"chunk", 4},
                                   {"catalog", json::array({{{"label", "m"}}})}}}},
                                {{"label", "tool"}, {"probe", "/health"}, {"max_conns", 96}}})},
      {"caps", {{"header_bytes", 16384}, {"body_bytes", 4194304}, {"header_ms", 3000}, {"idle_ms", 15000}}}};
}

static dialect::dialect words() {
  dialect::dialect made;
  platform::fill_operators(made);
  return made;
}

static runtime::http_visit call(const std::string& method, const std::string& path,
                                const std::string& body = "",
                                const std::map<std::string, std::string>& headers = {}) {
  runtime::http_visit visit;
  visit.method = method;
  visit.path = path;
  visit.body = body;
  visit.headers = headers;
  return visit;
}

// Where the first fault lies; "" when there is none.
static std::string against(const std::string& body, const std::optional<std::string>& current = std::nullopt,
                           bool partial = false) {
  auto read = platform::read_configuration(current, {0, partial, body});
  auto* faults = std::get_if<std::vector<routing::fault>>(&read);
  if (!faults) return "";
  REQUIRE(!faults->empty());
  return faults->front().pointer.empty() ? "whole" : faults->front().pointer;
}
static std::string against(const json& body) { return against(body.dump()); }
static dialect::configuration read(const std::string& body,
                                   const std::optional<std::string>& current = std::nullopt,
                                   bool partial = false) {
  auto result = platform::read_configuration(current, {0, partial, body});
  REQUIRE(std::holds_alternative<dialect::configuration>(result));
  return std::get<dialect::configuration>(result);
}

TEST_CASE("a whole configuration is kept as sent and becomes a routing table") {
  auto text = whole().dump(2);
  auto got = read(text);
  CHECK(got.sent == text);
  CHECK(got.table.version == 7);
  REQUIRE(got.table.routes.size() == 2);
  auto& talk = got.table.routes[0];
  CHECK(talk.kind == routing::category::streaming);
  CHECK(talk.deadline == 4000);
  CHECK(talk.aim == 200);
  CHECK(talk.tries == 2);
  CHECK(talk.keep == 60000);
  CHECK(talk.gap == 300);
  CHECK((talk.kept && talk.affine && !talk.resumable));
  CHECK(talk.targets[0].share == 90);
  CHECK(got.table.routes[1].targets[0].service == "tool");
  auto* chat = got.table.find_service("chat");
  REQUIRE((chat && chat->model));
  CHECK(chat->connections == 360);
  CHECK(chat->cold_rate == 22.5);
  CHECK(chat->model->memory_tokens == 207117);
  CHECK(chat->model->models == std::vector<std::string>{"m"});
  CHECK(got.table.limits.idle_patience == 15000);
}

TEST_CASE("each invalid configuration is refused with the field that is wrong") {
  auto body = whole();
  auto& route = body["routing"][0];
  CHECK(against(body) == "");
  CHECK(against(body.dump().substr(0, 300)) == "whole");
  CHECK(against(std::string("[]")) == "whole");
  CHECK(against(std::string()) == "whole");
  SECTION("unknown service") {
    route["mix"][1]["backend"] = "gone";
    CHECK(against(body) == "/routing/0/mix/1/backend");
  }
  SECTION("unknown single service") {
    body["routing"][1]["backend"] = "gone";
    CHECK(against(body) == "/routing/1/mix/0/backend");
  }
  SECTION("same host and prefix") {
    body["routing"][1]["path_prefix"] = "/talk/";
    CHECK(against(body) == "/routing/1/path_prefix");
  }
  SECTION("weights of 0") {
    route["mix"][0]["share"] = route["mix"][1]["share"] = 0;
    CHECK(against(body) == "/routing/0/mix");
  }
  SECTION("no weights") {
    route["mix"] = json::array();
    CHECK(against(body) == "/routing/0/mix");
  }
  SECTION("no service") {
    route.erase("mix");
    CHECK(against(body) == "/routing/0/backend");
  }
  SECTION("deadline 0") {
    route["deadline_ms"] = 0;
    CHECK(against(body) == "/routing/0/deadline_ms");
  }
  SECTION("a missing deadline") {
    route.erase("deadline_ms");
    CHECK(against(body) == "/routing/0/deadline_ms");
  }
  SECTION("wrong types") {
    route["deadline_ms"] = "4000";
    CHECK(against(body) == "/routing/0/deadline_ms");
    body = whole();
    body["routing"][0]["retained"] = 1;
    CHECK(against(body) == "/routing/0/retained");
    body = whole();
    body["routing"][0]["authority"] = 5;
    CHECK(against(body) == "/routing/0/authority");
    body = whole();
    body["routing"] = json::object();
    CHECK(against(body) == "/routing");
    body = whole();
    body["routing"][0] = 5;
    CHECK(against(body) == "/routing/0");
    body = whole();
    body["backends"][0]["engine"]["capacity"] = "64";
    CHECK(against(body) == "/backends/0/engine/capacity");
    body = whole();
    body["caps"]["idle_ms"] = true;
    CHECK(against(body) == "/caps/idle_ms");
    body = whole();
    body["generation"] = "7";
    CHECK(against(body) == "/generation");
  }
  SECTION("missing lists") {
    body.erase("backends");
    CHECK(against(body) == "/backends");
    body = whole();
    body.erase("routing");
    CHECK(against(body) == "/routing");
    body = whole();
    body.erase("generation");
    CHECK(against(body) == "/generation");
  }
  SECTION("an unknown category") {
    route["category"] = "other";
    CHECK(against(body) == "/routing/0/category");
  }
  SECTION("a version that is not above the current one") {
    CHECK(against(whole(7).dump(), whole(7).dump()) == "/generation");
    CHECK(against(whole(6).dump(), whole(7).dump()) == "/generation");
    CHECK(against(whole(8).dump(), whole(7).dump()) == "");
  }
  SECTION("one label twice") {
    body["routing"][1]["label"] = "talk";
    CHECK(against(body) == "/routing/1/label");
  }
}

TEST_CASE("an amendment gives the whole configuration that a reader expects") {
  auto current = whole(7).dump();
  auto replaced = whole()["routing"][0];
  replaced["mix"][0]["share"] = 50;
  auto added = whole()["routing"][1];
  added["label"] = "find";
  added["path_prefix"] = "/find/";
  added["backend"] = "index";
  json change{{"generation", 9},
              {"upsert",
               {{"routing", json::array({replaced, added})},
                {"backends", json::array({{{"label", "index"}, {"probe", "/health"}}})}}},
              {"remove", {{"routing", json::array({"look"})}}}};
  auto got = read(change.dump(), current, true);
  auto expected = whole(9);
  expected["routing"] = json::array({replaced, added});
  expected["backends"].push_back({{"label", "index"}, {"probe", "/health"}});
  CHECK(json::parse(got.sent) == expected);
  CHECK(got.table.version == 9);
  CHECK(got.table.routes.size() == 2);
  CHECK(got.table.find_service("index"));

  auto refused = [&](json other) { return against(other.dump(), current, true); };
  auto other = change;
  other["generation"] = 7;
  CHECK(refused(other) == "/generation");
  other = change;
  other.erase("generation");
  CHECK(refused(other) == "/generation");
  other = change;
  other["remove"]["backends"] = json::array({"tool"});
  CHECK(refused(other) == "/routing/0/mix/1/backend");
  other = change;
  other["upsert"]["routing"][0].erase("label");
  CHECK(refused(other) == "/upsert/routing");
  other = change;
  other["upsert"]["routing"] = 5;
  CHECK(refused(other) == "/upsert/routing");
  other = change;
  other["remove"]["routing"] = "look";
  CHECK(refused(other) == "/remove/routing");
  other = change;
  other["upsert"] = json::array();
  CHECK(refused(other) == "/upsert");
}

TEST_CASE("the operator's calls are told apart") {
  auto speech = words();
  auto change = std::get<dialect::change_command>(
      speech.read_command(call("POST", "/-/config/replace", "{}", {{"x-base-version", "5"}})));
  CHECK(change.expected == 5);
  CHECK(!change.partial);
  CHECK(change.body == "{}");
  auto part = std::get<dialect::change_command>(speech.read_command(call("POST", "/-/config/amend")));
  CHECK(part.partial);
  CHECK(part.expected == -1);
  CHECK(std::holds_alternative<dialect::read_command>(speech.read_command(call("GET", "/-/config/read"))));
  auto zone =
      std::get<dialect::evacuation_command>(speech.read_command(call("POST", "/-/evacuation/lj-a/begin")));
  CHECK(zone.zone == "lj-a");
  CHECK(zone.begin);
  CHECK(!std::get<dialect::evacuation_command>(speech.read_command(call("POST", "/-/evacuation/z/finish")))
             .begin);
  auto retire = std::get<dialect::retire_command>(
      speech.read_command(call("POST", "/-/retire/s-1/begin", "{\"over_s\":10}")));
  CHECK(retire.node == "s-1");
  CHECK(retire.seconds == 10);
  CHECK(
      std::get<dialect::retire_status_command>(speech.read_command(call("GET", "/-/retire/s-1/read"))).node ==
      "s-1");
  auto unknown = [&](const std::string& method, const std::string& path) {
    return std::get<dialect::unknown_command>(speech.read_command(call(method, path))).known_path;
  };
  CHECK(unknown("GET", "/-/config/replace"));
  CHECK(unknown("POST", "/-/retire/s-1/read"));
  CHECK(!unknown("GET", "/"));
  CHECK(!unknown("GET", "/-/config/other"));
  CHECK(!unknown("POST", "/-/evacuation//begin"));
}

TEST_CASE("each end of a call has its status") {
  using dialect::result;
  auto speech = words();
  auto status = [&](result end, const dialect::command& asked = dialect::change_command{}) {
    dialect::reply_terms terms;
    terms.end = end;
    terms.document = "{ \"as\": \"sent\" }";
    return speech.write_reply(asked, terms);
  };
  CHECK(status(result::done).status == 200);
  CHECK(status(result::done, dialect::read_command{}).body == "{ \"as\": \"sent\" }");
  CHECK(status(result::rolling, dialect::retire_status_command{}).body == "{\"phase\":\"rolling\"}");
  CHECK(status(result::done, dialect::retire_status_command{}).body == "{\"phase\":\"complete\"}");
  CHECK(status(result::stale).status == 412);
  CHECK(status(result::invalid).status == 400);
  CHECK(status(result::unknown_name).status == 404);
  CHECK(status(result::under_way).status == 409);
  CHECK(status(result::too_few).status == 409);
  CHECK(status(result::unreachable).status == 503);
  CHECK(status(result::unclear).status == 503);
  dialect::reply_terms wrong;
  wrong.end = result::invalid;
  wrong.faults = {{"/routing/0/mix", "the shares add up to 0"}};
  CHECK(json::parse(speech.write_reply(dialect::change_command{}, wrong).body)["faults"][0]["field"] ==
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
  CHECK(page->engines[0].cold_ms == 120);
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
