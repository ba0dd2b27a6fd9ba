// The part of call_handler for calls that run at most once across all proxies. An engine gets such a call
// only after the ledger has durably recorded that it was started.
#include "proxy/call_handler.h"
#include "runtime/breaks.h"

namespace herontally::proxy {

using http_api::reject;
using ledger::call_state;
using ledger::call_status;

namespace {

constexpr int max_attempts = 3;
// Attempts replanned before their call was sent count towards this limit only, not towards max_attempts.
constexpr int max_rounds = 8;
constexpr microseconds query_timeout = second;
constexpr const char* no_majority = "the receipts can't be reached by a majority";

// `receipt` tells the client whether a repeated call can be answered from the ledger.
void send_answer(const http_api::writer& out, int status, const std::string& type, const std::string& body,
                 const char* receipt) {
  out->reply({status, {{"Content-Type", type}, {"Receipt", receipt}}, body});
}

}  // namespace

task<> call_handler::reject_before_start(call_request call, std::string record_key, std::string reason) {
  auto self = shared_from_this();
  auto shared = self->context_;
  auto earlier = co_await shared->calls.read(record_key, shared->runtime.now() + ledger_timeout);
  bool started_before = earlier.record && earlier.record->state != call_state::not_run;
  if (started_before && earlier.record->body_digest == ledger::digest_of(call.body)) {
    co_await self->answer_from_record(*earlier.record, call, record_key);
    co_return;
  }
  shared->count_rejection(reason);
  // Whether the call ran is unknown if the records can't be read, or if this key was used with another body.
  bool certain = earlier.read && !started_before;
  reject(call.out, 503, reason, certain ? executed::no : executed::unknown, shared->retry_after(1),
         {{"request_id", call.request_id}});
}

task<> call_handler::serve_at_most_once(call_request call) {
  auto self = shared_from_this();
  auto shared = self->context_;
  auto record_key = ledger::call_record_key(call.partner, call.route, call.key);
  auto avoid = std::make_shared<std::vector<interning::symbol>>();
  int attempts = 0;
  for (int round = 1; attempts < max_attempts && round <= max_rounds; ++round) {
    auto result = co_await self->try_attempt(call, record_key, round, avoid);
    if (result == attempt_result::answered) co_return;
    if (result == attempt_result::retry) ++attempts;
  }
  shared->count_rejection("engines failed");
  reject(call.out, 503, "no engine took the call", executed::no, shared->retry_after(1),
         {{"request_id", call.request_id}});
}

// One attempt: plans it, records it as started, and executes it if the plan is still valid by then.
task<call_handler::attempt_result> call_handler::try_attempt(
    call_request call, std::string record_key, int round,
    std::shared_ptr<std::vector<interning::symbol>> avoid) {
  auto self = shared_from_this();
  auto shared = self->context_;
  auto settings = self->route_settings_of(call);
  std::optional<call_plan> plan;
  if (settings && shared->is_fresh()) plan = self->plan(call, *settings, *avoid, round);
  if (!plan) {
    co_await self->reject_before_start(call, record_key, "no engine of the application can take calls");
    co_return attempt_result::answered;
  }
  ledger::call_record record;
  record.state = call_state::started;
  record.request_id = call.request_id + "." + std::to_string(round);
  record.body_digest = ledger::digest_of(call.body);
  record.engine = plan->destination_name;
  record.started = shared->runtime.wall();
  auto begun = co_await shared->calls.begin(record_key, record, shared->runtime.now() + ledger_timeout);
  switch (begun.status) {
    case call_status::begun:
      break;
    case call_status::mismatch:
      reject(call.out, 422, "the Idempotency-Key was used with another body", executed::no);
      co_return attempt_result::answered;
    case call_status::found:
      co_await self->answer_from_record(begun.record, call, record_key);
      co_return attempt_result::answered;
    case call_status::disk_full:
      co_await self->reject_before_start(call, record_key, "the ledger's disks have no room for a receipt");
      co_return attempt_result::answered;
    case call_status::unreachable:
    case call_status::unknown:
      // The records of earlier requests with this key can't be read, so whether the call ran is unknown.
      shared->count_rejection("ledger");
      reject(call.out, 503, std::string(no_majority) + "; the call may have run", executed::unknown,
             shared->retry_after(1));
      co_return attempt_result::answered;
  }
  if (!self->is_still_valid(*plan) && !broken("look")) {
    // The plan became outdated while the ledger recorded the start: record that this attempt never runs.
    shared->logger.count("herontally_calls_planned_anew_total");
    auto cancelled = begun.record;
    cancelled.state = call_state::not_run;
    bool settled =
        co_await shared->calls.finish(record_key, cancelled, shared->runtime.now() + ledger_timeout);
    if (settled) co_return attempt_result::replan;
    reject(call.out, 503, no_majority, executed::unknown, shared->retry_after(1));
    co_return attempt_result::answered;
  }
  avoid->push_back(plan->destination);
  co_return co_await self->run_started_attempt(call, record_key, *plan, *settings, begun.record);
}

task<bool> call_handler::store_answer(std::string record_key, ledger::call_record record,
                                      runtime::http_response response, route_settings settings) {
  auto shared = context_;
  record.state = call_state::done;
  record.status = response.status;
  record.content_type = content_type_of(response);
  record.answer = response.body;
  record.keep_until = shared->runtime.wall() + settings.route.answer_retention_seconds * second;
  return shared->calls.finish(record_key, std::move(record), shared->runtime.now() + ledger_timeout);
}

task<call_handler::attempt_result> call_handler::run_started_attempt(call_request call,
                                                                     std::string record_key, call_plan plan,
                                                                     route_settings settings,
                                                                     ledger::call_record record) {
  auto self = shared_from_this();
  auto shared = self->context_;
  auto& out = call.out;
  json log_fields{{"request_id", record.request_id}, {"engine", plan.destination_name}};
  json placement_fields = log_fields;
  placement_fields["attempt"] = plan.attempt;
  shared->logger.info("call placed", placement_fields);
  auto outcome = co_await self->send(call, plan);
  if (outcome.execution == call_execution::unknown) {
    shared->logger.warn("call outcome unknown", log_fields);
    auto known = co_await self->query_outcome(plan.destination_name, settings.route, call.key);
    if (known) {
      outcome.execution = call_execution::answered;
      outcome.response = *known;
    }
  }
  if (outcome.execution == call_execution::answered) {
    bool stored = co_await self->store_answer(record_key, record, outcome.response, settings);
    shared->logger.count("herontally_calls_total{how=\"done\"}");
    // The answer is valid either way; if it could not be stored, the reply to a repeated call says that the
    // call may have run.
    send_answer(out, outcome.response.status, content_type_of(outcome.response), outcome.response.body,
                stored ? "new" : "unstored");
    co_return attempt_result::answered;
  }
  if (outcome.execution == call_execution::unknown) {
    shared->logger.count("herontally_calls_total{how=\"unknown\"}");
    shared->count_rejection("answer lost");
    reject(out, 502, "the engine's answer is lost; the call may have run", executed::unknown,
           shared->retry_after(1));
    co_return attempt_result::answered;
  }
  if (outcome.connection_failed) shared->engines.mark_unreachable(plan.destination);
  record.state = call_state::not_run;
  bool settled = co_await shared->calls.finish(record_key, record, shared->runtime.now() + ledger_timeout);
  shared->logger.count("herontally_calls_total{how=\"not run\"}");
  if (settled) co_return attempt_result::retry;
  // Without the ledger's agreement that the attempt never runs, its execution is unknown.
  reject(out, 503, "the engine could not be reached", executed::unknown, shared->retry_after(1));
  co_return attempt_result::answered;
}

task<> call_handler::answer_from_record(ledger::call_record found, call_request call,
                                        std::string record_key) {
  auto self = shared_from_this();
  auto shared = self->context_;
  auto& out = call.out;
  auto settings = self->route_settings_of(call);
  if (found.state == call_state::started && settings) {
    auto known = co_await self->query_outcome(found.engine, settings->route, call.key);
    if (known) {
      co_await self->store_answer(record_key, found, *known, *settings);
      found.state = call_state::done;
      found.status = known->status;
      found.content_type = content_type_of(*known);
      found.answer = known->body;
    }
  }
  if (found.state == call_state::done) {
    shared->logger.count("herontally_calls_total{how=\"replayed\"}");
    send_answer(out, static_cast<int>(found.status), found.content_type, found.answer, "stored");
    co_return;
  }
  if (found.state == call_state::expired) {
    shared->count_rejection("receipt gone");
    reject(out, 410, "the call ran; its answer's keeping time is over", executed::yes);
    co_return;
  }
  bool not_run = found.state == call_state::not_run;
  shared->count_rejection("call open");
  reject(out, 409,
         not_run ? "the call was agreed not to run" : "the call was started before and may have run",
         not_run ? executed::no : executed::unknown, shared->retry_after(1));
}

task<std::optional<runtime::http_response>> call_handler::query_outcome(std::string engine,
                                                                        configuration::route route,
                                                                        std::string key) {
  auto shared = context_;
  if (route.outcome_path.empty()) co_return std::nullopt;
  std::string address;
  for (auto& row : shared->engines.rows()) {
    // This query is a request as well, so it isn't sent to a draining engine or into an evacuated zone.
    bool evacuated = shared->config->evacuated_zones.contains(row.zone);
    if (row.name == engine && row.is_usable() && shared->is_fresh() && !evacuated) address = row.address;
  }
  if (address.empty()) co_return std::nullopt;
  runtime::http_request request;
  request.path = route.outcome_path;
  request.headers["Idempotency-Key"] = key;
  auto result = co_await runtime::http_fetch(shared->runtime, address, request, query_timeout);
  auto* response = std::get_if<runtime::http_response>(&result);
  if (!response || response->status != 200) co_return std::nullopt;
  co_return *response;
}

}  // namespace herontally::proxy
