// Calls of the partners' own applications; the effectful ones at most once.
#include "hproxy/node_state.h"
#include "runtime/breaks.h"

namespace herontally::hproxy {

constexpr microseconds ledger_patience = 2500 * millisecond;

task<> node::state::call(runtime::http_visit request, gateway::writer out, std::string partner,
                         std::string name) {
  auto self = shared_from_this();
  auto& section = self->desired->partners.at(partner);
  auto found = section.routes.find(name);
  if (found == section.routes.end()) {
    gateway::drop(out, 404, "no such route", "no");
    co_return;
  }
  desired::route route = found->second;
  auto application = section.applications.find(route.application);
  if (application == section.applications.end()) {
    gateway::drop(out, 404, "the route's application is gone", "no");
    co_return;
  }
  desired::application settings = application->second;
  auto key = request.headers.find("idempotency-key");
  bool keyed = key != request.headers.end() && !key->second.empty() && key->second.size() <= 256;
  if (route.effectful && !keyed) {
    gateway::drop(out, 400, "an Idempotency-Key of 1 to 256 bytes is needed on this route", "no");
    co_return;
  }
  auto type = request.headers.find("content-type");
  gateway::call_subject subject{
      partner,
      keyed ? key->second : std::string(),
      self->place.name + "-" + self->runtime.random_name(),
      request.body,
      type == request.headers.end() ? "application/json" : type->second,
      route,
      settings,
      self->runtime.now() + static_cast<microseconds>(route.timeout_seconds * second)};
  if (route.effectful)
    co_await self->effectful_call(std::move(subject), out, ledger::receipt_key(partner, name, key->second));
  else
    co_await self->plain_call(std::move(subject), out);
}

struct call_outcome {
  enum class what { answered, not_run, unknown };
  what end = what::unknown;
  runtime::http_receipt receipt;
};

// A back end that says so itself, before it did anything, has not run the call.
static bool says_not_run(const runtime::http_receipt& receipt) {
  if (receipt.status < 500) return false;
  auto body = json::parse(receipt.body, nullptr, false);
  return body.is_object() && body.value("ran", "") == "no";
}

static call_outcome judge(const runtime::http_outcome& result) {
  call_outcome outcome;
  if (auto* failed = std::get_if<runtime::http_failure>(&result)) {
    outcome.end =
        failed->sent && !broken("notrun") ? call_outcome::what::unknown : call_outcome::what::not_run;
    return outcome;
  }
  outcome.receipt = std::get<runtime::http_receipt>(result);
  if (says_not_run(outcome.receipt))
    outcome.end = call_outcome::what::not_run;
  else
    outcome.end = outcome.receipt.status < 500 ? call_outcome::what::answered : call_outcome::what::unknown;
  return outcome;
}

static void pass_on(const gateway::writer& out, int status, const std::string& type, const std::string& body,
                    const char* receipt) {
  out->reply({status, {{"Content-Type", type}, {"Receipt", receipt}}, body});
}

static std::string type_of(const runtime::http_receipt& receipt) {
  auto type = receipt.headers.find("content-type");
  return type == receipt.headers.end() ? "application/json" : type->second;
}

static seat occupy(engine::watch& engines, names::index number) {
  ++engines.row(number).unseen;
  ++engines.row(number).ours;
  // The watch is a handle: the copy stays good after the node is gone.
  return seat([held = engines, number]() mutable { --held.row(number).ours; });
}

task<> node::state::effectful_call(gateway::call_subject subject, gateway::writer out, std::string record) {
  auto self = shared_from_this();
  std::vector<names::index> avoid;
  std::string digest = ledger::digest_of(subject.body);
  for (int shot = 1; shot <= 3; ++shot) {
    auto plan =
        gateway::plan_call(subject, self->around(avoid, shot), self->engines.rows(), self->runtime.random());
    ledger::call_receipt first;
    first.state = "started";
    first.visit = subject.visit + "." + std::to_string(shot);
    first.body_digest = digest;
    first.engine = plan ? plan->destination_name : "";
    first.started = self->runtime.wall();
    if (!plan) {
      // Without an engine no shot is begun, but an earlier visit's receipt may be there to give.
      auto known = co_await self->book.look_call(record, self->runtime.now() + ledger_patience);
      bool begun_before = known.receipt && known.receipt->state != "not-run";
      if (begun_before && known.receipt->body_digest == digest) {
        co_await self->answer_found(*known.receipt, subject.route, subject.key, record, out);
        co_return;
      }
      self->refused("no engine");
      // "no" would be a false word if the receipts can't be read, or if this key has run with another body.
      bool certain = known.read && !begun_before;
      gateway::drop(out, 503, "no engine of the application can take calls", certain ? "no" : "unknown", 1,
                    {{"visit", subject.visit}});
      co_return;
    }
    auto begun = co_await self->book.begin_call(record, first, self->runtime.now() + ledger_patience);
    using end = ledger::book::call_end;
    if (begun.end == end::mismatch) {
      gateway::drop(out, 422, "the Idempotency-Key was used with another body", "no");
      co_return;
    }
    if (begun.end == end::found) {
      co_await self->answer_found(begun.receipt, subject.route, subject.key, record, out);
      co_return;
    }
    if (begun.end != end::mine) {
      // What other visits with this key did can't be seen now, so nothing is promised.
      self->refused("ledger");
      gateway::drop(out, 503, "the receipts can't be reached by a majority; the call may have run", "unknown",
                    1);
      co_return;
    }
    avoid.push_back(plan->destination);
    self->journal.info("call placed",
                       {{"visit", first.visit}, {"engine", plan->destination_name}, {"shot", shot}});
    auto held = occupy(self->engines, plan->destination);
    auto left = std::max<microseconds>(100 * millisecond, subject.deadline - self->runtime.now());
    auto result = co_await runtime::http_fetch(self->runtime, plan->address, plan->request, left);
    auto outcome = judge(result);
    ledger::call_receipt last = begun.receipt;
    if (outcome.end == call_outcome::what::unknown) {
      self->journal.warn("call's answer is lost",
                         {{"visit", first.visit}, {"engine", plan->destination_name}});
      auto asked = co_await self->ask_outcome(plan->destination_name, subject.route, subject.key);
      if (asked) {
        outcome.end = call_outcome::what::answered;
        outcome.receipt = *asked;
      }
    }
    if (outcome.end == call_outcome::what::answered) {
      last.state = "done";
      last.status = outcome.receipt.status;
      last.content_type = type_of(outcome.receipt);
      last.answer = outcome.receipt.body;
      bool kept = co_await self->book.end_call(record, last, self->runtime.now() + ledger_patience);
      self->journal.count("herontally_calls_total{how=\"done\"}");
      // The answer is true either way; without a kept receipt a repeat will be told "may have run".
      pass_on(out, outcome.receipt.status, last.content_type, last.answer, kept ? "new" : "unstored");
      co_return;
    }
    if (outcome.end == call_outcome::what::unknown) {
      self->journal.count("herontally_calls_total{how=\"unknown\"}");
      self->refused("answer lost");
      gateway::drop(out, 502, "the engine's answer is lost; the call may have run", "unknown", 1);
      co_return;
    }
    if (std::holds_alternative<runtime::http_failure>(result)) self->engines.failed(plan->destination);
    last.state = "not-run";
    bool agreed = co_await self->book.end_call(record, last, self->runtime.now() + ledger_patience);
    self->journal.count("herontally_calls_total{how=\"not run\"}");
    if (!agreed) {
      // Not agreed, not promised.
      gateway::drop(out, 503, "the engine could not be reached", "unknown", 1);
      co_return;
    }
  }
  self->refused("engines failed");
  gateway::drop(out, 503, "no engine took the call", "no", 1, {{"visit", subject.visit}});
}

// A later visit with the same key: the stored answer, or what can honestly be said.
task<> node::state::answer_found(ledger::call_receipt found, desired::route route, std::string key,
                                 std::string record, gateway::writer out) {
  auto self = shared_from_this();
  if (found.state == "started") {
    auto asked = co_await self->ask_outcome(found.engine, route, key);
    if (asked) {
      found.state = "done";
      found.status = asked->status;
      found.content_type = type_of(*asked);
      found.answer = asked->body;
      co_await self->book.end_call(record, found, self->runtime.now() + ledger_patience);
    }
  }
  if (found.state == "done") {
    self->journal.count("herontally_calls_total{how=\"replayed\"}");
    pass_on(out, static_cast<int>(found.status), found.content_type, found.answer, "stored");
    co_return;
  }
  bool never = found.state == "not-run";
  self->refused("call open");
  gateway::drop(out, 409,
                never ? "the call was agreed not to run" : "the call was started before and may have run",
                never ? "no" : "unknown", 1);
}

task<> node::state::plain_call(gateway::call_subject subject, gateway::writer out) {
  auto self = shared_from_this();
  std::vector<names::index> avoid;
  for (int shot = 1; shot <= 3; ++shot) {
    auto plan =
        gateway::plan_call(subject, self->around(avoid, shot), self->engines.rows(), self->runtime.random());
    if (!plan) break;
    avoid.push_back(plan->destination);
    auto held = occupy(self->engines, plan->destination);
    auto left = std::max<microseconds>(100 * millisecond, subject.deadline - self->runtime.now());
    auto result = co_await runtime::http_fetch(self->runtime, plan->address, plan->request, left);
    auto outcome = judge(result);
    if (outcome.end == call_outcome::what::answered) {
      pass_on(out, outcome.receipt.status, type_of(outcome.receipt), outcome.receipt.body, "none");
      co_return;
    }
    // A call without effects may be tried at another engine.
    if (std::holds_alternative<runtime::http_failure>(result)) self->engines.failed(plan->destination);
  }
  self->refused("engines failed");
  gateway::drop(out, 503, "no engine answered the call", avoid.empty() ? "no" : "unknown", 1);
}

}  // namespace herontally::hproxy
