#include "ledger/programs.h"

#include <algorithm>

#include "ledger/programs_state.h"
#include "runtime/breaks.h"

namespace herontally::ledger {

using consensus::change_status;
using runtime::microseconds;
using runtime::task;
using outcome = program_operation::outcome;

programs::programs(consensus::proposer stores) : state_(std::make_shared<state>(std::move(stores))) {}

// Applied to the head; true when that changed it. A second run over a head that has the effect finds it
// there.
//
// Let total be what was settled plus what is reserved. A turn is granted only while total < budget, and adds
// its most to it; a settlement puts what went out, at most the reservation, in its place. So total stays
// below budget + the most of the turn that was granted last, whichever nodes the turns go through, as all go
// through one register key. A reservation that nobody settles counts in full.
static bool apply_to(program_head& head, program_operation& operation) {
  auto open = head.open.find(operation.turn);
  bool settled = std::find(head.settled.begin(), head.settled.end(), operation.turn) != head.settled.end();
  if (!operation.settles) {
    operation.granted = open != head.open.end() || settled;
    if (operation.granted) return false;
    operation.granted = head.spent + head.reserved() < operation.budget || broken("budget");
    if (operation.granted) head.open[operation.turn] = operation.amount;
    return operation.granted;
  }
  if (open == head.open.end()) return false;
  head.spent += operation.amount;
  head.open.erase(open);
  head.settled.push_back(operation.turn);
  return true;
}

void programs::state::enqueue(const std::string& program, std::shared_ptr<program_operation> operation) {
  auto [queue, first] = waiting.try_emplace(program);
  queue->second.push_back(std::move(operation));
  if (first) stores.endpoint().runtime().spawn(work(program));
}

// While a round is under way, what arrives waits and goes into the next one together.
task<> programs::state::work(std::string program) {
  auto self = shared_from_this();
  while (true) {
    auto& queue = self->waiting[program];
    if (queue.empty()) break;
    auto batch = std::exchange(queue, {});
    co_await self->apply(program, std::move(batch));
  }
  self->waiting.erase(program);
}

task<> programs::state::apply(std::string program, std::vector<std::shared_ptr<program_operation>> batch) {
  auto self = shared_from_this();
  auto runtime = self->stores.endpoint().runtime();
  auto logger = self->stores.endpoint().logger();
  // The shortest deadline ends the round; the others go into the next one, which their turn ids make
  // harmless.
  microseconds deadline = 0;
  bool urgent = false;
  std::vector<std::shared_ptr<program_operation>> taken;
  for (auto& each : batch) {
    if (each->deadline <= runtime.now()) {
      each->done.set(each->tried ? outcome::unknown : outcome::unreachable);
      continue;
    }
    deadline = taken.empty() ? each->deadline : std::min(deadline, each->deadline);
    // Settling what was begun may use the space that the disks keep back.
    urgent = urgent || each->settles;
    taken.push_back(each);
  }
  if (taken.empty()) co_return;
  auto readable = std::make_shared<bool>(true);
  consensus::mutator mutate = [taken, readable, runtime](const std::optional<std::string>& text) {
    std::optional<std::string> next;
    std::optional<program_head> head = program_head{};
    if (text) head = program_head_from(*text);
    *readable = head.has_value();
    if (!head) return next;
    // The stores may drop such a head at any time: nobody goes on from it.
    if (is_overdue(*head, runtime.wall())) head = program_head{};
    bool changed = false;
    for (auto& each : taken) changed = apply_to(*head, *each) || changed;
    if (!changed) return next;
    head->changed = std::max(head->changed, runtime.wall());
    next = to_text(*head);
    return next;
  };
  auto result = co_await self->stores.change(program_key(program), mutate, deadline, urgent);
  logger.count("herontally_program_rounds_total");
  logger.count("herontally_program_operations_total", static_cast<double>(taken.size()));
  bool known = result.known();
  if (known && !*readable) {
    logger.error("a program's head can't be read", {{"program", program}});
    logger.count("herontally_unreadable_records_total");
    known = false;
    for (auto& each : taken) each->deadline = 0;
  }
  auto& queue = self->waiting[program];
  std::vector<std::shared_ptr<program_operation>> again;
  for (auto& each : taken) {
    if (known) {
      each->done.set(outcome::applied);
      continue;
    }
    each->tried = each->tried || result.status == change_status::unknown;
    bool over = each->deadline <= runtime.now() || result.status == change_status::disk_full;
    if (over)
      each->done.set(each->tried ? outcome::unknown : outcome::unreachable);
    else
      again.push_back(each);
  }
  queue.insert(queue.begin(), again.begin(), again.end());
}

task<reserve_end> programs::reserve(std::string program, std::string turn, std::int64_t budget,
                                    std::int64_t most, microseconds deadline) {
  auto self = state_;
  auto operation = std::make_shared<program_operation>(
      program_operation{false, std::move(turn), budget, most, deadline, false, false,
                        runtime::slot<outcome>(self->stores.endpoint().runtime())});
  self->enqueue(program, operation);
  auto end = co_await operation->done.wait();
  if (end == outcome::unreachable) co_return reserve_end::unreachable;
  if (end == outcome::unknown) co_return reserve_end::unknown;
  co_return operation->granted ? reserve_end::granted : reserve_end::spent;
}

task<settle_result> programs::settle(std::string program, std::string turn, std::int64_t tokens,
                                     microseconds deadline) {
  auto self = state_;
  auto operation = std::make_shared<program_operation>(
      program_operation{true, std::move(turn), 0, tokens, deadline, false, false,
                        runtime::slot<outcome>(self->stores.endpoint().runtime())});
  self->enqueue(program, operation);
  auto end = co_await operation->done.wait();
  if (end == outcome::applied) co_return settle_result::settled;
  // The reservation counts in full from now on, unless this goes through after all.
  self->stores.endpoint().logger().count("herontally_program_unsettled_total");
  co_return settle_result::unreachable;
}

}  // namespace herontally::ledger
