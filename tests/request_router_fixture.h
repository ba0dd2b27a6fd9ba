// A simulated request router with storage nodes, engines of scripted behaviour and a client, using the
// platform's headers and formats.
#pragma once
#include <deque>

#include "ledger/program_ledger.h"
#include "platform/adapter.h"
#include "replica_group_fixture.h"
#include "router/request_router.h"

namespace herontally::tests {

using runtime::millisecond;

struct received_request {
  std::string engine, method, target, body;
  std::map<std::string, std::string> headers;
};

// How an engine handles its next request; by default it answers 200 with its seal.
struct behaviour {
  int status = 200;
  bool sealed = true, not_run = false, lost = false;
  // Of a stream: the number of its events, and the event in place of which the connection is cut (-1: none).
  int events = 0, break_after = -1;
  bool silent = false;              // accepts the request and never answers
  runtime::microseconds delay = 0;  // before the answer
  std::map<std::string, std::string> headers = {};
};

struct request_router_fixture {
  group stores;
  std::shared_ptr<router::request_router> node_router;
  routing::table table;
  nlohmann::json listed = nlohmann::json::array();
  std::vector<received_request> received;
  std::map<std::string, std::deque<behaviour>> next_behaviours;
  int attempts = 0;
  std::vector<runtime::microseconds> disconnected_at;  // times at which engines saw a client disconnect
  std::vector<http_api::writer> unanswered;            // writers of requests that are never answered

  explicit request_router_fixture(std::uint64_t seed) : stores(seed) {
    auto writer = stores.begin();
    auto runtime = stores.world.runtime_of("w");
    router::router_options options;
    options.zone = "z";
    logging::logger logger("w", [](auto&, auto&) {});
    node_router = std::make_shared<router::request_router>(runtime, logger, platform::make_adapter(),
                                                           ledger::program_ledger(writer),
                                                           ledger::operation_ledger(writer), options);
    runtime.http_serve("10.0.1.1:80", [node_router = node_router, runtime](runtime::inbound_request request,
                                                                           http_api::writer out) {
      runtime.spawn(node_router->serve(std::move(request), std::move(out)));
    });
    table.version = 1;
    for (auto* name : {"apps", "models"}) {
      routing::service service;
      service.name = name;
      table.services.push_back(service);
    }
    table.services[1].model.emplace();
    table.services[1].model->event_tokens = 4;
    add_route("/fetch/", "apps", routing::category::idempotent, 3);
    add_route("/write/", "apps", routing::category::mutating, 1);
    add_route("/turn/", "models", routing::category::streaming, 1);
    table.routes.back().stores_turns = true;
    table.routes.back().retention = 60000;
    stores.world.machine("client", "z");
    stores.world.boot("client");
  }
  void add_route(const std::string& prefix, const std::string& service, routing::category kind,
                 std::int64_t tries) {
    routing::route route;
    route.name = prefix;
    route.host = "h.example";
    route.prefix = prefix;
    route.kind = kind;
    route.deadline = 4000;
    route.latency_target = 400;
    route.max_attempts = tries;
    route.targets = {{service, 1}};
    table.routes.push_back(route);
  }
  void engine(const std::string& id, const std::string& service) {
    auto number = std::to_string(listed.size() + 1);
    std::string address = "10.0.2." + number + ":80";
    stores.world.machine(id, "z");
    stores.world.boot(id);
    stores.world.runtime_of(id).http_serve(
        address, [this, id](runtime::inbound_request request, http_api::writer out) {
          serve(id, std::move(request), std::move(out));
        });
    listed.push_back(platform_protocol::listed_engine{id, service, address, "z", "v1", 8, 0, false});
  }
  void begin() {
    node_router->set_routing(table, {});
    node_router->set_engines(listed.dump(), {});
    node_router->set_nodes(1, {1, 0});
  }
  void serve(const std::string& id, runtime::inbound_request request, http_api::writer out) {
    received.push_back({id, request.method, request.target, request.body, request.headers});
    behaviour action;
    if (!next_behaviours[id].empty()) {
      action = next_behaviours[id].front();
      next_behaviours[id].pop_front();
    }
    out->on_gone([this] { disconnected_at.push_back(stores.world.now()); });
    if (action.lost) return out->cut();
    if (action.silent) return unanswered.push_back(out);
    if (action.delay > 0)
      stores.world.runtime_of(id).after(action.delay, [this, id, action, request, out]() mutable {
        answer(id, action, std::move(request), std::move(out));
      });
    else
      answer(id, action, std::move(request), std::move(out));
  }
  void answer(const std::string& id, behaviour action, runtime::inbound_request request,
              http_api::writer out) {
    auto headers = action.headers;
    headers["X-Attempt-Id"] = request.headers["x-attempt-id"];
    if (action.sealed && action.status == 200) headers["X-Server-Seal"] = "seal";
    if (action.not_run) headers["X-Not-Executed"] = "1";
    if (action.events == 0) return out->reply({action.status, headers, "body of " + id});
    headers["Content-Type"] = "text/event-stream";
    out->start(action.status, headers);
    for (int number = 1; number <= action.events; ++number) {
      if (number == action.break_after) return out->cut();
      out->piece("id: " + std::to_string(number) + "\ndata: e" + std::to_string(number) + "\n\n");
    }
    out->finish();
  }
  struct outcome {
    int status = 0;  // 0: no response
    bool complete = false;
    std::map<std::string, std::string> headers;
    std::string body;
  };
  static runtime::task<outcome> ask(runtime::handle runtime, runtime::http_request request) {
    outcome result;
    runtime::http_stream stream(runtime, "10.0.1.1:80", std::move(request));
    while (true) {
      auto event = co_await stream.next(10 * second);
      if (!event || std::holds_alternative<runtime::http_failure>(*event)) co_return result;
      if (auto* head = std::get_if<runtime::http_head>(&*event)) {
        result.status = head->status;
        result.headers = head->headers;
      }
      if (auto* piece = std::get_if<runtime::http_piece>(&*event)) result.body += piece->bytes;
      if (std::holds_alternative<runtime::http_end>(*event)) {
        result.complete = true;
        co_return result;
      }
    }
  }
  std::string last_attempt() const { return "a" + std::to_string(attempts); }
  outcome request(const std::string& method, const std::string& path, const std::string& body,
                  std::map<std::string, std::string> headers = {}) {
    runtime::http_request outgoing;
    outgoing.method = method;
    outgoing.path = path;
    outgoing.body = body;
    outgoing.headers = std::move(headers);
    outgoing.headers["host"] = "h.example";
    ++attempts;
    outgoing.headers["X-Attempt-Id"] = last_attempt();
    outgoing.headers["X-Time-Left-Ms"] = "3000";
    return stores.run("client", ask(stores.world.runtime_of("client"), std::move(outgoing)));
  }
};

}  // namespace herontally::tests
