// Regression test for simulator_seeds_16: a proxy used a draining engine after its agent was restarted. The
// new agent must not confirm the proxy's configuration before it knows which engines drain.
#include <catch2/catch.hpp>

#include "agent/config_feed.h"
#include "agent/draining_watch.h"
#include "agent/proxy_link.h"
#include "simulator/world.h"

using namespace herontally;

namespace {

struct restarted_agent {
  simulator::world world;
  std::shared_ptr<agent::context> shared;
  std::shared_ptr<agent::draining_watch> watch;
  std::shared_ptr<agent::proxy_link> link;
  std::shared_ptr<agent::config_feed> feed;

  restarted_agent() : world(5) {
    world.machine("a", "z");
    world.boot("a");
    settings::settings node_settings;
    node_settings.name = "a";
    node_settings.inner = "10.0.0.1:7000";
    node_settings.seeds = {"10.0.0.9:7000"};
    shared = std::make_shared<agent::context>(world.runtime_of("a"), node_settings,
                                              logging::logger("a", [](auto&, auto&) {}), nullptr);
    watch = std::make_shared<agent::draining_watch>(shared);
    link = std::make_shared<agent::proxy_link>(shared, watch);
    feed = std::make_shared<agent::config_feed>(shared, watch, [] { return std::int64_t{0}; });
    link->set_feed(feed);
    shared->freshness.confirm(shared->runtime.now());
  }
  // The configuration age in the reply to a poll. The poll is a proxy's if `http` is set, otherwise a peer's.
  std::int64_t age(const std::string& http) {
    rpc::config_update_request request;
    request.node = http.empty() ? "peer" : "a:proxy";
    request.http = http;
    auto age = std::make_shared<std::optional<std::int64_t>>();
    shared->runtime.spawn([](std::shared_ptr<agent::proxy_link> from, rpc::config_update_request asked,
                             std::shared_ptr<std::optional<std::int64_t>> out) -> runtime::task<> {
      auto reply = co_await from->serve(std::move(asked));
      out->emplace(reply.age_milliseconds);
    }(link, request, age));
    REQUIRE(world.run_until([&] { return age->has_value(); }, runtime::second));
    return **age;
  }
};

}  // namespace

TEST_CASE("a restarted agent confirms its proxy's configuration only once it knows which engines drain") {
  restarted_agent here;
  CHECK(here.age("10.0.0.1:7001") == -1);
  // Peers need only the configuration, so their polls get its age at once.
  CHECK(here.age("") >= 0);
  here.shared->configs.set_engines({1, 1}, "[]");
  CHECK(here.age("10.0.0.1:7001") >= 0);
}
