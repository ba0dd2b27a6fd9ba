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
// Records that are examined before other tasks of the process run.
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

// A round that had its promise here may still be under way: its ballot begins with the wall clock.
bool is_removable(expiry_check is_expired, std::int64_t wall, const rpc::ballot& promised,
                  const std::optional<std::string>& value) {
  std::int64_t sure = wall - ledger::retention_margin;
  if (promised.counter > sure) return false;
  // Only promised to, and nothing came of it.
  return !value || is_expired(*value, sure);
}

// The overdue registers of one step; `after` is moved on to where the next step begins, empty: there is none.
std::vector<std::string> find_overdue(const replication::voter& voter, const runtime::handle& runtime,
                                      int bucket, const char* kind, expiry_check is_expired,
                                      std::string& after) {
  std::vector<std::string> overdue;
  auto handle_record = [&](const std::string& record, const std::string& bytes) {
    auto content = replica_storage::unpack_cell(bytes);
    if (is_removable(is_expired, runtime.wall(), content.promised, content.accepted_value()))
      overdue.push_back(record.substr(2));
  };
  after = voter.records().for_each_record(bucket, std::string("k/") + kind, after, records_per_step,
                                          handle_record);
  return overdue;
}

task<int> remove_overdue(replication::voter voter, runtime::handle runtime, std::vector<std::string> overdue,
                         expiry_check is_expired) {
  auto sure = [runtime, is_expired](const rpc::ballot& promised, const std::optional<std::string>& value) {
    return is_removable(is_expired, runtime.wall(), promised, value);
  };
  co_return co_await voter.remove_registers_if(std::move(overdue), sure);
}

task<> remove_expired_programs(replication::voter voter, runtime::handle runtime, logging::logger logger,
                               int bucket) {
  std::string after;
  do {
    auto overdue = find_overdue(voter, runtime, bucket, ledger::program_prefix, is_expired_program, after);
    int removed = co_await remove_overdue(voter, runtime, std::move(overdue), is_expired_program);
    logger.count("herontally_programs_expired_total", removed);
    co_await runtime.sleep(5 * millisecond);
  } while (!after.empty());
}

// Most stores hold none: then nothing is waited for.
task<> remove_expired_operations(replication::voter voter, runtime::handle runtime, logging::logger logger,
                                 int bucket) {
  std::string after;
  do {
    auto overdue =
        find_overdue(voter, runtime, bucket, ledger::operation_prefix, is_expired_operation, after);
    if (!overdue.empty()) {
      int removed = co_await remove_overdue(voter, runtime, std::move(overdue), is_expired_operation);
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
    std::vector<std::string> overdue;
    auto handle_record = [&](const std::string& record, std::int64_t kept_until) {
      if (runtime.wall() - ledger::retention_margin > kept_until) overdue.push_back(record.substr(2));
    };
    after = voter.records().for_each_attribute(bucket, prefix, after, records_per_step, handle_record);
    if (!overdue.empty()) {
      logger.count("herontally_turns_expired_total", static_cast<double>(overdue.size()));
      co_await voter.remove_contents(std::move(overdue));
    }
    co_await runtime.sleep(5 * millisecond);
  } while (!after.empty());
}
}  // namespace

std::int64_t kept_until_attribute(const std::string& record, std::string_view bytes) {
  const std::string prefix = std::string("c/") + ledger::turn_prefix;
  constexpr std::int64_t never = std::numeric_limits<std::int64_t>::max();
  return record.rfind(prefix, 0) == 0 ? ledger::kept_until_of(bytes).value_or(never) : never;
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
