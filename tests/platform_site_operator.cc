// The operator: sends whole configurations, amendments, evacuations and retirements, and repeats each call
// until its result is clear.
#include "platform_site.h"

namespace herontally::platform_simulator {

static json route(const std::string& prefix, const std::string& kind, const std::string& service) {
  json out{{"label", "r" + prefix},
           {"authority", "h.example"},
           {"path_prefix", prefix},
           {"category", kind},
           {"deadline_ms", kind == "streaming" ? 4000 : 3000},
           {"target_ms", 400},
           {"urgency", 1},
           {"backend", service},
           {"tries", kind == "idempotent" ? 3 : 1}};
  if (prefix == "/turn/") {
    out["retained"] = true;
    out["retain_s"] = 60.0;
  }
  return out;
}

static route_shape shape_of(const json& from) {
  return {from["category"], from.value("retained", false), {from["backend"].get<std::string>()}};
}

// Each version moves one route between two services and has a route that only it and the next one have.
version site::next_version(std::int64_t base) {
  version next;
  next.base = base;
  generation_ += 1 + static_cast<int>(world_.draw(3));
  ++version_count_;
  next.generation = generation_;
  auto own = "/v" + std::to_string(next.generation) + "/";
  json routes = json::array({route("/turn/", "streaming", "models"), route("/stream/", "streaming", "models"),
                             route("/look/", "idempotent", "apps_a"), route("/write/", "mutating", "apps_a"),
                             route("/swap/", "idempotent", version_count_ % 2 ? "apps_a" : "apps_b"),
                             route(own, "idempotent", "apps_b")});
  if (long_requests_) {
    auto long_route = route(long_prefix, "mutating", "apps_a");
    long_route["deadline_ms"] = long_timeout / millisecond;
    long_route["target_ms"] = 1200;
    routes.push_back(long_route);
  }
  if (base > 0) routes.push_back(route("/v" + std::to_string(base) + "/", "idempotent", "apps_b"));
  json services = json::array();
  for (auto* name : {"models", "apps_a", "apps_b"}) {
    json service{{"label", name},
                 {"probe", "/health"},
                 {"max_conns", 64},
                 {"warmup_s", 3.0},
                 {"warmup_per_s", static_cast<double>(cold_rate)}};
    if (std::string(name) == "models")
      service["engine"] = {{"capacity", 8},
                           {"cache_tokens", 100000},
                           {"chunk", chunk},
                           {"catalog", json::array({{{"label", "m"}}})}};
    services.push_back(service);
  }
  for (auto& each : routes) next.routes[each["path_prefix"]] = shape_of(each);
  json caps{{"header_bytes", 16384}, {"body_bytes", 4194304}, {"header_ms", 3000}, {"idle_ms", 15000}};
  next.body =
      json{{"generation", next.generation}, {"routing", routes}, {"backends", services}, {"caps", caps}}
          .dump();
  return next;
}

// A call may go to any core; the same call is sent again until its result is clear.
task<int> site::call(std::string method, std::string path, std::string body, std::string base,
                     std::string* response_body, microseconds timeout) {
  auto runtime = world_.runtime_of("operator");
  auto until = runtime.now() + timeout;
  int refused = 0;
  auto pause = 100 * millisecond;
  while (runtime.now() < until) {
    auto cores = machines_of_role("core");
    runtime::http_request request;
    request.method = method;
    request.path = path;
    request.body = body;
    if (!base.empty()) request.headers["X-Base-Version"] = base;
    auto result =
        co_await runtime::http_fetch(runtime, control(cores[world_.draw(cores.size())]), request, second);
    auto* response = std::get_if<runtime::http_response>(&result);
    int status = response ? response->status : 0;
    if (response && response_body) *response_body = response->body;
    static const std::set<int> final{400, 409, 412, 413, 422};
    bool other = status >= 400 && status < 500 && status != 408 && status != 429;
    if (status / 100 == 2 || final.count(status) || (other && ++refused == 3)) co_return status;
    co_await runtime.sleep(pause);
    pause = std::min<microseconds>(pause * 2, second);
  }
  co_return 0;
}

// Reads from one core; the response is checked against what was acknowledged before the request was sent.
task<> site::read_from(std::string core) {
  auto runtime = world_.runtime_of("operator");
  auto asked = world_.now();
  runtime::http_request request;
  request.path = "/-/config/read";
  auto result = co_await runtime::http_fetch(runtime, control(core), request, second);
  auto* response = std::get_if<runtime::http_response>(&result);
  if (response && response->status == 200) rule_oracle_.configuration_read(core, asked, response->body);
}

task<> site::read_configurations_until(microseconds until) {
  auto runtime = world_.runtime_of("operator");
  while (world_.now() < until) {
    auto cores = machines_of_role("core");
    runtime.spawn(read_from(cores[world_.draw(cores.size())]));
    co_await runtime.sleep(static_cast<microseconds>(world_.draw(400)) * millisecond);
  }
}

void site::start_reads(microseconds until) {
  world_.runtime_of("operator").spawn(read_configurations_until(until));
}

task<int> site::change(version next, bool partial) {
  auto base = std::to_string(next.base);
  auto generation = next.generation;
  auto body = next.body;
  if (partial) {
    auto whole = json::parse(body);
    json removed = json::array();
    // Removes the routes of the base version that this one doesn't have. The document needs a name: a loop
    // over a part of a temporary would use it after its end.
    auto base_document = json::parse(sent_bodies_.at(next.base));
    for (auto& each : base_document["routing"])
      if (!next.routes.count(each["path_prefix"])) removed.push_back(each["label"]);
    body = json{{"generation", generation},
                {"upsert", {{"routing", whole["routing"]}}},
                {"remove", {{"routing", removed}}}}
               .dump();
  }
  sent_bodies_[generation] = next.body;
  rule_oracle_.change_sent(next);
  auto status = co_await call("POST", partial ? "/-/config/amend" : "/-/config/replace", body, base, nullptr,
                              20 * second);
  rule_oracle_.change_ended(generation, status);
  log_event("version " + std::to_string(generation) + " on " + base + ": " + std::to_string(status));
  if (status == 200) acknowledged_version = std::max(acknowledged_version, generation);
  co_return status;
}

task<bool> site::change_evacuation(std::string zone, bool begin) {
  if (!begin) rule_oracle_.evacuation_ending(zone);
  auto status = co_await call("POST", "/-/evacuation/" + zone + (begin ? "/begin" : "/finish"), "", "",
                              nullptr, 4 * second);
  if (begin && status / 100 == 2) rule_oracle_.evacuation_begun(zone);
  log_event((begin ? "evacuation of " : "end of the evacuation of ") + zone + ": " + std::to_string(status));
  co_return status / 100 == 2;
}

task<> site::retire(std::string store) {
  auto runtime = world_.runtime_of("operator");
  auto status =
      co_await call("POST", "/-/retire/" + store + "/begin", "{\"over_s\":10}", "", nullptr, 4 * second);
  log_event("retirement of " + store + ": " + std::to_string(status));
  if (status / 100 != 2) co_return;
  for (int turn = 0; turn < 60; ++turn) {
    co_await runtime.sleep(500 * millisecond);
    std::string body;
    status = co_await call("GET", "/-/retire/" + store + "/read", "", "", &body, 2 * second);
    if (status != 200 || json::parse(body).value("phase", "") != "complete") continue;
    remove_machine(store);
    log_event(store + " is removed");
    co_return;
  }
  log_event(store + " is not emptied");
}

}  // namespace herontally::platform_simulator
