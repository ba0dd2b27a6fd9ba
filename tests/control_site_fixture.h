// Test fixture: control nodes and storage nodes in the simulator, with the platform's adapter, a server for
// the platform's engine list, and an operator that calls the control nodes.
#pragma once
#include <algorithm>
#include <catch2/catch.hpp>

#include "control_node/node.h"
#include "platform/operator_calls.h"
#include "simulator/world.h"
#include "storage_node/node.h"

namespace herontally::tests {

using json = nlohmann::json;
using runtime::millisecond;
using runtime::second;

// A simulated deployment. Nodes are named c1, c2, ... (control) and s1, s2, ... (storage); each has a zone of
// its own, z1, z2, ...
struct control_site {
  simulator::world world;
  std::shared_ptr<platform_protocol::adapter> adapter = std::make_shared<platform_protocol::adapter>();
  std::map<std::string, std::vector<std::string>> logged_events;  // by node, over all its starts
  std::vector<std::string> list_queries;           // of the requests for the platform's engine list
  std::map<std::string, logging::logger> loggers;  // of each node's latest start
  // That the groups of voters must tolerate. Set before the nodes are booted.
  std::int64_t machine_losses = 1;
  json page_two = json::array();  // the engines on the second page of the platform's list; the first is empty
  int list_status = 200;          // of the platform's answers
  bool seeds_in_own_order = false;  // each node's settings list the seeds in another order

  explicit control_site(std::uint64_t seed) : world(seed) {
    platform::fill_operators(*adapter);
    world.machine("operator", "");
    world.boot("operator");
    world.machine("platform", "");
    world.boot("platform");
    world.runtime_of("platform").http_serve("10.0.2.1:80", [this](auto incoming, auto out) {
      list_queries.push_back(incoming.query);
      bool first = incoming.query.empty();
      json body{{"servers", first ? json::array() : page_two}};
      if (first) body["next_token"] = "more";
      out->reply({list_status, {}, body.dump()});
    });
  }
  static std::string inner(const std::string& name) {
    return "10.0." + std::string(name[0] == 'c' ? "0." : "1.") + name.substr(1) + ":7000";
  }
  static std::string control(const std::string& name) { return "10.0.0." + name.substr(1) + ":8144"; }
  template <class Node, class... More>
  void boot(const std::string& name, const std::string& role, bool founding, More... more) {
    world.machine(name, "z" + name.substr(1));
    world.boot(name);
    settings::settings node_settings;
    node_settings.name = name;
    node_settings.zone = "z" + name.substr(1);
    node_settings.inner = inner(name);
    node_settings.http = node_settings.inner.substr(0, node_settings.inner.size() - 4) + "8000";
    node_settings.control = role == "control_node" ? control(name) : "";
    node_settings.seeds = {inner("c1"), inner("c2"), inner("c3")};
    auto& seeds = node_settings.seeds;
    if (seeds_in_own_order) std::rotate(seeds.begin(), seeds.begin() + (name[1] - '0') % 3, seeds.end());
    node_settings.data = "data";
    node_settings.platform = "10.0.2.1:80";
    node_settings.may_found_groups = founding;
    node_settings.machine_losses = machine_losses;
    node_settings.list_rate = 40;
    logging::logger logger(name, [this, name](const std::string&, const json& line) {
      logged_events[name].push_back(line["event"]);
    });
    loggers.insert_or_assign(name, logger);
    auto node = std::make_shared<Node>(world.runtime_of(name), node_settings, logger, more...);
    world.find(name).node = node;
    world.runtime_of(name).spawn(
        [](std::shared_ptr<Node> started) -> runtime::task<> { co_await started->start(); }(node));
  }
  void boot_core(const std::string& name, bool founding = true) {
    std::shared_ptr<const platform_protocol::adapter> const_adapter = adapter;
    boot<control_node::node>(name, "control_node", founding, const_adapter);
  }
  void boot_store(const std::string& name) { boot<storage_node::node>(name, "storage_node", false); }
  void boot_all() {
    for (auto name : {"c1", "c2", "c3"}) boot_core(name);
    for (auto name : {"s1", "s2", "s3"}) boot_store(name);
  }
  // How often the event was logged by all nodes together.
  int logged(const std::string& event) {
    int count = 0;
    for (auto& [name, events] : logged_events)
      count += static_cast<int>(std::count(events.begin(), events.end(), event));
    return count;
  }
  // The largest value of the metric at any node.
  double largest_gauge(const std::string& name) {
    double largest = 0;
    for (auto& [node, logger] : loggers) largest = std::max(largest, logger.value(name));
    return largest;
  }
  // How many nodes logged the event.
  std::size_t count_nodes_that_logged(const std::string& event) {
    std::size_t count = 0;
    for (auto& [name, events] : logged_events)
      count += std::find(events.begin(), events.end(), event) != events.end() ? 1 : 0;
    return count;
  }
  // Empty until the response is there. Status 0: the call failed.
  using pending_response = std::shared_ptr<std::optional<runtime::http_response>>;
  // Sends an operator's call without waiting for the response. `base`: the version that the change builds on.
  pending_response start_call(const std::string& core, const std::string& method, const std::string& path,
                              const std::string& body = "", const std::string& base = "",
                              runtime::microseconds timeout = second) {
    auto out = std::make_shared<std::optional<runtime::http_response>>();
    runtime::http_request request;
    request.method = method;
    request.path = path;
    request.body = body;
    if (!base.empty()) request.headers["X-Base-Version"] = base;
    world.runtime_of("operator")
        .spawn([](runtime::handle runtime, std::string address, runtime::http_request request,
                  pending_response out, runtime::microseconds timeout) -> runtime::task<> {
          auto result = co_await runtime::http_fetch(runtime, address, request, timeout);
          auto* response = std::get_if<runtime::http_response>(&result);
          out->emplace(response ? *response : runtime::http_response{0, {}, ""});
        }(world.runtime_of("operator"), control(core), request, out, timeout));
    return out;
  }
  // Makes one operator's call and waits for its response.
  runtime::http_response ask(const std::string& core, const std::string& method, const std::string& path,
                             const std::string& body = "", const std::string& base = "") {
    auto out = start_call(core, method, path, body, base);
    REQUIRE(world.run_until([&] { return out->has_value(); }, 5 * second));
    return **out;
  }
  // Repeats the call, as an operator does, until its status is below 500, and returns that; 0: there was none
  // in 60 attempts.
  int status(const std::string& core, const std::string& method, const std::string& path,
             const std::string& body = "", const std::string& base = "") {
    for (int attempt = 0; attempt < 60; ++attempt) {
      int code = ask(core, method, path, body, base).status;
      if (code > 0 && code < 500) return code;
      world.run_for(250 * millisecond);
    }
    return 0;
  }
  // A configuration with one route and one backend, as the platform's operators send it.
  static std::string table(int version, const std::string& label = "talk") {
    json route{{"label", label},           {"authority", "a.example"}, {"path_prefix", "/" + label + "/"},
               {"category", "idempotent"}, {"deadline_ms", 1000},      {"backend", "chat"}};
    return json{{"generation", version},
                {"routing", json::array({route})},
                {"backends", json::array({{{"label", "chat"}, {"probe", "/health"}}})}}
        .dump(1);
  }
};

}  // namespace herontally::tests
