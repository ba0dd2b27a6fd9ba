// Calls that run at most once, over every proxy.
#include "proxy/call_handler.h"
#include "runtime/breaks.h"

namespace herontally::proxy {

using http_api::reject;
using ledger::call_state;
using ledger::call_status;

namespace {

constexpr int max_attempts = 3;
// Attempts that were planned anew before an engine heard of them count here only.
constexpr int max_rounds = 8;
constexpr microseconds query_timeout = second;
constexpr const char* no_majority = "the receipts can't be reached by a majority";

// The Receipt header tells whether the answer is kept for a repeated call.
void reply_answer(const http_api::writer& out, int status, const std::string& type, const std::string& body,
                  const char* receipt) {
  out->reply({status, {{"Content-Type", type}, {"Receipt", receipt}}, body});
}

}  // namespace

// No attempt is begun, but an earlier request's record may be there to answer from.
task<> call_handler::reject_unbegun(call_request call, std::string record_key, std::string reason) {
  auto self = shared_from_this();
  auto shared = self->context_;
  auto known = co_await shared->calls.read(record_key, shared->runtime.now() + ledger_timeout);
  bool begun_before = known.record && known.record->state != call_state::not_run;
  if (begun_before && known.record->body_digest == ledger::digest_of(call.body)) {
    co_await self->answer_from_record(*known.record, call, record_key);
    co_return;
  }
  shared->count_rejection(reason);
  // "no" would be a false promise if the records can't be read, or if this key has run with another body.
  bool certain = known.read && !begun_before;
  reject(call.out, 503, reason, certain ? executed::no : executed::unknown, shared->retry_after(1),
         {{"request_id", call.request_id}});
}

task<> call_handler::serve_once(call_request call) {
  auto self = shared_from_this();
  auto shared = self->context_;
  auto record_key = ledger::call_record_key(call.partner, call.route, call.key);
  auto avoid = std::make_shared<std::vector<interning::symbol>>();
  int attempts = 0;
  for (int round = 1; attempts < max_attempts && round <= max_rounds; ++round) {
    auto end = co_await self->try_once(call, record_key, round, avoid);
    if (end == step::answered) co_return;
    if (end == step::again) ++attempts;
  }
  shared->count_rejection("engines failed");
  reject(call.out, 503, "no engine took the call", executed::no, shared->retry_after(1),
         {{"request_id", call.request_id}});
}

// One attempt: planned, agreed to be started, and carried out if the plan still holds by then.
task<call_handler::step> call_handler::try_once(call_request call, std::string record_key, int round,
                                                std::shared_ptr<std::vector<interning::symbol>> avoid) {
  auto self = shared_from_this();
  auto shared = self->context_;
  auto terms = self->terms_of(call);
  std::optional<call_plan> plan;
  if (terms && shared->is_fresh()) plan = self->plan(call, *terms, *avoid, round);
  if (!plan) {
    co_await self->reject_unbegun(call, record_key, "no engine of the application can take calls");
    co_return step::answered;
  }
  ledger::call_record first;
  first.state = call_state::started;
  first.request_id = call.request_id + "." + std::to_string(round);
  first.body_digest = ledger::digest_of(call.body);
  first.engine = plan->destination_name;
  first.started = shared->runtime.wall();
  auto begun = co_await shared->calls.begin(record_key, first, shared->runtime.now() + ledger_timeout);
  switch (begun.status) {
    case call_status::begun:
      break;
    case call_status::mismatch:
      reject(call.out, 422, "the Idempotency-Key was used with another body", executed::no);
      co_return step::answered;
    case call_status::found:
      co_await self->answer_from_record(begun.record, call, record_key);
      co_return step::answered;
    case call_status::disk_full:
      co_await self->reject_unbegun(call, record_key, "the ledger's disks have no room for a receipt");
      co_return step::answered;
    case call_status::unreachable:
    case call_status::unknown:
      // What other requests with this key did can't be seen now, so that nothing is promised.
      shared->count_rejection("ledger");
      reject(call.out, 503, std::string(no_majority) + "; the call may have run", executed::unknown,
             shared->retry_after(1));
      co_return step::answered;
  }
  if (!self->is_still_valid(*plan) && !broken("look")) {
    // The rounds took their time, and what the plan rests on has changed: this attempt is agreed not to run.
    shared->logger.count("herontally_calls_planned_anew_total");
    auto last = begun.record;
    last.state = call_state::not_run;
    bool settled = co_await shared->calls.finish(record_key, last, shared->runtime.now() + ledger_timeout);
    if (settled) co_return step::planned_anew;
    reject(call.out, 503, no_majority, executed::unknown, shared->retry_after(1));
    co_return step::answered;
  }
  avoid->push_back(plan->destination);
  co_return co_await self->run_begun(call, record_key, *plan, *terms, begun.record);
}

task<bool> call_handler::store_answer(std::string record_key, ledger::call_record record,
                                      runtime::http_response response, call_terms terms) {
  auto shared = context_;
  record.state = call_state::done;
  record.status = response.status;
  record.content_type = content_type_of(response);
  record.answer = response.body;
  record.keep_until = shared->runtime.wall() + terms.route.answer_retention_seconds * second;
  return shared->calls.finish(record_key, std::move(record), shared->runtime.now() + ledger_timeout);
}

task<call_handler::step> call_handler::run_begun(call_request call, std::string record_key, call_plan plan,
                                                 call_terms terms, ledger::call_record record) {
  auto self = shared_from_this();
  auto shared = self->context_;
  auto& out = call.out;
  json where{{"request_id", record.request_id}, {"engine", plan.destination_name}};
  json placed = where;
  placed["attempt"] = plan.attempt;
  shared->logger.info("call placed", placed);
  auto outcome = co_await self->send(call, plan);
  if (outcome.execution == call_execution::unknown) {
    shared->logger.warn("call's answer is lost", where);
    auto known = co_await self->query_outcome(plan.destination_name, terms.route, call.key);
    if (known) {
      outcome.execution = call_execution::answered;
      outcome.response = *known;
    }
  }
  if (outcome.execution == call_execution::answered) {
    bool kept = co_await self->store_answer(record_key, record, outcome.response, terms);
    shared->logger.count("herontally_calls_total{how=\"done\"}");
    // The answer is true either way; without a kept record a repeated call will be answered "may have run".
    reply_answer(out, outcome.response.status, content_type_of(outcome.response), outcome.response.body,
                 kept ? "new" : "unstored");
    co_return step::answered;
  }
  if (outcome.execution == call_execution::unknown) {
    shared->logger.count("herontally_calls_total{how=\"unknown\"}");
    shared->count_rejection("answer lost");
    reject(out, 502, "the engine's answer is lost; the call may have run", executed::unknown,
           shared->retry_after(1));
    co_return step::answered;
  }
  if (outcome.connection_failed) shared->engines.failed(plan.destination);
  record.state = call_state::not_run;
  bool agreed = co_await shared->calls.finish(record_key, record, shared->runtime.now() + ledger_timeout);
  shared->logger.count("herontally_calls_total{how=\"not run\"}");
  if (agreed) co_return step::again;
  // Not agreed, not promised.
  reject(out, 503, "the engine could not be reached", executed::unknown, shared->retry_after(1));
  co_return step::answered;
}

// A later request with the same key: the stored answer, or what can honestly be said.
task<> call_handler::answer_from_record(ledger::call_record found, call_request call,
                                        std::string record_key) {
  auto self = shared_from_this();
  auto shared = self->context_;
  auto& out = call.out;
  auto terms = self->terms_of(call);
  if (found.state == call_state::started && terms) {
    auto known = co_await self->query_outcome(found.engine, terms->route, call.key);
    if (known) {
      co_await self->store_answer(record_key, found, *known, *terms);
      found.state = call_state::done;
      found.status = known->status;
      found.content_type = content_type_of(*known);
      found.answer = known->body;
    }
  }
  if (found.state == call_state::done) {
    shared->logger.count("herontally_calls_total{how=\"replayed\"}");
    reply_answer(out, static_cast<int>(found.status), found.content_type, found.answer, "stored");
    co_return;
  }
  if (found.state == call_state::expired) {
    shared->count_rejection("receipt gone");
    reject(out, 410, "the call ran; its answer's keeping time is over", executed::yes);
    co_return;
  }
  bool never = found.state == call_state::not_run;
  shared->count_rejection("call open");
  reject(out, 409, never ? "the call was agreed not to run" : "the call was started before and may have run",
         never ? executed::no : executed::unknown, shared->retry_after(1));
}

task<std::optional<runtime::http_response>> call_handler::query_outcome(std::string engine,
                                                                        configuration::route route,
                                                                        std::string key) {
  auto shared = context_;
  if (route.outcome_path.empty()) co_return std::nullopt;
  std::string address;
  for (auto& row : shared->engines.rows()) {
    // Asking is a request too: an engine that drains, or whose zone is evacuated, gets none.
    bool evacuated = shared->config->evacuated_zones.contains(row.zone);
    if (row.name == engine && row.usable() && shared->is_fresh() && !evacuated) address = row.address;
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
