// Tests operations by key, through the request router and at the ledger: of all requests with the same key
// one runs, and the others get its response.
#include "ledger/operation_ledger.h"

#include "request_router_fixture.h"

using namespace herontally;
using namespace herontally::tests;
using ledger::claim_status;
using ledger::operation_record;
using ledger::operation_state;

namespace {

struct operation_fixture : request_router_fixture {
  explicit operation_fixture(std::uint64_t seed) : request_router_fixture(seed) {
    add_route("/keyed/", "apps", routing::category::keyed, 1);
    engine("one", "apps");
    begin();
  }
  outcome operation(const std::string& key) {
    return request("POST", "/keyed/1", "body", {{"X-Operation-Key", key}});
  }
};

operation_record make_claim(const std::string& owner, std::int64_t wall) {
  operation_record first;
  first.owner = owner;
  first.service = "apps";
  first.running_until = wall + 4 * second;
  first.keep_until = wall + 70 * second;
  return first;
}

}  // namespace

TEST_CASE("a repeated operation gets the first response, seal and body, under its own attempt id") {
  operation_fixture fixture(31);
  auto first = fixture.operation("k");
  CHECK(first.status == 200);
  fixture.next_behaviours["one"] = {behaviour{.status = 500}};
  auto again = fixture.operation("k");
  CHECK(again.status == 200);
  CHECK(again.body == first.body);
  CHECK(again.headers["x-server-seal"] == first.headers["x-server-seal"]);
  CHECK(again.headers["x-attempt-id"] == fixture.last_attempt());
  CHECK(fixture.received.size() == 1);
  CHECK(fixture.operation("other").status == 500);
  CHECK(fixture.operation("other").status == 500);
  CHECK(fixture.received.size() == 2);
}

TEST_CASE("an operation whose response was lost isn't run again") {
  operation_fixture fixture(32);
  fixture.next_behaviours["one"] = {behaviour{.lost = true}};
  CHECK(fixture.operation("k").status == 502);
  CHECK(fixture.operation("k").status == 409);
  fixture.stores.world.run_for(5 * second);
  CHECK(fixture.operation("k").status == 502);
  CHECK(fixture.received.size() == 1);
}

TEST_CASE("an operation that an engine reports as not run may be run by a repeated request") {
  operation_fixture fixture(33);
  fixture.next_behaviours["one"] = {behaviour{.status = 503, .not_run = true}};
  CHECK(fixture.operation("k").status == 503);
  CHECK(fixture.operation("k").status == 200);
  CHECK(fixture.received.size() == 2);
}

TEST_CASE("REFUSED: an operation that may have run isn't answered 503 when the next engine rejects it") {
  operation_fixture fixture(39);
  fixture.engine("two", "apps");
  fixture.table.services[0].deduplicates = true;
  fixture.table.routes.back().max_attempts = 2;
  fixture.table.version = 2;
  fixture.begin();
  // The engine that is asked first loses the response, and the other one rejects the request. The case runs
  // once for each order.
  for (auto* first : {"one", "two"}) {
    auto* other = std::string(first) == "one" ? "two" : "one";
    fixture.next_behaviours[first] = {behaviour{.lost = true}};
    fixture.next_behaviours[other] = {behaviour{.status = 503, .not_run = true}};
    fixture.received.clear();
    auto got = fixture.operation(std::string("k-") + first);
    CAPTURE(first, fixture.received.size());
    bool lost_first = !fixture.received.empty() && fixture.received[0].engine == first;
    if (lost_first) CHECK(got.status == 502);
    if (!lost_first) CHECK(got.status != 200);
    fixture.next_behaviours.clear();
  }
}

TEST_CASE("an operation is not sent to another service after it was claimed") {
  operation_fixture fixture(34);
  fixture.table.services[0].deduplicates = true;
  fixture.table.version = 2;
  fixture.node_router->set_routing(fixture.table, {});
  fixture.next_behaviours["one"] = {behaviour{.lost = true}};
  CHECK(fixture.operation("k").status == 502);
  fixture.table.routes.back().targets = {{"models", 1}};
  fixture.table.version = 3;
  fixture.engine("two", "models");
  fixture.node_router->set_engines(fixture.listed.dump(), {});
  fixture.node_router->set_routing(fixture.table, {});
  CHECK(fixture.operation("k").status == 502);
  CHECK(fixture.received.size() == 1);
  CHECK(fixture.operation("new").status == 200);
  CHECK(fixture.received.back().engine == "two");
}

TEST_CASE("an operation that has not run may be claimed for another service") {
  operation_fixture fixture(35);
  fixture.next_behaviours["one"] = {behaviour{.status = 503, .not_run = true}};
  CHECK(fixture.operation("k").status == 503);
  fixture.table.routes.back().targets = {{"models", 1}};
  fixture.table.version = 2;
  fixture.engine("two", "models");
  fixture.node_router->set_engines(fixture.listed.dump(), {});
  fixture.node_router->set_routing(fixture.table, {});
  CHECK(fixture.operation("k").status == 200);
}

TEST_CASE("without a majority of the storage nodes no operation is sent to an engine") {
  operation_fixture fixture(36);
  for (auto* name : {"s2", "s3"}) fixture.stores.world.kill(name, simulator::disk_loss::none);
  CHECK(fixture.operation("k").status == 503);
  CHECK(fixture.received.empty());
}

TEST_CASE("one of two claims wins, and it survives the loss of power at every storage node") {
  group stores(37);
  auto writer = stores.begin();
  ledger::operation_ledger first(writer), second_ledger(stores.writer("v"));
  auto wall = stores.world.runtime_of("w").wall();
  auto begun = stores.run("w", first.claim("k", make_claim("a", wall), stores.deadline("w", second)));
  CHECK(begun.status == claim_status::claimed);
  for (auto* name : {"s1", "s2", "s3"}) stores.world.kill(name, simulator::disk_loss::unsynced);
  for (auto* name : {"s1", "s2", "s3"}) stores.boot(name);
  auto other =
      stores.run("v", second_ledger.claim("k", make_claim("b", wall), stores.deadline("v", 2 * second)));
  CHECK(other.status == claim_status::in_progress);
  CHECK(other.record.owner == "a");
  auto last = begun.record;
  last.state = operation_state::answered;
  last.status = 200;
  last.headers["x-server-seal"] = "seal";
  last.body = std::string("\x00\xff\n bytes", 10);
  CHECK(stores.run("w", first.finish("k", last, stores.deadline("w", 2 * second))));
  auto repeat =
      stores.run("v", second_ledger.claim("k", make_claim("c", wall), stores.deadline("v", 2 * second)));
  CHECK(repeat.status == claim_status::answered);
  CHECK(repeat.record.body == last.body);
  CHECK(repeat.record.headers == last.headers);
}

TEST_CASE("after its retention window a key identifies a new operation") {
  group stores(38);
  auto writer = stores.begin();
  ledger::operation_ledger operations(writer);
  auto wall = stores.world.runtime_of("w").wall();
  auto begun = stores.run("w", operations.claim("k", make_claim("a", wall), stores.deadline("w", second)));
  CHECK(begun.status == claim_status::claimed);
  stores.world.run_for(71 * second);
  auto later = stores.run(
      "w", operations.claim("k", make_claim("b", wall + 71 * second), stores.deadline("w", 2 * second)));
  CHECK(later.status == claim_status::claimed);
  CHECK(later.record.owner == "b");
}

TEST_CASE("an operation record of a later version is not interpreted") {
  CHECK_FALSE(ledger::operation_record_from_text("nothing"));
  CHECK_FALSE(ledger::operation_record_from_text("{\"state\":\"later\"}\nbody"));
  auto text = to_text(make_claim("a", 5));
  auto read = ledger::operation_record_from_text(text);
  REQUIRE(read);
  CHECK(read->owner == "a");
  CHECK_FALSE(is_expired(*read, 70 * second));
  CHECK(is_expired(*read, 71 * second));
}
