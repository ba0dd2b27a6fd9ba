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

// Registers of one kind: where they stand, and when the time that a value carries itself is over.
struct register_kind {
  const char* prefix;
  const char* counter;
  bool (*is_expired)(const std::string& value, std::int64_t wall);
};

bool is_expired_program(const std::string& value, std::int64_t wall) {
  auto record = ledger::program_record_from_text(value);
  return record && ledger::is_expired(*record, wall);
}

bool is_expired_operation(const std::string& value, std::int64_t wall) {
  auto record = ledger::operation_record_from_text(value);
  return record && ledger::is_expired(*record, wall);
}

constexpr register_kind expiring_registers[] = {
    {ledger::program_prefix, "herontally_programs_expired_total", is_expired_program},
    {ledger::operation_prefix, "herontally_operations_expired_total", is_expired_operation},
};

// A round that had its promise here may still be under way: its ballot begins with the wall clock.
bool is_removable(const register_kind& kind, std::int64_t wall, const rpc::ballot& promised,
                  const std::optional<std::string>& value) {
  std::int64_t sure = wall - ledger::retention_margin;
  if (promised.counter > sure) return false;
  // Only promised to, and nothing came of it.
  return !value || kind.is_expired(*value, sure);
}

task<> remove_expired_registers(replication::voter voter, runtime::handle runtime, logging::logger logger,
                                int bucket, register_kind kind) {
  std::string after;
  const std::string prefix = std::string("k/") + kind.prefix;
  do {
    std::vector<std::string> overdue;
    auto handle_record = [&](const std::string& record, const std::string& bytes) {
      auto content = replica_storage::unpack_cell(bytes);
      if (is_removable(kind, runtime.wall(), content.promised, content.accepted_value()))
        overdue.push_back(record.substr(2));
    };
    after = voter.records().for_each_record(bucket, prefix, after, records_per_step, handle_record);
    auto sure = [runtime, kind](const rpc::ballot& promised, const std::optional<std::string>& value) {
      return is_removable(kind, runtime.wall(), promised, value);
    };
    int removed = co_await voter.remove_registers_if(std::move(overdue), sure);
    logger.count(kind.counter, removed);
    co_await runtime.sleep(5 * millisecond);
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
      for (auto& kind : expiring_registers)
        co_await remove_expired_registers(voter, runtime, logger, bucket, kind);
      co_await remove_expired_turns(voter, runtime, logger, bucket);
    }
  }
}

}  // namespace herontally::storage_node
