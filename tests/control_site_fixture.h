// Three cores and storage machines in the simulated world, with the platform's words.
#pragma once
#include <catch2/catch.hpp>

#include "control_node/node.h"
#include "platform/operator_calls.h"
#include "simulator/world.h"
#include "storage_node/node.h"

namespace herontally::tests {

using json = nlohmann::json;
using runtime::millisecond;
using runtime::second;

struct control_site {
  simulator::world world;
  std::shared_ptr<platform_protocol::adapter> words = std::make_shared<platform_protocol::adapter>();
  std::map<std::string, std::vector<std::string>> lines;  // what each node logged, over all its lives
  std::vector<std::string> asked;                         // of the platform's list
  std::map<std::string, logging::logger> loggers;         // of each node's newest life
  std::int64_t machine_losses = 1;                        // that the groups have to bear
  json page_two = json::array();
  int list_status = 200;

  explicit control_site(std::uint64_t seed) : world(seed) {
    platform::fill_operators(*words);
    world.machine("operator", "");
    world.boot("operator");
    world.machine("platform", "");
    world.boot("platform");
    world.runtime_of("platform").http_serve("10.0.2.1:80", [this](auto incoming, auto out) {
      asked.push_back(incoming.query);
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
    settings::settings place;
    place.name = name;
    place.zone = "z" + name.substr(1);
    place.inner = inner(name);
    place.http = place.inner.substr(0, place.inner.size() - 4) + "8000";
    place.control = role == "control_node" ? control(name) : "";
    place.seeds = {inner("c1"), inner("c2"), inner("c3")};
    place.data = "data";
    place.platform = "10.0.2.1:80";
    place.founding = founding;
    place.machine_losses = machine_losses;
    place.list_rate = 40;
    logging::logger logger(
        name, [this, name](const std::string&, const json& line) { lines[name].push_back(line["event"]); });
    loggers.insert_or_assign(name, logger);
    auto node = std::make_shared<Node>(world.runtime_of(name), place, logger, more...);
    world.find(name).node = node;
    world.runtime_of(name).spawn(
        [](std::shared_ptr<Node> started) -> runtime::task<> { co_await started->start(); }(node));
  }
  void boot_core(const std::string& name, bool founding = true) {
    std::shared_ptr<const platform_protocol::adapter> speech = words;
    boot<control_node::node>(name, "control_node", founding, speech);
  }
  void boot_store(const std::string& name) { boot<storage_node::node>(name, "storage_node", false); }
  void boot_all() {
    for (auto name : {"c1", "c2", "c3"}) boot_core(name);
    for (auto name : {"s1", "s2", "s3"}) boot_store(name);
  }
  int logged(const std::string& event) {
    int count = 0;
    for (auto& [name, events] : lines)
      count += static_cast<int>(std::count(events.begin(), events.end(), event));
    return count;
  }
  // The largest that any node shows.
  double largest_gauge(const std::string& name) {
    double largest = 0;
    for (auto& [node, logger] : loggers) largest = std::max(largest, logger.value(name));
    return largest;
  }
  std::size_t nodes_that(const std::string& event) {
    std::size_t count = 0;
    for (auto& [name, events] : lines)
      count += std::find(events.begin(), events.end(), event) != events.end() ? 1 : 0;
    return count;
  }
  using answer = std::shared_ptr<std::optional<runtime::http_response>>;
  answer begin(const std::string& core, const std::string& method, const std::string& path,
               const std::string& body = "", const std::string& base = "",
               runtime::microseconds timeout = second) {
    auto out = std::make_shared<std::optional<runtime::http_response>>();
    runtime::http_request request;
    request.method = method;
    request.path = path;
    request.body = body;
    if (!base.empty()) request.headers["X-Base-Version"] = base;
    world.runtime_of("operator")
        .spawn([](runtime::handle runtime, std::string address, runtime::http_request request, answer out,
                  runtime::microseconds timeout) -> runtime::task<> {
          auto result = co_await runtime::http_fetch(runtime, address, request, timeout);
          auto* response = std::get_if<runtime::http_response>(&result);
          out->emplace(response ? *response : runtime::http_response{0, {}, ""});
        }(world.runtime_of("operator"), control(core), request, out, timeout));
    return out;
  }
  runtime::http_response ask(const std::string& core, const std::string& method, const std::string& path,
                             const std::string& body = "", const std::string& base = "") {
    auto out = begin(core, method, path, body, base);
    REQUIRE(world.run_until([&] { return out->has_value(); }, 5 * second));
    return **out;
  }
  // As an operator does: again until there is a clear answer.
  int status(const std::string& core, const std::string& method, const std::string& path,
             const std::string& body = "", const std::string& base = "") {
    for (int turn = 0; turn < 60; ++turn) {
      int seen = ask(core, method, path, body, base).status;
      if (seen > 0 && seen < 500) return seen;
      world.run_for(250 * millisecond);
    }
    return 0;
  }
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
