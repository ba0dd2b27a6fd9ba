// The operator: configurations whole and in part, evacuations and retirements, sent again until the end is
// clear.
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

// Each version swaps one route between two services and has a route of its own.
version site::next_version(std::int64_t base) {
  version next;
  next.base = base;
  generation_ += 1 + static_cast<int>(where_.draw(3));
  ++marker_;
  next.generation = generation_;
  auto own = "/v" + std::to_string(next.generation) + "/";
  json routes = json::array({route("/turn/", "streaming", "models"), route("/stream/", "streaming", "models"),
                             route("/look/", "idempotent", "apps_a"), route("/write/", "mutating", "apps_a"),
                             route("/swap/", "idempotent", marker_ % 2 ? "apps_a" : "apps_b"),
                             route(own, "idempotent", "apps_b")});
  if (long_requests_) {
    auto long_route = route(long_prefix, "mutating", "apps_a");
    long_route["deadline_ms"] = long_time_left / millisecond;
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

// Any node, the same call again until its end is clear.
task<int> site::call(std::string method, std::string path, std::string body, std::string base,
                     std::string* read, microseconds most) {
  auto runtime = where_.runtime_of("operator");
  auto until = runtime.now() + most;
  int refused = 0;
  auto pause = 100 * millisecond;
  while (runtime.now() < until) {
    auto cores = of_role("core");
    runtime::http_request request;
    request.method = method;
    request.path = path;
    request.body = body;
    if (!base.empty()) request.headers["X-Base-Version"] = base;
    auto result =
        co_await runtime::http_fetch(runtime, control(cores[where_.draw(cores.size())]), request, second);
    auto* response = std::get_if<runtime::http_response>(&result);
    int status = response ? response->status : 0;
    if (response && read) *read = response->body;
    static const std::set<int> final{400, 409, 412, 413, 422};
    bool other = status >= 400 && status < 500 && status != 408 && status != 429;
    if (status / 100 == 2 || final.count(status) || (other && ++refused == 3)) co_return status;
    co_await runtime.sleep(pause);
    pause = std::min<microseconds>(pause * 2, second);
  }
  co_return 0;
}

// One question to one core; the answer is judged by what was acknowledged before it was asked.
task<> site::read_at(std::string core) {
  auto runtime = where_.runtime_of("operator");
  auto asked = where_.now();
  runtime::http_request request;
  request.path = "/-/config/read";
  auto result = co_await runtime::http_fetch(runtime, control(core), request, second);
  auto* response = std::get_if<runtime::http_response>(&result);
  if (response && response->status == 200) judge_.read_during(core, asked, response->body);
}

task<> site::read_forever(microseconds until) {
  auto runtime = where_.runtime_of("operator");
  while (where_.now() < until) {
    auto cores = of_role("core");
    runtime.spawn(read_at(cores[where_.draw(cores.size())]));
    co_await runtime.sleep(static_cast<microseconds>(where_.draw(400)) * millisecond);
  }
}

void site::read_until(microseconds until) { where_.runtime_of("operator").spawn(read_forever(until)); }

task<int> site::change(version next, bool partial) {
  auto base = std::to_string(next.base);
  auto generation = next.generation;
  auto body = next.body;
  if (partial) {
    auto whole = json::parse(body);
    json removed = json::array();
    // What the version beneath has beyond this one. Named: a part of a temporary wouldn't outlive the loop's
    // head.
    auto beneath = json::parse(bodies_.at(next.base));
    for (auto& each : beneath["routing"])
      if (!next.routes.count(each["path_prefix"])) removed.push_back(each["label"]);
    body = json{{"generation", generation},
                {"upsert", {{"routing", whole["routing"]}}},
                {"remove", {{"routing", removed}}}}
               .dump();
  }
  bodies_[generation] = next.body;
  judge_.change_sent(next);
  auto status = co_await call("POST", partial ? "/-/config/amend" : "/-/config/replace", body, base, nullptr,
                              20 * second);
  judge_.change_ended(generation, status);
  tell("version " + std::to_string(generation) + " on " + base + ": " + std::to_string(status));
  if (status == 200) current = std::max(current, generation);
  co_return status;
}

task<bool> site::change_zone(std::string zone, bool begin) {
  if (!begin) judge_.zone_finishing(zone);
  auto status = co_await call("POST", "/-/evacuation/" + zone + (begin ? "/begin" : "/finish"), "", "",
                              nullptr, 4 * second);
  if (begin && status / 100 == 2) judge_.zone_begun(zone);
  tell((begin ? "evacuation of " : "end of the evacuation of ") + zone + ": " + std::to_string(status));
  co_return status / 100 == 2;
}

task<> site::retire(std::string store) {
  auto runtime = where_.runtime_of("operator");
  auto status =
      co_await call("POST", "/-/retire/" + store + "/begin", "{\"over_s\":10}", "", nullptr, 4 * second);
  tell("retirement of " + store + ": " + std::to_string(status));
  if (status / 100 != 2) co_return;
  for (int turn = 0; turn < 60; ++turn) {
    co_await runtime.sleep(500 * millisecond);
    std::string body;
    status = co_await call("GET", "/-/retire/" + store + "/read", "", "", &body, 2 * second);
    if (status != 200 || json::parse(body).value("phase", "") != "complete") continue;
    take_away(store);
    tell(store + " is taken away");
    co_return;
  }
  tell(store + " is not emptied");
}

}  // namespace herontally::platform_simulator
