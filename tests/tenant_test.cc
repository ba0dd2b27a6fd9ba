// Tenants: who may send, what engines are told of them, and what is walled off between them.
#include "platform_fixture.h"
#include "request_router_fixture.h"
#include "router/tenant_directory.h"

using namespace herontally;
using namespace herontally::tests;

namespace {

struct tenant_fixture : request_router_fixture {
  explicit tenant_fixture(std::uint64_t seed) : request_router_fixture(seed) {
    table.tenants.push_back({"shop", {"key-1", "key-2"}, 0, 0, 0});
    table.tenants.push_back({"mart", {"key-3"}, 1, 0, 0});
    add_route("/open/", "apps", routing::category::idempotent, 1);
    table.routes.back().anonymous = true;
    add_route("/keyed/", "apps", routing::category::keyed, 2);
    engine("one", "apps");
    engine("model", "models");
  }
  outcome as(const std::string& credential, const std::string& method, const std::string& path,
             std::map<std::string, std::string> headers = {}) {
    if (!credential.empty()) headers["Authorization"] = "Token " + credential;
    return request(method, path, "body", std::move(headers));
  }
};

}  // namespace

TEST_CASE("FAULT of issue 34: a configuration with tenants, keyed routes and shared key tables is taken") {
  auto body = whole();
  body["routing"][1]["category"] = "keyed";
  body["routing"][1]["public"] = true;
  body["backends"][0]["idempotent"] = true;
  body["principals"] = {
      {{"label", "shop"}, {"credentials", {"key-1"}}, {"urgency", 1}, {"rate_per_s", 324.5}, {"burst", 12}}};
  auto got = read(body.dump());
  CHECK(got.table.routes[1].kind == routing::category::keyed);
  CHECK(got.table.routes[1].anonymous);
  CHECK(got.table.services[0].deduplicates);
  REQUIRE(got.table.tenants.size() == 1);
  auto& tenant = got.table.tenants[0];
  CHECK(tenant.name == "shop");
  CHECK(tenant.credentials == std::vector<std::string>{"key-1"});
  CHECK(tenant.urgency == 1);
  CHECK(tenant.requests_per_second == 324.5);
  CHECK(tenant.burst_requests == 12);
  routing::json document = got.table;
  CHECK(routing::json(document.get<routing::table>()) == document);
}

TEST_CASE("two tenants that share a key make a configuration invalid, and the answer keeps it secret") {
  auto body = whole();
  body["principals"] = {{{"label", "shop"}, {"credentials", {"secret-key", "other"}}},
                        {{"label", "mart"}, {"credentials", {"secret-key"}}}};
  CHECK(against(body) == "/principals/1/credentials");
  body["principals"][1]["credentials"] = {"third"};
  CHECK(against(body) == "");
  body["principals"][1]["credentials"] = "third";
  CHECK(against(body) == "/principals/1/credentials");
  body["principals"][1] = {{"label", "shop"}, {"credentials", {"third"}}};
  CHECK(against(body) == "/principals/1/label");
}

TEST_CASE("a credential tells the tenant, and the engine is shown the tenant alone") {
  tenant_fixture here(21);
  here.begin();
  CHECK(here.as("key-2", "GET", "/fetch/1", {{"X-Tenant", "mart"}}).status == 200);
  REQUIRE(here.seen.size() == 1);
  CHECK(here.seen[0].headers["x-tenant"] == "shop");
  CHECK_FALSE(here.seen[0].headers.contains("authorization"));
}

TEST_CASE("an unknown credential gets 401, and none is needed where the route is public") {
  tenant_fixture here(22);
  here.begin();
  CHECK(here.as("", "GET", "/fetch/1").status == 401);
  CHECK(here.as("key-9", "GET", "/fetch/1").status == 401);
  CHECK(here.request("GET", "/fetch/1", "", {{"Authorization", "Basic key-1"}}).status == 401);
  CHECK(here.seen.empty());
  CHECK(here.as("", "GET", "/open/1", {{"X-Tenant", "shop"}}).status == 200);
  REQUIRE(here.seen.size() == 1);
  CHECK_FALSE(here.seen[0].headers.contains("x-tenant"));
  CHECK(here.as("key-3", "GET", "/open/1").status == 200);
  CHECK(here.seen[1].headers["x-tenant"] == "mart");
}

TEST_CASE("without tenants the client's own headers go on as they came") {
  tenant_fixture here(23);
  here.table.tenants.clear();
  here.begin();
  CHECK(here.as("key-9", "GET", "/fetch/1").status == 200);
  CHECK(here.seen[0].headers["authorization"] == "Token key-9");
}

TEST_CASE("a withdrawn credential is refused, a new one is taken") {
  tenant_fixture here(24);
  here.begin();
  here.table.version = 2;
  here.table.tenants[0].credentials = {"key-4"};
  here.node_router->set_routing(here.table, {});
  CHECK(here.as("key-1", "GET", "/fetch/1").status == 401);
  CHECK(here.as("key-4", "GET", "/fetch/1").status == 200);
}

TEST_CASE("another tenant's turn can't be gone on from") {
  tenant_fixture here(25);
  here.begin();
  here.next["model"] = {behaviour{.events = 2}, behaviour{.events = 2}};
  CHECK(here.as("key-1", "POST", "/turn/1").status == 200);
  auto first = here.last_attempt();
  CHECK(here.as("key-3", "POST", "/turn/1", {{"X-Previous-Turn", first}}).status == 404);
  CHECK(here.as("key-3", "POST", "/turn/1", {{"X-Previous-Turn", "4:shop/" + first}}).status == 404);
  CHECK(here.seen.size() == 1);
  CHECK(here.as("key-2", "POST", "/turn/1", {{"X-Previous-Turn", first}}).status == 200);
  CHECK(here.seen[1].body == "bodye1\ne2\nbody");
}

TEST_CASE("a tenant's urgency decides before the route's") {
  tenant_fixture here(26);
  here.table.routes[0].urgency = 2;
  here.table.routes[1].urgency = 0;
  here.begin();
  here.as("key-1", "GET", "/fetch/1");
  here.as("key-3", "POST", "/write/1");
  REQUIRE(here.seen.size() == 2);
  CHECK(here.seen[0].headers["x-urgency"] < here.seen[1].headers["x-urgency"]);
}

TEST_CASE("engines that share a key table get the key, and a lost answer is asked for again") {
  tenant_fixture here(27);
  here.engine("two", "apps");
  here.table.services[0].deduplicates = true;
  here.begin();
  here.next["one"] = here.next["two"] = {behaviour{.lost = true}};
  auto got = here.as("key-1", "POST", "/keyed/1", {{"X-Operation-Key", "k"}});
  REQUIRE(here.seen.size() == 2);
  CHECK(here.seen[1].headers["x-operation-key"] == "k");
  CHECK(got.status == 502);
}

TEST_CASE("an operation that an engine says is at work gets 409") {
  tenant_fixture here(28);
  here.table.services[0].deduplicates = true;
  here.begin();
  here.next["one"] = {behaviour{.status = 409, .not_run = true}};
  auto got = here.as("key-1", "POST", "/keyed/1", {{"X-Operation-Key", "k"}});
  CHECK(got.status == 409);
  CHECK(here.seen.size() == 1);
}

TEST_CASE("credentials are found by their digests") {
  std::mt19937_64 random(1);
  router::tenant_directory directory;
  CHECK(directory.empty());
  directory.set_tenants({{"shop", {"a", "b"}, 0, 0, 0}, {"mart", {"c"}, 0, 0, 0}}, random);
  REQUIRE(directory.find("b"));
  CHECK(directory.find("b")->name == "shop");
  CHECK(directory.find("c")->name == "mart");
  CHECK_FALSE(directory.find("d"));
  CHECK_FALSE(directory.find(""));
  directory.set_tenants({}, random);
  CHECK(directory.empty());
  CHECK_FALSE(directory.find("a"));
}
