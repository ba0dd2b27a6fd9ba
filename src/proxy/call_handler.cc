#include "proxy/call_handler.h"

#include "runtime/breaks.h"
#include "serialization/bounded_json.h"

namespace herontally::proxy {

using http_api::reject;

namespace {

constexpr std::size_t max_key_bytes = 256;
constexpr int max_attempts = 3;
// Minimum timeout of a call at an engine, even if less time is left until its deadline.
constexpr microseconds min_call_time = 100 * millisecond;

std::string header_of(const runtime::inbound_request& request, const char* name) {
  auto found = request.headers.find(name);
  return found == request.headers.end() ? std::string() : found->second;
}

// An engine that fails before it starts work says so with `"ran": "no"` in the body of its 5xx response.
bool reports_not_run(const runtime::http_response& response) {
  if (response.status < 500) return false;
  auto body = serialization::parse_bounded_object(response.body);
  return body && serialization::text_member(*body, "ran") == "no";
}

call_outcome outcome_of(const runtime::http_outcome& result) {
  call_outcome outcome;
  if (auto* failed = std::get_if<runtime::http_failure>(&result)) {
    bool may_have_run = failed->sent && !broken("notrun");
    outcome.connection_failed = true;
    outcome.execution = may_have_run ? call_execution::unknown : call_execution::not_run;
    return outcome;
  }
  outcome.response = std::get<runtime::http_response>(result);
  if (reports_not_run(outcome.response))
    outcome.execution = call_execution::not_run;
  else if (outcome.response.status < 500)
    outcome.execution = call_execution::answered;
  return outcome;
}

}  // namespace

std::string content_type_of(const runtime::http_response& response) {
  auto type = response.headers.find("content-type");
  return type == response.headers.end() ? "application/json" : type->second;
}

std::optional<route_settings> call_handler::route_settings_of(const call_request& call) const {
  auto section = context_->config->partners.find(call.partner);
  if (section == context_->config->partners.end()) return std::nullopt;
  auto route = section->second.routes.find(call.route);
  if (route == section->second.routes.end()) return std::nullopt;
  auto application = section->second.applications.find(route->second.application);
  if (application == section->second.applications.end()) return std::nullopt;
  return route_settings{route->second, application->second};
}

std::optional<call_plan> call_handler::plan(const call_request& call, const route_settings& settings,
                                            std::vector<interning::symbol> avoid, int attempt) {
  auto& shared = *context_;
  call_plan_input input{call.partner,      call.key,       call.request_id,      call.body,
                        call.content_type, settings.route, settings.application, call.deadline};
  return plan_call(input, shared.make_planning_context(std::move(avoid), attempt), shared.engines.rows(),
                   shared.runtime.random());
}

bool call_handler::is_still_valid(const call_plan& plan) {
  auto& shared = *context_;
  auto& row = shared.engines.row(plan.destination);
  return shared.is_fresh() && shared.config->revision == plan.config_revision && row.is_usable() &&
         row.address == plan.address;
}

std::optional<call_request> call_handler::parse(const runtime::inbound_request& request,
                                                const http_api::writer& out, const std::string& partner,
                                                const std::string& route) const {
  auto& shared = *context_;
  call_request call;
  call.partner = partner;
  call.route = route;
  call.request_id = shared.node_settings.name + "-" + shared.runtime.random_name();
  call.body = request.body;
  call.out = out;
  auto settings = route_settings_of(call);
  if (!settings) {
    reject(out, 404, "no such route, or its application is gone", executed::no);
    return std::nullopt;
  }
  auto key = header_of(request, "idempotency-key");
  if (key.size() <= max_key_bytes) call.key = key;
  if (settings->route.effectful && call.key.empty()) {
    reject(out, 400, "an Idempotency-Key of 1 to 256 bytes is needed on this route", executed::no);
    return std::nullopt;
  }
  bool typed = request.headers.contains("content-type");
  call.content_type = typed ? header_of(request, "content-type") : "application/json";
  call.deadline = shared.runtime.now() + static_cast<microseconds>(settings->route.timeout_seconds * second);
  return call;
}

task<> call_handler::serve(runtime::inbound_request request, http_api::writer out, std::string partner,
                           std::string route) {
  auto self = shared_from_this();
  auto call = self->parse(request, out, partner, route);
  if (!call) co_return;
  bool effectful = self->route_settings_of(*call)->route.effectful;
  if (effectful)
    co_await self->serve_at_most_once(std::move(*call));
  else
    co_await self->serve_repeatable(std::move(*call));
}

task<call_outcome> call_handler::send(call_request call, call_plan plan) {
  auto shared = context_;
  auto engine = plan.destination;
  ++shared->engines.row(engine).sent_since_report;
  ++shared->engines.row(engine).in_flight;
  // Copies of the engine monitor share its state, so this one stays valid after the node is destroyed.
  in_flight_guard in_flight(
      [engines = shared->engines, engine]() mutable { --engines.row(engine).in_flight; });
  auto timeout = std::max<microseconds>(min_call_time, call.deadline - shared->runtime.now());
  auto result = co_await runtime::http_fetch(shared->runtime, plan.address, plan.request, timeout);
  auto outcome = outcome_of(result);
  if (outcome.execution == call_execution::unknown)
    shared->runtime.spawn(shared->hold_until_reported(std::move(in_flight), engine));
  else
    outcome.in_flight = std::move(in_flight);
  co_return outcome;
}

task<> call_handler::serve_repeatable(call_request call) {
  auto self = shared_from_this();
  auto shared = self->context_;
  std::vector<interning::symbol> avoid;
  for (int attempt = 1; attempt <= max_attempts && shared->is_fresh(); ++attempt) {
    auto settings = self->route_settings_of(call);
    if (!settings) break;
    auto plan = self->plan(call, *settings, avoid, attempt);
    if (!plan) break;
    avoid.push_back(plan->destination);
    auto outcome = co_await self->send(call, *plan);
    if (outcome.execution == call_execution::answered) {
      auto type = content_type_of(outcome.response);
      call.out->reply(
          {outcome.response.status, {{"Content-Type", type}, {"Receipt", "none"}}, outcome.response.body});
      co_return;
    }
    if (outcome.connection_failed) shared->engines.mark_unreachable(plan->destination);
  }
  shared->count_rejection("engines failed");
  reject(call.out, 503, "no engine answered the call", avoid.empty() ? executed::no : executed::unknown,
         shared->retry_after(1));
}

}  // namespace herontally::proxy
