// Parts of simulator::site that act as operators: the configuration documents, commands to cores (apply,
// evacuate, retire) and the polling of reported revisions.
#include "simulator/site_state.h"

namespace simulator {

observable_config site::observable_config_of(std::int64_t marker) const {
  auto& options = state_->options;
  observable_config next;
  next.marker = marker;
  next.prefix = "state " + std::to_string(marker) + " . " + options.prefix_text;
  next.keep_seconds = options.keep_seconds + options.keep_growth * (marker % 3);
  next.pulls = !options.min_cached_token_delta.is_null() && !(options.vary && marker % 4 == 3);
  if (options.vary && marker % 4 == 2) next.zero_weight_zone = "zone-c";
  return next;
}

json site::document(std::int64_t marker) const {
  auto& options = state_->options;
  auto observable = observable_config_of(marker);
  json model{{"weights", options.weights},
             {"block_tokens", 16},
             {"hash_seed", "seed"},
             {"minCachedTokenDelta", observable.pulls ? options.min_cached_token_delta : json(nullptr)},
             {"near_tie_tokens", 32},
             {"pull_seconds", 0.5},
             {"turns_per_engine", options.turns_per_engine},
             {"warm_seconds", options.warm_seconds},
             {"cold_turns", options.cold_turns}};
  auto budget = options.budget_tokens + options.budget_growth * std::min<std::int64_t>(marker, 20);
  json table{{"prefix_preference", options.prefix_preference}};
  if (!observable.zero_weight_zone.empty()) table["zone_weights"] = {{observable.zero_weight_zone, 0}};
  json partners;
  for (auto& each : options.partners) {
    json program{{"model", each.model},
                 {"table", "t"},
                 {"budget_tokens", budget},
                 {"turn_tokens", 64},
                 {"turn_seconds", 20},
                 {"keep_seconds", observable.keep_seconds},
                 {"shared_prefix", observable.prefix}};
    json routes;
    for (auto* kind : {&each.effectful, &each.plain})
      for (auto& name : *kind) {
        routes[name] = {{"application", each.application},
                        {"path", "/v1/work/" + std::to_string(marker)},
                        {"effectful", kind == &each.effectful},
                        {"receipt_seconds", options.receipt_seconds},
                        {"timeout_seconds", 4}};
        if (kind == &each.effectful) routes[name]["outcome_path"] = "/v1/outcome";
      }
    partners[each.name] = {
        {"models", {{each.model, model}}},
        {"applications", {{each.application, {{"calls_per_engine", 16}, {"warm_seconds", 1}}}}},
        {"tables", {{"t", table}}},
        {"programs", {{each.quick, program}, {each.slow, program}}},
        {"routes", routes}};
  }
  json shared{
      {"evacuated_zones", state_->evacuated},
      {"limits",
       {{"requests_per_client", 100000}, {"client_buffer_kilobytes", options.client_buffer_kilobytes}}}};
  return {{"shared", shared}, {"partners", partners}};
}

rt::task<operator_response> site::operate(std::string core, std::string method, std::string path,
                                          std::string body, std::string expected) {
  rt::http_request request;
  request.method = method;
  request.path = path;
  request.body = body;
  request.headers["Authorization"] = std::string("Bearer ") + operator_token;
  if (!expected.empty()) request.headers["If-Match"] = expected;
  auto runtime = callers();
  auto outcome = co_await rt::http_fetch(runtime, state_->machines.at(core).http, request, 9 * rt::second);
  operator_response response;
  if (auto* answer = std::get_if<rt::http_response>(&outcome)) {
    response.status = answer->status;
    response.body = json::parse(answer->body, nullptr, false);
  }
  co_return response;
}

rt::task<bool> site::apply_next(std::string core) {
  auto now = co_await operate(core, "GET", "/v1/desired", "", "");
  if (now.status != 200 || !now.body.is_object()) co_return false;
  std::int64_t marker = state_->next_marker++;
  json next = document(marker);
  // Evacuated zones and retirements stay as they are in the configuration; change_zone() and retire() change
  // them.
  for (auto* field : {"evacuated_zones", "retiring_storage"})
    if (now.body["desired"]["shared"].contains(field))
      next["shared"][field] = now.body["desired"]["shared"][field];
  state_->sim_oracle.config_offered(observable_config_of(marker));
  auto result =
      co_await operate(core, "PUT", "/v1/desired", next.dump(), std::to_string(now.body.value("version", 0)));
  if (result.status == 200)
    state_->sim_oracle.config_acknowledged(marker, result.body.value("revision", std::int64_t{0}));
  co_return result.status == 200;
}

rt::task<> site::apply_until_done() {
  bool done = false;
  for (int attempt = 0; attempt < 60 && !done; ++attempt) {
    auto cores = of_role("control_node");
    done = co_await apply_next(cores[static_cast<std::size_t>(attempt) % cores.size()]);
    if (!done) co_await callers().sleep(400 * rt::millisecond);
  }
}

rt::task<> site::change_zone(std::string zone, bool evacuate) {
  auto cores = of_role("control_node");
  for (int attempt = 0; attempt < 10; ++attempt) {
    auto asked = state_->sim_world.now();
    // An earlier command to begin may still be under way and be acknowledged between two attempts to end the
    // evacuation.
    if (!evacuate) state_->sim_oracle.evacuation_ending(zone);
    auto result = co_await operate(cores[static_cast<std::size_t>(attempt) % cores.size()],
                                   evacuate ? "PUT" : "DELETE", "/v1/zones/" + zone + "/evacuation", "", "");
    if (result.status == 200) {
      auto revision = result.body.value("revision", std::int64_t{0});
      if (evacuate)
        state_->sim_oracle.evacuation_begun(zone, asked, revision);
      else
        state_->sim_oracle.evacuation_ended(zone, revision);
      state_->sim_oracle.config_acknowledged(0, revision);
      co_return;
    }
    co_await callers().sleep(300 * rt::millisecond);
  }
}

rt::task<bool> site::retire(std::string node) {
  auto runtime = callers();
  for (int attempt = 0; attempt < 40; ++attempt) {
    auto cores = of_role("control_node");
    auto core = cores[static_cast<std::size_t>(attempt) % cores.size()];
    auto begun = co_await operate(core, "PUT", "/v1/storage/" + node + "/retirement", "", "");
    // 409: the retirement is under way already.
    bool under_way = begun.status == 200 || begun.status == 409;
    if (begun.status == 200)
      state_->sim_oracle.config_acknowledged(0, begun.body.value("revision", std::int64_t{0}));
    if (under_way) {
      auto end = co_await operate(core, "DELETE", "/v1/storage/" + node + "/retirement", "", "");
      if (end.status == 200) co_return true;
    }
    co_await runtime.sleep(500 * rt::millisecond);
  }
  co_return false;
}

rt::task<> site::watch_forever() {
  auto runtime = callers();
  auto poll = [](site* owner, std::string name, std::string address, std::string path) -> rt::task<> {
    auto asked = owner->where().now();
    rt::http_request request;
    request.path = path;
    request.headers["Authorization"] = std::string("Bearer ") + operator_token;
    auto outcome = co_await rt::http_fetch(owner->callers(), address, request, 2 * rt::second);
    auto* answer = std::get_if<rt::http_response>(&outcome);
    auto body = answer && answer->status == 200 ? json::parse(answer->body, nullptr, false) : json();
    // The answer counts even if the node was restarted meanwhile and the answer came from the earlier
    // process.
    if (body.is_object() && body.contains("revision"))
      owner->state_->sim_oracle.revision_reported(name, body["revision"], asked);
  };
  while (true) {
    for (auto* role : {"proxy", "agent", "control_node"})
      for (auto& name : of_role(role))
        runtime.spawn(poll(this, name, state_->machines.at(name).http,
                           role == std::string("control_node") ? "/v1/desired" : "/readyz"));
    co_await runtime.sleep(500 * rt::millisecond +
                           static_cast<microseconds>(runtime.draw(300 * rt::millisecond)));
  }
}

}  // namespace simulator
