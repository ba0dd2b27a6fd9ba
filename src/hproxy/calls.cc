// Calls of the partners' own applications: what they have in common, and those without effects.
#include "hproxy/call_parts.h"

namespace herontally::hproxy {

// The route and its application as they are now; nothing when one of them is gone.
std::optional<call_terms> node::state::terms_of(const call_request& incoming) const {
  auto section = desired->partners.find(incoming.partner);
  if (section == desired->partners.end()) return std::nullopt;
  auto route = section->second.routes.find(incoming.route);
  if (route == section->second.routes.end()) return std::nullopt;
  auto application = section->second.applications.find(route->second.application);
  if (application == section->second.applications.end()) return std::nullopt;
  return call_terms{route->second, application->second};
}

std::optional<gateway::call_plan> node::state::plan_attempt(const call_request& incoming,
                                                            const call_terms& terms,
                                                            std::vector<interning::symbol> avoid,
                                                            int attempt) {
  gateway::call_subject subject{incoming.partner,      incoming.key, incoming.request_id, incoming.body,
                                incoming.content_type, terms.route,  terms.application,   incoming.deadline};
  return gateway::plan_call(subject, context(std::move(avoid), attempt), engines.rows(), runtime.random());
}

// Between a plan and its carrying out a door may have slept, or a change may have come.
bool node::state::still_good(const gateway::call_plan& plan) {
  auto& row = engines.row(plan.destination);
  return fresh() && desired->revision == plan.desired_revision && row.usable() && row.address == plan.address;
}

task<> node::state::call(runtime::inbound_request request, gateway::writer out, std::string partner,
                         std::string name) {
  auto self = shared_from_this();
  call_request incoming{partner,
                        name,
                        "",
                        self->place.name + "-" + self->runtime.random_name(),
                        request.body,
                        "application/json",
                        0,
                        out};
  auto terms = self->terms_of(incoming);
  if (!terms) {
    gateway::reject(out, 404, "no such route, or its application is gone", gateway::executed::no);
    co_return;
  }
  auto key = request.headers.find("idempotency-key");
  bool keyed = key != request.headers.end() && !key->second.empty() && key->second.size() <= 256;
  if (terms->route.effectful && !keyed) {
    gateway::reject(out, 400, "an Idempotency-Key of 1 to 256 bytes is needed on this route",
                    gateway::executed::no);
    co_return;
  }
  if (keyed) incoming.key = key->second;
  auto type = request.headers.find("content-type");
  if (type != request.headers.end()) incoming.content_type = type->second;
  incoming.deadline = self->runtime.now() + static_cast<microseconds>(terms->route.timeout_seconds * second);
  if (terms->route.effectful)
    co_await self->effectful_call(std::move(incoming), ledger::call_record_key(partner, name, key->second));
  else
    co_await self->plain_call(std::move(incoming));
}

// A back end that says so itself, before it did anything, has not run the call.
static bool says_not_run(const runtime::http_response& response) {
  if (response.status < 500) return false;
  auto body = json::parse(response.body, nullptr, false);
  return body.is_object() && body.value("ran", "") == "no";
}

call_outcome judge(const runtime::http_outcome& result) {
  call_outcome outcome;
  if (auto* failed = std::get_if<runtime::http_failure>(&result)) {
    outcome.end =
        failed->sent && !broken("notrun") ? call_outcome::what::unknown : call_outcome::what::not_run;
    return outcome;
  }
  outcome.response = std::get<runtime::http_response>(result);
  if (says_not_run(outcome.response))
    outcome.end = call_outcome::what::not_run;
  else
    outcome.end = outcome.response.status < 500 ? call_outcome::what::answered : call_outcome::what::unknown;
  return outcome;
}

void pass_on(const gateway::writer& out, int status, const std::string& type, const std::string& body,
             const char* response) {
  out->reply({status, {{"Content-Type", type}, {"Receipt", response}}, body});
}

std::string type_of(const runtime::http_response& response) {
  auto type = response.headers.find("content-type");
  return type == response.headers.end() ? "application/json" : type->second;
}

seat node::state::occupy(interning::symbol number) {
  ++engines.row(number).unseen;
  ++engines.row(number).ours;
  // The watch is a handle: the copy stays good after the node is gone.
  return seat([held = engines, number]() mutable { --held.row(number).ours; });
}

task<> node::state::plain_call(call_request incoming) {
  auto self = shared_from_this();
  std::vector<interning::symbol> avoid;
  for (int attempt = 1; attempt <= 3 && self->fresh(); ++attempt) {
    auto terms = self->terms_of(incoming);
    if (!terms) break;
    auto plan = self->plan_attempt(incoming, *terms, avoid, attempt);
    if (!plan) break;
    avoid.push_back(plan->destination);
    auto held = self->occupy(plan->destination);
    auto left = std::max<microseconds>(100 * millisecond, incoming.deadline - self->runtime.now());
    auto result = co_await runtime::http_fetch(self->runtime, plan->address, plan->request, left);
    auto outcome = judge(result);
    if (outcome.end == call_outcome::what::answered) {
      pass_on(incoming.out, outcome.response.status, type_of(outcome.response), outcome.response.body,
              "none");
      co_return;
    }
    // A call without effects may be tried at another engine.
    if (outcome.end == call_outcome::what::unknown)
      self->runtime.spawn(self->linger(std::move(held), plan->destination));
    if (std::holds_alternative<runtime::http_failure>(result)) self->engines.failed(plan->destination);
  }
  self->refused("engines failed");
  gateway::reject(incoming.out, 503, "no engine answered the call",
                  avoid.empty() ? gateway::executed::no : gateway::executed::unknown,
                  self->retry_after_seconds(1));
}

}  // namespace herontally::hproxy
