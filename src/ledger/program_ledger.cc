#include "ledger/program_ledger.h"

#include <algorithm>

#include "ledger/program_ledger_state.h"
#include "runtime/breaks.h"

namespace herontally::ledger {

using consensus::change_status;
using runtime::microseconds;
using runtime::task;
using outcome = program_operation::outcome;

program_ledger::program_ledger(consensus::proposer stores)
    : state_(std::make_shared<state>(std::move(stores))) {}

// Applied to the record; true when that changed it. A second run over a record that has the effect finds it
// there.
//
// Let total be what was settled plus what is reserved. A turn is granted only while total < budget, and adds
// its most to it; a settlement puts what went out, at most the reservation, in its place. So total stays
// below budget + the most of the turn that was granted last, whichever nodes the turns go through, as all go
// through one register key. A reservation that nobody settles counts in full.
static bool apply_to(program_record& record, program_operation& operation) {
  auto open = record.open.find(operation.turn);
  bool settled =
      std::find(record.settled.begin(), record.settled.end(), operation.turn) != record.settled.end();
  if (!operation.settles) {
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
  auto [queue, first] = waiting.try_emplace(program);
  queue->second.push_back(std::move(operation));
  if (first) stores.endpoint().runtime().spawn(work(program));
}

// While a round is under way, what arrives waits and goes into the next one together.
task<> program_ledger::state::work(std::string program) {
  auto self = shared_from_this();
  while (true) {
    auto& queue = self->waiting[program];
    if (queue.empty()) break;
    auto batch = std::exchange(queue, {});
    co_await self->apply(program, std::move(batch));
  }
  self->waiting.erase(program);
}

program_ledger::state::round_plan program_ledger::state::plan_round(
    std::vector<std::shared_ptr<program_operation>> batch) const {
  round_plan round;
  auto now = stores.endpoint().runtime().now();
  for (auto& each : batch) {
    if (each->deadline <= now) {
      each->done.set(each->tried ? outcome::unknown : outcome::unreachable);
      continue;
    }
    // The shortest deadline ends the round; the others go into the next one, which their turn ids make
    // harmless.
    round.deadline = round.operations.empty() ? each->deadline : std::min(round.deadline, each->deadline);
    // Settling what was begun may use the capacity that the disks reserve.
    round.urgent = round.urgent || each->settles;
    round.operations.push_back(each);
  }
  return round;
}

void program_ledger::state::finish_round(const std::string& program, const round_plan& round,
                                         consensus::change_status status, bool known) {
  auto now = stores.endpoint().runtime().now();
  std::vector<std::shared_ptr<program_operation>> again;
  for (auto& each : round.operations) {
    if (known) {
      each->done.set(outcome::applied);
      continue;
    }
    each->tried = each->tried || status == change_status::unknown;
    bool over = each->deadline <= now || status == change_status::disk_full;
    if (over)
      each->done.set(each->tried ? outcome::unknown : outcome::unreachable);
    else
      again.push_back(each);
  }
  auto& queue = waiting[program];
  queue.insert(queue.begin(), again.begin(), again.end());
}

task<> program_ledger::state::apply(std::string program,
                                    std::vector<std::shared_ptr<program_operation>> batch) {
  auto self = shared_from_this();
  auto runtime = self->stores.endpoint().runtime();
  auto logger = self->stores.endpoint().logger();
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
    // The stores may remove such a record at any time: nobody goes on from it.
    if (is_expired(*record, runtime.wall())) record = program_record{};
    bool changed = false;
    for (auto& each : operations) changed = apply_to(*record, *each) || changed;
    if (!changed) return next;
    record->changed = std::max(record->changed, runtime.wall());
    next = to_text(*record);
    return next;
  };
  auto result = co_await self->stores.change(program_key(program), mutate, round.deadline, round.urgent);
  logger.count("herontally_program_rounds_total");
  logger.count("herontally_program_operations_total", static_cast<double>(round.operations.size()));
  bool known = result.known();
  if (known && !*readable) {
    logger.error("a program's head can't be read", {{"program", program}});
    logger.count("herontally_unreadable_records_total");
    known = false;
    for (auto& each : round.operations) each->deadline = 0;
  }
  self->finish_round(program, round, result.status, known);
}

task<program_reservation> program_ledger::reserve(std::string program, std::string turn, std::int64_t budget,
                                                  std::int64_t most, microseconds deadline) {
  auto self = state_;
  auto operation = std::make_shared<program_operation>(
      program_operation{false, std::move(turn), budget, most, deadline, false, false,
                        runtime::slot<outcome>(self->stores.endpoint().runtime())});
  self->enqueue(program, operation);
  auto end = co_await operation->done.wait();
  if (end == outcome::unreachable) co_return program_reservation::unreachable;
  if (end == outcome::unknown) co_return program_reservation::unknown;
  co_return operation->granted ? program_reservation::granted : program_reservation::budget_spent;
}

task<program_settlement> program_ledger::settle(std::string program, std::string turn, std::int64_t tokens,
                                                microseconds deadline) {
  auto self = state_;
  auto operation = std::make_shared<program_operation>(
      program_operation{true, std::move(turn), 0, tokens, deadline, false, false,
                        runtime::slot<outcome>(self->stores.endpoint().runtime())});
  self->enqueue(program, operation);
  auto end = co_await operation->done.wait();
  if (end == outcome::applied) co_return program_settlement::settled;
  // The reservation counts in full from now on, unless this goes through after all.
  self->stores.endpoint().logger().count("herontally_program_unsettled_total");
  co_return program_settlement::unreachable;
}

}  // namespace herontally::ledger
