// A request router with its storage machines, engines that do as they are told, and a client: all simulated,
// in the platform's words.
#pragma once
#include <deque>

#include "ledger/program_ledger.h"
#include "platform/adapter.h"
#include "replica_group_fixture.h"
#include "router/request_router.h"

namespace herontally::tests {

using runtime::millisecond;

struct seen_request {
  std::string engine, method, target, body;
  std::map<std::string, std::string> headers;
};

// What an engine does with its next request; by default it answers.
struct behaviour {
  int status = 200;
  bool sealed = true, not_run = false, lost = false;
  int events = 0, break_after = -1;  // of a stream
  bool silent = false;               // takes the request and never answers
  runtime::microseconds delay = 0;   // before the answer
  std::map<std::string, std::string> headers = {};
};

struct request_router_fixture {
  group stores;
  std::shared_ptr<router::request_router> node_router;
  routing::table table;
  nlohmann::json listed = nlohmann::json::array();
  std::vector<seen_request> seen;
  std::map<std::string, std::deque<behaviour>> next;
  int attempts = 0;
  std::vector<runtime::microseconds> gone_at;  // when engines were told that their request's sender left
  std::vector<http_api::writer> held;          // of requests that are never answered

  explicit request_router_fixture(std::uint64_t seed) : stores(seed) {
    auto writer = stores.begin();
    auto runtime = stores.world.runtime_of("w");
    router::router_options choice;
    choice.zone = "z";
    logging::logger logger("w", [](auto&, auto&) {});
    node_router = std::make_shared<router::request_router>(runtime, logger, platform::make_adapter(),
                                                           ledger::program_ledger(writer),
                                                           ledger::operation_ledger(writer), choice);
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
    table.routes.back().kept = true;
    table.routes.back().keep = 60000;
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
    route.tries = tries;
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
    seen.push_back({id, request.method, request.target, request.body, request.headers});
    behaviour act;
    if (!next[id].empty()) {
      act = next[id].front();
      next[id].pop_front();
    }
    out->on_gone([this] { gone_at.push_back(stores.world.now()); });
    if (act.lost) return out->cut();
    if (act.silent) return held.push_back(out);
    if (act.delay > 0)
      stores.world.runtime_of(id).after(act.delay, [this, id, act, request, out]() mutable {
        answer(id, act, std::move(request), std::move(out));
      });
    else
      answer(id, act, std::move(request), std::move(out));
  }
  void answer(const std::string& id, behaviour act, runtime::inbound_request request, http_api::writer out) {
    auto headers = act.headers;
    headers["X-Attempt-Id"] = request.headers["x-attempt-id"];
    if (act.sealed && act.status == 200) headers["X-Server-Seal"] = "seal";
    if (act.not_run) headers["X-Not-Executed"] = "1";
    if (act.events == 0) return out->reply({act.status, headers, "body of " + id});
    headers["Content-Type"] = "text/event-stream";
    out->start(act.status, headers);
    for (int number = 1; number <= act.events; ++number) {
      if (number == act.break_after) return out->cut();
      out->piece("id: " + std::to_string(number) + "\ndata: e" + std::to_string(number) + "\n\n");
    }
    out->finish();
  }
  struct outcome {
    int status = 0;  // 0: no answer
    bool whole = false;
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
        result.whole = true;
        co_return result;
      }
    }
  }
  std::string last_attempt() const { return "a" + std::to_string(attempts); }
  outcome request(const std::string& method, const std::string& path, const std::string& body,
                  std::map<std::string, std::string> headers = {}) {
    runtime::http_request asked;
    asked.method = method;
    asked.path = path;
    asked.body = body;
    asked.headers = std::move(headers);
    asked.headers["host"] = "h.example";
    ++attempts;
    asked.headers["X-Attempt-Id"] = last_attempt();
    asked.headers["X-Time-Left-Ms"] = "3000";
    return stores.run("client", ask(stores.world.runtime_of("client"), std::move(asked)));
  }
};

}  // namespace herontally::tests
