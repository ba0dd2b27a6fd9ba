// Tenants: authentication, what engines are told about the tenant, and isolation between tenants.
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

TEST_CASE("FAULT of issue 34: a configuration with tenants, keyed routes and shared key tables is accepted") {
  auto body = whole();
  body["routing"][1]["category"] = "keyed";
  body["routing"][1]["public"] = true;
  body["backends"][0]["idempotent"] = true;
  body["principals"] = {
      {{"label", "shop"}, {"credentials", {"key-1"}}, {"urgency", 1}, {"rate_per_s", 324.5}, {"burst", 12}}};
  auto configuration = read(body.dump());
  CHECK(configuration.table.routes[1].kind == routing::category::keyed);
  CHECK(configuration.table.routes[1].anonymous);
  CHECK(configuration.table.services[0].deduplicates);
  REQUIRE(configuration.table.tenants.size() == 1);
  auto& tenant = configuration.table.tenants[0];
  CHECK(tenant.name == "shop");
  CHECK(tenant.credentials == std::vector<std::string>{"key-1"});
  CHECK(tenant.urgency == 1);
  CHECK(tenant.requests_per_second == 324.5);
  CHECK(tenant.burst_requests == 12);
  routing::json document = configuration.table;
  CHECK(routing::json(document.get<routing::table>()) == document);
}

TEST_CASE(
    "two tenants with the same credential make a configuration invalid, and the error doesn't reveal it") {
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

TEST_CASE(
    "a credential identifies the tenant, and the engine gets the tenant's name without the credential") {
  tenant_fixture fixture(21);
  fixture.begin();
  CHECK(fixture.as("key-2", "GET", "/fetch/1", {{"X-Tenant", "mart"}}).status == 200);
  REQUIRE(fixture.received.size() == 1);
  CHECK(fixture.received[0].headers["x-tenant"] == "shop");
  CHECK_FALSE(fixture.received[0].headers.contains("authorization"));
}

TEST_CASE("an unknown credential gets 401, and a public route needs none") {
  tenant_fixture fixture(22);
  fixture.begin();
  CHECK(fixture.as("", "GET", "/fetch/1").status == 401);
  CHECK(fixture.as("key-9", "GET", "/fetch/1").status == 401);
  CHECK(fixture.request("GET", "/fetch/1", "", {{"Authorization", "Basic key-1"}}).status == 401);
  CHECK(fixture.received.empty());
  CHECK(fixture.as("", "GET", "/open/1", {{"X-Tenant", "shop"}}).status == 200);
  REQUIRE(fixture.received.size() == 1);
  CHECK_FALSE(fixture.received[0].headers.contains("x-tenant"));
  CHECK(fixture.as("key-3", "GET", "/open/1").status == 200);
  CHECK(fixture.received[1].headers["x-tenant"] == "mart");
}

TEST_CASE("without tenants the client's own headers are forwarded unchanged") {
  tenant_fixture fixture(23);
  fixture.table.tenants.clear();
  fixture.begin();
  CHECK(fixture.as("key-9", "GET", "/fetch/1").status == 200);
  CHECK(fixture.received[0].headers["authorization"] == "Token key-9");
}

TEST_CASE("a revoked credential is rejected, and a new one is accepted") {
  tenant_fixture fixture(24);
  fixture.begin();
  fixture.table.version = 2;
  fixture.table.tenants[0].credentials = {"key-4"};
  fixture.node_router->set_routing(fixture.table, {});
  CHECK(fixture.as("key-1", "GET", "/fetch/1").status == 401);
  CHECK(fixture.as("key-4", "GET", "/fetch/1").status == 200);
}

TEST_CASE("another tenant's turn can't be continued") {
  tenant_fixture fixture(25);
  fixture.begin();
  fixture.next_behaviours["model"] = {behaviour{.events = 2}, behaviour{.events = 2}};
  CHECK(fixture.as("key-1", "POST", "/turn/1").status == 200);
  auto first = fixture.last_attempt();
  CHECK(fixture.as("key-3", "POST", "/turn/1", {{"X-Previous-Turn", first}}).status == 404);
  CHECK(fixture.as("key-3", "POST", "/turn/1", {{"X-Previous-Turn", "4:shop/" + first}}).status == 404);
  CHECK(fixture.received.size() == 1);
  CHECK(fixture.as("key-2", "POST", "/turn/1", {{"X-Previous-Turn", first}}).status == 200);
  CHECK(fixture.received[1].body == "bodye1\ne2\nbody");
}

TEST_CASE("a tenant's urgency takes precedence over the route's") {
  tenant_fixture fixture(26);
  fixture.table.routes[0].urgency = 2;
  fixture.table.routes[1].urgency = 0;
  fixture.begin();
  fixture.as("key-1", "GET", "/fetch/1");
  fixture.as("key-3", "POST", "/write/1");
  REQUIRE(fixture.received.size() == 2);
  CHECK(fixture.received[0].headers["x-urgency"] < fixture.received[1].headers["x-urgency"]);
}

TEST_CASE("engines that share a key table get the key, and a request whose answer is lost is repeated") {
  tenant_fixture fixture(27);
  fixture.engine("two", "apps");
  fixture.table.services[0].deduplicates = true;
  fixture.begin();
  fixture.next_behaviours["one"] = fixture.next_behaviours["two"] = {behaviour{.lost = true}};
  auto response = fixture.as("key-1", "POST", "/keyed/1", {{"X-Operation-Key", "k"}});
  REQUIRE(fixture.received.size() == 2);
  CHECK(fixture.received[1].headers["x-operation-key"] == "k");
  CHECK(response.status == 502);
}

TEST_CASE("a keyed request gets 409 if an engine reports that the operation is in progress") {
  tenant_fixture fixture(28);
  fixture.table.services[0].deduplicates = true;
  fixture.begin();
  fixture.next_behaviours["one"] = {behaviour{.status = 409, .not_run = true}};
  auto response = fixture.as("key-1", "POST", "/keyed/1", {{"X-Operation-Key", "k"}});
  CHECK(response.status == 409);
  CHECK(fixture.received.size() == 1);
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
