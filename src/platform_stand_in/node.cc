// Endpoints of the platform stand-in: the engine list, its changes, and the readiness of nodes.
#include "platform_stand_in/node.h"

#include "http_api/responses.h"

namespace herontally::platform_stand_in {

using json = nlohmann::json;
using runtime::microseconds;
using runtime::millisecond;
using runtime::second;
using runtime::task;

struct node::state : std::enable_shared_from_this<node::state> {
  runtime::handle runtime;
  options config;
  logging::logger logger;
  json visible_engines;
  std::map<std::string, bool> ready_by_address;
  bool silent = false;

  state(runtime::handle handle, options initial, logging::logger log)
      : runtime(std::move(handle)),
        config(std::move(initial)),
        logger(std::move(log)),
        visible_engines(config.engines) {}

  // Replaces the engine list; clients see it after the configured delay.
  void schedule_engines(json engines) {
    config.engines = engines;
    std::weak_ptr<state> weak = weak_from_this();
    runtime.after(static_cast<microseconds>(config.late_milliseconds * 1000), [weak, engines] {
      if (auto here = weak.lock()) here->visible_engines = engines;
    });
  }

  static task<> check_node(std::shared_ptr<state> self, std::string address) {
    runtime::http_request request;
    request.path = "/readyz";
    auto result = co_await runtime::http_fetch(self->runtime, address, request, 800 * millisecond);
    auto* response = std::get_if<runtime::http_response>(&result);
    self->ready_by_address[address] = response && response->status == 200;
  }
  // Checks every node each second, for as long as the process runs.
  static task<> check_nodes(std::shared_ptr<state> self) {
    while (true) {
      for (auto& address : self->config.nodes) self->runtime.spawn(check_node(self, address));
      co_await self->runtime.sleep(second);
    }
  }

  void serve_request(const runtime::inbound_request& incoming, const http_api::writer& out) {
    if (silent) return out->cut();
    if (http_api::serve_common_endpoints(incoming, out, logger, true)) return;
    if (incoming.path == "/v1/engines" && incoming.method == "GET")
      return http_api::reply_json(out, 200, {{"engines", visible_engines}});
    if (incoming.path == "/v1/nodes" && incoming.method == "GET")
      return http_api::reply_json(out, 200, {{"ready", ready_by_address}});
    if (incoming.path == "/v1/engines" && incoming.method == "PUT") {
      auto body = json::parse(incoming.body, nullptr, false);
      if (!body.is_object() || !body.contains("engines") || !body["engines"].is_array())
        return http_api::reject(out, 400, "engines must be a list", http_api::executed::no);
      schedule_engines(body["engines"]);
      return http_api::reply_json(out, 200, {{"taken", true}});
    }
    auto parts = http_api::split_path(incoming.path);
    if (parts.size() == 4 && parts[1] == "engines" && incoming.method == "POST") {
      json engines = json::array();
      for (auto entry : config.engines) {
        if (entry["name"] == parts[2] && parts[3] == "remove") continue;
        if (entry["name"] == parts[2]) entry["state"] = parts[3] == "leave" ? "leaving" : "running";
        engines.push_back(entry);
      }
      schedule_engines(engines);
      return http_api::reply_json(out, 200, {{"taken", true}});
    }
    http_api::reject(out, 404, "no such page", http_api::executed::no);
  }
};

node::node(runtime::handle runtime, options config, logging::logger logger)
    : state_(std::make_shared<state>(std::move(runtime), std::move(config), std::move(logger))) {}
node::~node() = default;
void node::set_engines(json engines) { state_->schedule_engines(std::move(engines)); }
void node::upset(bool silent, double late_milliseconds) {
  state_->silent = silent;
  state_->config.late_milliseconds = late_milliseconds;
}
const json& node::engines() const { return state_->config.engines; }

task<std::optional<std::string>> node::start() {
  std::weak_ptr<state> weak = state_;
  bool served = state_->runtime.http_serve(state_->config.http,
                                           [weak](runtime::inbound_request incoming, http_api::writer out) {
                                             if (auto here = weak.lock()) here->serve_request(incoming, out);
                                           });
  if (!served) co_return "can't listen on the http address: " + state_->config.http;
  state_->runtime.spawn(state::check_nodes(state_));
  co_return std::nullopt;
}

task<> node::leave() { co_return; }

}  // namespace herontally::platform_stand_in
