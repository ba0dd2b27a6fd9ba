// Effectful calls: at most once, over every door.
#include "hproxy/call_parts.h"

namespace herontally::hproxy {

// No attempt is begun, but an earlier request's receipt may be there to give.
task<> node::state::not_begun(call_request incoming, std::string record_key, std::string why) {
  auto self = shared_from_this();
  auto known = co_await self->book.look_call(record_key, self->runtime.now() + ledger_patience);
  bool begun_before = known.record && known.record->state != "not-run";
  if (begun_before && known.record->body_digest == ledger::digest_of(incoming.body)) {
    co_await self->answer_found(*known.record, incoming, record_key);
    co_return;
  }
  self->refused(why);
  // "no" would be a false word if the receipts can't be read, or if this key has run with another body.
  bool certain = known.read && !begun_before;
  gateway::reject(incoming.out, 503, why, certain ? gateway::executed::no : gateway::executed::unknown,
                  self->retry_after_seconds(1), {{"request_id", incoming.request_id}});
}

task<> node::state::effectful_call(call_request incoming, std::string record_key) {
  auto self = shared_from_this();
  std::vector<interning::symbol> avoid;
  auto out = incoming.out;
  std::string digest = ledger::digest_of(incoming.body);
  int attempt = 1;
  for (int round = 1; attempt <= 3 && round <= 8; ++attempt, ++round) {
    auto terms = self->terms_of(incoming);
    std::optional<gateway::call_plan> plan;
    if (terms && self->fresh()) plan = self->plan_attempt(incoming, *terms, avoid, round);
    ledger::call_record first;
    first.state = "started";
    first.request_id = incoming.request_id + "." + std::to_string(round);
    first.body_digest = digest;
    first.engine = plan ? plan->destination_name : "";
    first.started = self->runtime.wall();
    if (!plan) {
      co_await self->not_begun(incoming, record_key, "no engine of the application can take calls");
      co_return;
    }
    auto begun = co_await self->book.begin_call(record_key, first, self->runtime.now() + ledger_patience);
    using end = ledger::book::call_end;
    if (begun.end == end::mismatch) {
      gateway::reject(out, 422, "the Idempotency-Key was used with another body", gateway::executed::no);
      co_return;
    }
    if (begun.end == end::found) {
      co_await self->answer_found(begun.record, incoming, record_key);
      co_return;
    }
    if (begun.end == end::full) {
      co_await self->not_begun(incoming, record_key, "the ledger's disks have no room for a receipt");
      co_return;
    }
    if (begun.end != end::mine) {
      // What other requests with this key did can't be seen now, so nothing is promised.
      self->refused("ledger");
      gateway::reject(out, 503, "the receipts can't be reached by a majority; the call may have run",
                      gateway::executed::unknown, self->retry_after_seconds(1));
      co_return;
    }
    ledger::call_record last = begun.record;
    if (!self->still_good(*plan) && !broken("look")) {
      // The rounds took their time, and the plan's ground has moved: this attempt is agreed not to run.
      self->logger.count("herontally_calls_planned_anew_total");
      last.state = "not-run";
      bool settled = co_await self->book.end_call(record_key, last, self->runtime.now() + ledger_patience);
      if (!settled) {
        gateway::reject(out, 503, "the receipts can't be reached by a majority", gateway::executed::unknown,
                        self->retry_after_seconds(1));
        co_return;
      }
      --attempt;
      continue;
    }
    avoid.push_back(plan->destination);
    self->logger.info(
        "call placed",
        {{"request_id", first.request_id}, {"engine", plan->destination_name}, {"attempt", attempt}});
    auto held = self->occupy(plan->destination);
    auto left = std::max<microseconds>(100 * millisecond, incoming.deadline - self->runtime.now());
    auto result = co_await runtime::http_fetch(self->runtime, plan->address, plan->request, left);
    auto outcome = judge(result);
    if (outcome.end == call_outcome::what::unknown) {
      self->logger.warn("call's answer is lost",
                        {{"request_id", first.request_id}, {"engine", plan->destination_name}});
      self->runtime.spawn(self->linger(std::move(held), plan->destination));
      auto asked = co_await self->ask_outcome(plan->destination_name, terms->route, incoming.key);
      if (asked) {
        outcome.end = call_outcome::what::answered;
        outcome.response = *asked;
      }
    }
    if (outcome.end == call_outcome::what::answered) {
      last.state = "done";
      last.status = outcome.response.status;
      last.content_type = type_of(outcome.response);
      last.answer = outcome.response.body;
      last.keep_until = self->runtime.wall() + terms->route.answer_retention_seconds * second;
      bool kept = co_await self->book.end_call(record_key, last, self->runtime.now() + ledger_patience);
      self->logger.count("herontally_calls_total{how=\"done\"}");
      // The answer is true either way; without a kept receipt a repeat will be told "may have run".
      pass_on(out, outcome.response.status, last.content_type, last.answer, kept ? "new" : "unstored");
      co_return;
    }
    if (outcome.end == call_outcome::what::unknown) {
      self->logger.count("herontally_calls_total{how=\"unknown\"}");
      self->refused("answer lost");
      gateway::reject(out, 502, "the engine's answer is lost; the call may have run",
                      gateway::executed::unknown, self->retry_after_seconds(1));
      co_return;
    }
    if (std::holds_alternative<runtime::http_failure>(result)) self->engines.failed(plan->destination);
    last.state = "not-run";
    bool agreed = co_await self->book.end_call(record_key, last, self->runtime.now() + ledger_patience);
    self->logger.count("herontally_calls_total{how=\"not run\"}");
    if (!agreed) {
      // Not agreed, not promised.
      gateway::reject(out, 503, "the engine could not be reached", gateway::executed::unknown,
                      self->retry_after_seconds(1));
      co_return;
    }
  }
  self->refused("engines failed");
  gateway::reject(out, 503, "no engine took the call", gateway::executed::no, self->retry_after_seconds(1),
                  {{"request_id", incoming.request_id}});
}

// A later request with the same key: the stored answer, or what can honestly be said.
task<> node::state::answer_found(ledger::call_record found, call_request incoming, std::string record_key) {
  auto self = shared_from_this();
  auto out = incoming.out;
  auto terms = self->terms_of(incoming);
  if (found.state == "started" && terms) {
    auto asked = co_await self->ask_outcome(found.engine, terms->route, incoming.key);
    if (asked) {
      found.state = "done";
      found.status = asked->status;
      found.content_type = type_of(*asked);
      found.answer = asked->body;
      found.keep_until = self->runtime.wall() + terms->route.answer_retention_seconds * second;
      co_await self->book.end_call(record_key, found, self->runtime.now() + ledger_patience);
    }
  }
  if (found.state == "done") {
    self->logger.count("herontally_calls_total{how=\"replayed\"}");
    pass_on(out, static_cast<int>(found.status), found.content_type, found.answer, "stored");
    co_return;
  }
  if (found.state == "gone") {
    self->refused("receipt gone");
    gateway::reject(out, 410, "the call ran; its answer's keeping time is over", gateway::executed::yes);
    co_return;
  }
  bool never = found.state == "not-run";
  self->refused("call open");
  gateway::reject(out, 409,
                  never ? "the call was agreed not to run" : "the call was started before and may have run",
                  never ? gateway::executed::no : gateway::executed::unknown, self->retry_after_seconds(1));
}

}  // namespace herontally::hproxy
