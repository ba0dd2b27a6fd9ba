// Validation of the configuration document, calendar times, node settings, and the rules of configuration
// freshness.
#include <catch2/catch.hpp>
#include <fstream>

#include "config_distribution/freshness.h"
#include "configuration/cron.h"
#include "configuration/snapshot.h"
#include "settings/settings.h"
#include "simulator/world.h"

using namespace herontally;
using nlohmann::json;

namespace {
json example(const std::string& site) {
  std::ifstream stream(std::string(EXAMPLES) + "/" + site + "/desired.json");
  return json::parse(stream);
}
bool has_violation_at(const std::vector<configuration::violation>& violations, const std::string& pointer) {
  for (auto& violation : violations)
    if (violation.pointer == pointer) return true;
  return false;
}
}  // namespace

TEST_CASE("the example documents are valid, and each kind of violation is reported with its pointer") {
  for (auto* site : {"swanreach", "zastavica"}) REQUIRE(configuration::validate(example(site)).empty());
  struct invalid_value {
    const char* replaced;
    json value;
    const char* pointer;
  };
  std::vector<invalid_value> cases{
      {"/partners/swanreach/models/returns/block_tokens", 0,
       "/partners/swanreach/models/returns/block_tokens"},
      {"/partners/swanreach/models/returns/minCachedTokenDelta", "x",
       "/partners/swanreach/models/returns/minCachedTokenDelta"},
      {"/partners/swanreach/programs/eligibility/model", "none",
       "/partners/swanreach/programs/eligibility/model"},
      {"/partners/swanreach/programs/eligibility/table", "none",
       "/partners/swanreach/programs/eligibility/table"},
      {"/partners/swanreach/routes/labels/application", "none",
       "/partners/swanreach/routes/labels/application"},
      {"/partners/swanreach/routes/labels/path", "no-slash", "/partners/swanreach/routes/labels/path"},
      {"/partners/swanreach/tables/day/usage_weight", -1, "/partners/swanreach/tables/day/usage_weight"},
      {"/partners/swanreach/tables/day/minCachedTokenDelta",
       {{"none", 5}},
       "/partners/swanreach/tables/day/minCachedTokenDelta/none"},
      {"/shared/evacuated_zones", "zone", "/shared/evacuated_zones"},
      {"/partners/swanreach/calendars/c",
       {{"cron", "0 0 31 2,4 *"}, {"program", "exchange"}, {"table", "night"}},
       "/partners/swanreach/calendars/c/cron"},
      {"/partners/swanreach/programs/eligibility/keep_seconds", -5,
       "/partners/swanreach/programs/eligibility/keep_seconds"},
      {"/partners/swanreach/programs/eligibility/keep_seconds", 1e18,
       "/partners/swanreach/programs/eligibility/keep_seconds"},
      {"/partners/swanreach/tables/day/zone_weights",
       {{"perth-a", -1}},
       "/partners/swanreach/tables/day/zone_weights/perth-a"},
      {"/partners/swanreach/calendars/c",
       {{"cron", "61 * * * *"}, {"program", "exchange"}, {"table", "night"}},
       "/partners/swanreach/calendars/c/cron"},
  };
  for (auto& each : cases) {
    auto document = example("swanreach");
    document[json::json_pointer(each.replaced)] = each.value;
    auto violations = configuration::validate(document);
    INFO(each.pointer << " in " << json(violations).dump());
    REQUIRE(has_violation_at(violations, each.pointer));
  }
  // All violations are reported, not only the first one.
  auto document = example("swanreach");
  document["partners"]["swanreach"]["models"]["returns"]["block_tokens"] = 0;
  document["partners"]["swanreach"]["tables"]["day"]["usage_weight"] = -1;
  auto violations = configuration::validate(document);
  REQUIRE(has_violation_at(violations, "/partners/swanreach/models/returns/block_tokens"));
  REQUIRE(has_violation_at(violations, "/partners/swanreach/tables/day/usage_weight"));
}

TEST_CASE("a document with a random value is either rejected or compiled to a snapshot, without a crash") {
  std::mt19937_64 random(17);
  std::function<json(int)> random_value = [&](int depth) -> json {
    switch (random() % (depth > 3 ? 5 : 7)) {
      case 0:
        return nullptr;
      case 1:
        return random() % 2 == 0;
      case 2:
        return static_cast<std::int64_t>(random());
      case 3:
        return "x" + std::to_string(random() % 9);
      case 4:
        return -1.5;
      case 5:
        return json::array({random_value(depth + 1)});
      default:
        return json{{"model", random_value(depth + 1)}, {"cron", random_value(depth + 1)}};
    }
  };
  int rejected = 0, compiled = 0;
  for (int iteration = 0; iteration < 1500; ++iteration) {
    auto document = example("zastavica");
    // Replaces one randomly chosen value.
    auto flat = document.flatten();
    auto replaced = std::next(flat.begin(), static_cast<std::ptrdiff_t>(random() % flat.size()));
    document[json::json_pointer(replaced.key())] = random_value(0);
    if (!configuration::validate(document).empty()) {
      ++rejected;
      continue;
    }
    configuration::record content;
    content.document = document;
    REQUIRE(configuration::snapshot_of(content).partners.size() == 1);
    ++compiled;
  }
  REQUIRE(rejected > 500);
  REQUIRE(compiled > 20);
}

TEST_CASE("cron expressions match the expected minutes, and malformed ones are rejected") {
  auto when = [](const char* text) { return std::get<configuration::cron>(configuration::parse_cron(text)); };
  // The first minute of 2026-12-02, a Wednesday.
  std::int64_t day = 1796169600 / 60;
  REQUIRE(configuration::matches(when("30 8 * * 1-5"), day + 8 * 60 + 30));
  REQUIRE_FALSE(configuration::matches(when("30 8 * * 1-5"), day + 8 * 60 + 31));
  REQUIRE_FALSE(configuration::matches(when("30 8 * * 6,0"), day + 8 * 60 + 30));
  REQUIRE(configuration::matches(when("*/15 * 2 12 *"), day + 45));
  REQUIRE(configuration::matches(when("0 0 13 * 3"), day));
  int found = 0;
  for (std::int64_t minute = day; minute < day + 7 * 1440; ++minute)
    found += configuration::matches(when("5 6,18 * * 7"), minute);
  REQUIRE(found == 2);
  for (auto* bad : {"", "* * * *", "60 * * * *", "* 24 * * *", "* * 0 * *", "* * * 13 *", "* * * * 8",
                    "5-1 * * * *", "*/0 * * * *", "a * * * *", "1,,2 * * * *", "* * * * * *"})
    REQUIRE(std::holds_alternative<std::string>(configuration::parse_cron(bad)));
}

TEST_CASE("invalid settings are rejected with the name of the wrong field") {
  json good{{"name", "core-1"},
            {"zone", "a"},
            {"inner", "127.0.0.1:7101"},
            {"http", "127.0.0.1:7102"},
            {"seeds", {"127.0.0.1:7101", "127.0.0.1:7103", "127.0.0.1:7105"}},
            {"data", "x"},
            {"platform", "127.0.0.1:7900"}};
  REQUIRE(std::holds_alternative<settings::settings>(settings::from_json(good, "control_node")));
  std::vector<std::pair<const char*, json>> cases{{"name", "a b"},
                                                  {"zone", 5},
                                                  {"inner", "localhost:7101"},
                                                  {"inner", "127.0.0.1"},
                                                  {"http", "127.0.0.1:70000"},
                                                  {"seeds", {"127.0.0.1:7101"}},
                                                  {"seeds", {"127.0.0.1:1", "127.0.0.1:1", "127.0.0.1:2"}},
                                                  {"data", ""},
                                                  {"platform", ""},
                                                  {"disk_megabytes", 0},
                                                  {"log_level", "LOUD"},
                                                  {"operators", {{{"token", "short"}}}},
                                                  {"extra", 1}};
  for (auto& [field, value] : cases) {
    auto bad = good;
    bad[field] = value;
    auto result = settings::from_json(bad, "control_node");
    INFO(field << " = " << value.dump());
    REQUIRE(std::holds_alternative<settings::fault>(result));
    REQUIRE(std::get<settings::fault>(result).field == field);
  }
}

TEST_CASE(
    "freshness follows from a core's confirmation or a majority of the listed edges, also of joint sets") {
  simulator::world world(1);
  world.machine("m", "z");
  world.boot("m");
  auto runtime = world.runtime_of("m");
  config_distribution::freshness fresh(runtime, "a");
  fresh.set_edges({"a", "b", "c"}, {});
  fresh.record_edge_report("b", runtime.now());
  fresh.record_edge_report("c", runtime.now());
  // Nothing was confirmed since the start: neither this node's report nor the others' count.
  REQUIRE(fresh.confirmed_until() < 0);
  fresh.confirm(runtime.now());
  REQUIRE(fresh.is_confirmed());
  world.run_for(5 * runtime::second);
  auto later = runtime.now();
  REQUIRE(fresh.confirmed_until() < later - 4 * runtime::second);
  fresh.record_edge_report("c", later);
  REQUIRE(fresh.confirmed_until() == later);
  // While the set changes, majorities of both sets are required.
  fresh.set_edges({"a", "b", "c"}, {"a", "x", "y"});
  REQUIRE(fresh.confirmed_until() < later - 4 * runtime::second);
  fresh.record_edge_report("y", later - 10);
  REQUIRE(fresh.confirmed_until() == later - 10);
}
