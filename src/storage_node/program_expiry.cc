// Removes expired program records, operation records and stored turns from the local disk.
#include <limits>

#include "ledger/conversation_record.h"
#include "ledger/operation_ledger.h"
#include "ledger/program_record.h"
#include "storage_node/expiry.h"

namespace herontally::storage_node {

using runtime::millisecond;
using runtime::second;
using runtime::task;

namespace {
// Records examined in one step. Other tasks of the process run between the steps.
constexpr int records_per_step = 300;

bool is_expired_program(const std::string& value, std::int64_t wall) {
  auto record = ledger::program_record_from_text(value);
  return record && ledger::is_expired(*record, wall);
}

bool is_expired_operation(const std::string& value, std::int64_t wall) {
  auto record = ledger::operation_record_from_text(value);
  return record && ledger::is_expired(*record, wall);
}

using expiry_check = bool (*)(const std::string& value, std::int64_t wall);

// Returns whether a register with this promise and accepted value may be removed at wall-clock time `wall`. A
// register with a recent promise is kept, because the round that made it may still be in progress; ballot
// counters start from the wall-clock time.
bool is_removable(expiry_check is_expired, std::int64_t wall, const rpc::ballot& promised,
                  const std::optional<std::string>& value) {
  std::int64_t safe_wall = wall - ledger::retention_margin;
  if (promised.counter > safe_wall) return false;
  // Without a value, the register was only promised and the round was not completed.
  return !value || is_expired(*value, safe_wall);
}

// Returns the keys of the removable registers among the records of one step. `after` is advanced to the start
// of the next step, and is empty after the last one.
std::vector<std::string> find_expired(const replication::voter& voter, const runtime::handle& runtime,
                                      int bucket, const char* kind, expiry_check is_expired,
                                      std::string& after) {
  std::vector<std::string> expired;
  auto check_record = [&](const std::string& record, const std::string& bytes) {
    auto content = replica_storage::unpack_cell(bytes);
    if (is_removable(is_expired, runtime.wall(), content.promised, content.accepted_value()))
      expired.push_back(record.substr(2));
  };
  after = voter.records().for_each_record(bucket, std::string("k/") + kind, after, records_per_step,
                                          check_record);
  return expired;
}

// Removes the registers that are still removable when the voter processes them. Returns their number.
task<int> remove_expired(replication::voter voter, runtime::handle runtime, std::vector<std::string> expired,
                         expiry_check is_expired) {
  auto still_removable = [runtime, is_expired](const rpc::ballot& promised,
                                               const std::optional<std::string>& value) {
    return is_removable(is_expired, runtime.wall(), promised, value);
  };
  co_return co_await voter.remove_registers_if(std::move(expired), still_removable);
}

task<> remove_expired_programs(replication::voter voter, runtime::handle runtime, logging::logger logger,
                               int bucket) {
  std::string after;
  do {
    auto expired = find_expired(voter, runtime, bucket, ledger::program_prefix, is_expired_program, after);
    int removed = co_await remove_expired(voter, runtime, std::move(expired), is_expired_program);
    logger.count("herontally_programs_expired_total", removed);
    co_await runtime.sleep(5 * millisecond);
  } while (!after.empty());
}

// Pauses only between steps, because most storage nodes hold no operation records.
task<> remove_expired_operations(replication::voter voter, runtime::handle runtime, logging::logger logger,
                                 int bucket) {
  std::string after;
  do {
    auto expired =
        find_expired(voter, runtime, bucket, ledger::operation_prefix, is_expired_operation, after);
    if (!expired.empty()) {
      int removed = co_await remove_expired(voter, runtime, std::move(expired), is_expired_operation);
      logger.count("herontally_operations_expired_total", removed);
    }
    if (!after.empty()) co_await runtime.sleep(5 * millisecond);
  } while (!after.empty());
}

task<> remove_expired_turns(replication::voter voter, runtime::handle runtime, logging::logger logger,
                            int bucket) {
  std::string after;
  const std::string prefix = std::string("c/") + ledger::turn_prefix;
  do {
    std::vector<std::string> expired;
    auto check_record = [&](const std::string& record, std::int64_t retained_until) {
      if (runtime.wall() - ledger::retention_margin > retained_until) expired.push_back(record.substr(2));
    };
    after = voter.records().for_each_attribute(bucket, prefix, after, records_per_step, check_record);
    if (!expired.empty()) {
      logger.count("herontally_turns_expired_total", static_cast<double>(expired.size()));
      co_await voter.remove_contents(std::move(expired));
    }
    co_await runtime.sleep(5 * millisecond);
  } while (!after.empty());
}
}  // namespace

std::int64_t retention_end_attribute(const std::string& record, std::string_view bytes) {
  const std::string prefix = std::string("c/") + ledger::turn_prefix;
  constexpr std::int64_t never = std::numeric_limits<std::int64_t>::max();
  return record.rfind(prefix, 0) == 0 ? ledger::retention_end_of(bytes).value_or(never) : never;
}

task<> expire_programs_forever(replication::voter voter, runtime::handle runtime, logging::logger logger) {
  while (true) {
    co_await runtime.sleep(5 * second + static_cast<runtime::microseconds>(runtime.draw(500 * millisecond)));
    if (voter.current_view().number == 0) continue;
    for (int bucket = 0; bucket < static_cast<int>(voter.records().buckets().size()); ++bucket) {
      co_await remove_expired_programs(voter, runtime, logger, bucket);
      co_await remove_expired_operations(voter, runtime, logger, bucket);
      co_await remove_expired_turns(voter, runtime, logger, bucket);
    }
  }
}

}  // namespace herontally::storage_node
