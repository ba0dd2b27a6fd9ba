#include "ledger/operation_ledger.h"

#include "runtime/breaks.h"

namespace herontally::ledger {

using consensus::change_status;
using runtime::microseconds;
using runtime::task;

std::string to_text(const operation_record& record) {
  return dump(nlohmann::json(record)) + "\n" + record.body;
}

std::optional<operation_record> operation_record_from_text(const std::string& text) {
  auto line_end = text.find('\n');
  if (line_end == std::string::npos) return std::nullopt;
  auto record = parse_record<operation_record>(text.substr(0, line_end));
  if (!record || record->state == operation_state::unrecognized) return std::nullopt;
  record->body = text.substr(line_end + 1);
  return record;
}

bool is_expired(const operation_record& record, std::int64_t wall) { return wall > record.keep_until; }

std::string operation_record_key(const std::string& operation) {
  constexpr std::size_t digest_length = 40;
  // The client's key may have any length and contain any bytes; its digest is bounded and plain ASCII.
  return operation_prefix + digest_of(operation).substr(0, digest_length);
}

// Returns the record that claims the operation and sets `result`. Returns nullopt if nothing is to be
// written; `result` then says why.
static std::optional<operation_record> decide_claim(const std::optional<std::string>& text,
                                                    const operation_record& initial, std::int64_t wall,
                                                    claim_result& result) {
  std::optional<operation_record> current;
  if (text) current = operation_record_from_text(*text);
  if (text && !current) {
    result.status = claim_status::outcome_unknown;
    return std::nullopt;
  }
  bool available = !current || current->state == operation_state::not_run || is_expired(*current, wall);
  if (available) {
    result = {claim_status::claimed, initial};
    return initial;
  }
  result.record = *current;
  bool is_owner = current->owner == initial.owner;
  if (current->state == operation_state::answered)
    result.status = claim_status::answered;
  else if (is_owner || current->deduplicated || broken("operation_claim"))
    result.status = claim_status::claimed;
  else
    result.status =
        wall <= current->running_until ? claim_status::in_progress : claim_status::outcome_unknown;
  return std::nullopt;
}

task<claim_result> operation_ledger::claim(std::string operation, operation_record initial,
                                           microseconds deadline) {
  auto result = std::make_shared<claim_result>();
  auto runtime = proposer_.endpoint().runtime();
  consensus::mutator mutate =
      [initial, result, runtime](const std::optional<std::string>& text) -> std::optional<std::string> {
    auto next = decide_claim(text, initial, runtime.wall(), *result);
    if (!next) return std::nullopt;
    return to_text(*next);
  };
  auto changed = co_await proposer_.change(operation_record_key(operation), mutate, deadline);
  claim_result out = *result;
  if (changed.status == change_status::unknown) out.status = claim_status::uncertain;
  bool not_written =
      changed.status == change_status::unreachable || changed.status == change_status::disk_full;
  if (not_written) out.status = claim_status::unreachable;
  co_return out;
}

task<bool> operation_ledger::finish(std::string operation, operation_record outcome, microseconds deadline) {
  auto finished = std::make_shared<bool>(false);
  consensus::mutator mutate =
      [outcome, finished](const std::optional<std::string>& text) -> std::optional<std::string> {
    *finished = false;
    auto current = text ? operation_record_from_text(*text) : std::nullopt;
    if (!current || current->owner != outcome.owner) return std::nullopt;
    *finished = true;
    if (current->state != operation_state::claimed) {
      *finished = current->state == outcome.state;
      return std::nullopt;
    }
    return to_text(outcome);
  };
  auto changed = co_await proposer_.change(operation_record_key(operation), mutate, deadline, true);
  co_return changed.known() && *finished;
}

}  // namespace herontally::ledger
