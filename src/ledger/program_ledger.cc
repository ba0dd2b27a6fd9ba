#include "ledger/program_ledger.h"

#include <algorithm>

#include "ledger/program_ledger_state.h"
#include "runtime/breaks.h"

namespace herontally::ledger {

using consensus::change_status;
using runtime::microseconds;
using runtime::task;
using outcome = program_operation::outcome;

program_ledger::program_ledger(consensus::proposer proposer)
    : state_(std::make_shared<state>(std::move(proposer))) {}

// Applies the operation to the record and returns whether the record changed. The operation is idempotent: a
// second run over a record that already contains its effect changes nothing.
//
// Let total be the settled plus the reserved tokens. A turn is granted only while total < budget, and adds
// its reservation to total; a settlement replaces the reservation by the tokens that were output, which are
// at most the reservation. So total stays below budget + the reservation of the turn granted last. This holds
// across nodes, because all turns of a program change the same register. A reservation that is never settled
// counts in full.
static bool apply_operation(program_record& record, program_operation& operation) {
  auto open = record.open.find(operation.turn);
  bool settled =
      std::find(record.settled.begin(), record.settled.end(), operation.turn) != record.settled.end();
  if (!operation.is_settlement) {
    operation.granted = open != record.open.end() || settled;
    if (operation.granted) return false;
    operation.granted = record.spent + record.reserved() < operation.budget || broken("budget");
    if (operation.granted) record.open[operation.turn] = operation.amount;
    return operation.granted;
  }
  if (open == record.open.end()) return false;
  record.spent += operation.amount;
  record.open.erase(open);
  record.settled.push_back(operation.turn);
  return true;
}

void program_ledger::state::enqueue(const std::string& program,
                                    std::shared_ptr<program_operation> operation) {
  auto [queue, first] = pending.try_emplace(program);
  queue->second.push_back(std::move(operation));
  if (first) proposer.endpoint().runtime().spawn(process_queue(program));
}

task<> program_ledger::state::process_queue(std::string program) {
  auto self = shared_from_this();
  while (true) {
    auto& queue = self->pending[program];
    if (queue.empty()) break;
    auto batch = std::exchange(queue, {});
    co_await self->run_round(program, std::move(batch));
  }
  self->pending.erase(program);
}

program_ledger::state::round_plan program_ledger::state::plan_round(
    std::vector<std::shared_ptr<program_operation>> batch) const {
  round_plan round;
  auto now = proposer.endpoint().runtime().now();
  for (auto& each : batch) {
    if (each->deadline <= now) {
      each->completion.set(each->may_be_applied ? outcome::unknown : outcome::unreachable);
      continue;
    }
    // The round ends at the earliest deadline. The other operations are then retried in the next round, which
    // is safe because operations are idempotent by turn id.
    round.deadline = round.operations.empty() ? each->deadline : std::min(round.deadline, each->deadline);
    // Settlements may use the disk capacity reserved for completing started turns.
    round.urgent = round.urgent || each->is_settlement;
    round.operations.push_back(each);
  }
  return round;
}

void program_ledger::state::finish_round(const std::string& program, const round_plan& round,
                                         consensus::change_status status, bool known) {
  auto now = proposer.endpoint().runtime().now();
  std::vector<std::shared_ptr<program_operation>> requeued;
  for (auto& each : round.operations) {
    if (known) {
      each->completion.set(outcome::applied);
      continue;
    }
    each->may_be_applied = each->may_be_applied || status == change_status::unknown;
    bool is_final = each->deadline <= now || status == change_status::disk_full;
    if (is_final)
      each->completion.set(each->may_be_applied ? outcome::unknown : outcome::unreachable);
    else
      requeued.push_back(each);
  }
  auto& queue = pending[program];
  queue.insert(queue.begin(), requeued.begin(), requeued.end());
}

task<> program_ledger::state::run_round(std::string program,
                                        std::vector<std::shared_ptr<program_operation>> batch) {
  auto self = shared_from_this();
  auto runtime = self->proposer.endpoint().runtime();
  auto logger = self->proposer.endpoint().logger();
  auto round = self->plan_round(std::move(batch));
  if (round.operations.empty()) co_return;
  auto readable = std::make_shared<bool>(true);
  consensus::mutator mutate = [operations = round.operations, readable,
                               runtime](const std::optional<std::string>& text) {
    std::optional<std::string> next;
    std::optional<program_record> record = program_record{};
    if (text) record = program_record_from_text(*text);
    *readable = record.has_value();
    if (!record) return next;
    // Storage nodes may remove an expired record at any time, so it is treated as absent.
    if (is_expired(*record, runtime.wall())) record = program_record{};
    bool changed = false;
    for (auto& each : operations) changed = apply_operation(*record, *each) || changed;
    if (!changed) return next;
    record->last_changed = std::max(record->last_changed, runtime.wall());
    next = to_text(*record);
    return next;
  };
  auto result = co_await self->proposer.change(program_key(program), mutate, round.deadline, round.urgent);
  logger.count("herontally_program_rounds_total");
  logger.count("herontally_program_operations_total", static_cast<double>(round.operations.size()));
  bool known = result.known();
  if (known && !*readable) {
    logger.error("program record can't be read", {{"program", program}});
    logger.count("herontally_unreadable_records_total");
    known = false;
    for (auto& each : round.operations) each->deadline = 0;
  }
  self->finish_round(program, round, result.status, known);
}

task<program_reservation> program_ledger::reserve(std::string program, std::string turn, std::int64_t budget,
                                                  std::int64_t max_tokens, microseconds deadline) {
  auto self = state_;
  auto operation = std::make_shared<program_operation>(
      program_operation{false, std::move(turn), budget, max_tokens, deadline, false, false,
                        runtime::slot<outcome>(self->proposer.endpoint().runtime())});
  self->enqueue(program, operation);
  auto result = co_await operation->completion.wait();
  if (result == outcome::unreachable) co_return program_reservation::unreachable;
  if (result == outcome::unknown) co_return program_reservation::unknown;
  co_return operation->granted ? program_reservation::granted : program_reservation::budget_spent;
}

task<program_settlement> program_ledger::settle(std::string program, std::string turn, std::int64_t tokens,
                                                microseconds deadline) {
  auto self = state_;
  auto operation = std::make_shared<program_operation>(
      program_operation{true, std::move(turn), 0, tokens, deadline, false, false,
                        runtime::slot<outcome>(self->proposer.endpoint().runtime())});
  self->enqueue(program, operation);
  auto result = co_await operation->completion.wait();
  if (result == outcome::applied) co_return program_settlement::settled;
  // The reservation counts in full from now on, unless the settlement was applied although no reply confirmed
  // it.
  self->proposer.endpoint().logger().count("herontally_program_unsettled_total");
  co_return program_settlement::unreachable;
}

}  // namespace herontally::ledger
