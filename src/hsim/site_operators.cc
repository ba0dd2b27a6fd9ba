// The operators' side of a simulated site.
#include "hsim/site_state.h"

namespace hsim {

json site::document(std::int64_t marker) const {
  auto& choice = state_->choice;
  json model{{"weights", choice.weights},
             {"block_tokens", 16},
             {"hash_seed", "seed"},
             {"minCachedTokenDelta", choice.min_cached_token_delta},
             {"near_tie_tokens", 32},
             {"pull_seconds", 0.5},
             {"turns_per_engine", choice.turns_per_engine},
             {"warm_seconds", choice.warm_seconds},
             {"cold_turns", choice.cold_turns}};
  std::string prefix = "state " + std::to_string(marker) + " . " + choice.prefix_text;
  json program{
      {"model", "m"},
      {"table", "t"},
      {"budget_tokens", choice.budget_tokens + choice.budget_growth * std::min<std::int64_t>(marker, 20)},
      {"turn_tokens", 64},
      {"turn_seconds", 20},
      {"keep_seconds", choice.keep_seconds},
      {"shared_prefix", prefix}};
  json route{{"application", "app"},
             {"path", "/v1/work"},
             {"effectful", true},
             {"outcome_path", "/v1/outcome"},
             {"timeout_seconds", 4}};
  json partner{{"models", {{"m", model}}},
               {"applications", {{"app", {{"calls_per_engine", 16}, {"warm_seconds", 1}}}}},
               {"tables", {{"t", {{"prefix_preference", choice.prefix_preference}}}}},
               {"programs", {{"eligibility", program}, {"exchange", program}}},
               {"routes", {{"labels", route}, {"barcodes", route}}}};
  json shared{{"evacuated_zones", state_->evacuated}, {"limits", {{"visits_per_visitor", 100000}}}};
  return {{"shared", shared}, {"partners", {{"swanreach", partner}}}};
}

rt::task<operator_receipt> site::operate(std::string core, std::string method, std::string path,
                                         std::string body, std::string expected) {
  rt::http_request request;
  request.method = method;
  request.path = path;
  request.body = body;
  request.headers["Authorization"] = std::string("Bearer ") + operator_token;
  if (!expected.empty()) request.headers["If-Match"] = expected;
  auto runtime = callers();
  auto outcome = co_await rt::http_fetch(runtime, state_->places.at(core).http, request, 9 * rt::second);
  operator_receipt receipt;
  if (auto* answer = std::get_if<rt::http_receipt>(&outcome)) {
    receipt.status = answer->status;
    receipt.body = json::parse(answer->body, nullptr, false);
  }
  co_return receipt;
}

rt::task<bool> site::apply_next(std::string core) {
  auto now = co_await operate(core, "GET", "/v1/desired", "", "");
  if (now.status != 200 || !now.body.is_object()) co_return false;
  std::int64_t marker = state_->next_marker++;
  json next = document(marker);
  // The zones stay as the state has them; they are changed by calls of their own.
  if (now.body["desired"]["shared"].contains("evacuated_zones"))
    next["shared"]["evacuated_zones"] = now.body["desired"]["shared"]["evacuated_zones"];
  state_->judge.offer_prefix(marker, next["partners"]["swanreach"]["programs"]["exchange"]["shared_prefix"]);
  auto result =
      co_await operate(core, "PUT", "/v1/desired", next.dump(), std::to_string(now.body.value("version", 0)));
  if (result.status == 200) state_->judge.marker_acknowledged(marker);
  co_return result.status == 200;
}

rt::task<> site::apply_until_done() {
  bool done = false;
  for (int attempt = 0; attempt < 60 && !done; ++attempt) {
    auto cores = of_role("hcore");
    done = co_await apply_next(cores[static_cast<std::size_t>(attempt) % cores.size()]);
    if (!done) co_await callers().sleep(400 * rt::millisecond);
  }
}

rt::task<> site::change_zone(std::string zone, bool evacuate) {
  auto cores = of_role("hcore");
  if (!evacuate) state_->judge.evacuation_ended(zone);
  for (int attempt = 0; attempt < 10; ++attempt) {
    auto result = co_await operate(cores[static_cast<std::size_t>(attempt) % cores.size()],
                                   evacuate ? "PUT" : "DELETE", "/v1/zones/" + zone + "/evacuation", "", "");
    if (result.status == 200) {
      if (evacuate) state_->judge.evacuation_asked(zone);
      co_return;
    }
    co_await callers().sleep(300 * rt::millisecond);
  }
}

bool site::begin() {
  auto& self = *state_;
  boot_all();
  for (auto* kind : {"eligibility", "exchange"})
    self.judge.budget(kind, self.choice.budget_tokens + self.choice.budget_growth * 20, 64);
  bool begun = false, applied = false;
  json groups{{"core", json::array()}, {"store", json::array()}};
  for (auto& [name, spot] : self.places) {
    if (spot.role == "hcore" && groups["core"].size() < 3) groups["core"].push_back(spot.inner);
    if (spot.role == "hstore" && groups["store"].size() < 3) groups["store"].push_back(spot.inner);
  }
  callers().spawn([](site* own, std::string body, bool* done) -> rt::task<> {
    while (!*done) {
      auto result = co_await own->operate("core-1", "POST", "/v1/bootstrap", body, "");
      *done = result.status == 200;
      if (!*done) co_await own->callers().sleep(200 * rt::millisecond);
    }
  }(this, groups.dump(), &begun));
  if (!self.where.run_until([&] { return begun; }, 20 * rt::second)) return false;
  callers().spawn([](site* own, std::int64_t* marker, bool* done) -> rt::task<> {
    while (*marker < 2) {
      co_await own->apply_next("core-1");
      co_await own->callers().sleep(200 * rt::millisecond);
    }
    *done = true;
  }(this, &self.next_marker, &applied));
  if (!self.where.run_until([&] { return applied; }, 30 * rt::second)) return false;
  return self.where.run_until([&] { return doors_ready(); }, 20 * rt::second);
}

}  // namespace hsim
