#include "ledger/operation_ledger.h"

#include "runtime/breaks.h"

namespace herontally::ledger {

using consensus::change_status;
using runtime::microseconds;
using runtime::task;

std::string to_text(const operation_record& content) {
  return dump(nlohmann::json(content)) + "\n" + content.body;
}

std::optional<operation_record> operation_record_from_text(const std::string& text) {
  auto end = text.find('\n');
  if (end == std::string::npos) return std::nullopt;
  auto content = parse<operation_record>(text.substr(0, end));
  if (!content || content->state == operation_state::unrecognized) return std::nullopt;
  content->body = text.substr(end + 1);
  return content;
}

bool is_expired(const operation_record& content, std::int64_t wall) { return wall > content.keep_until; }

std::string operation_record_key(const std::string& operation) {
  constexpr std::size_t digest_letters = 40;
  // The client's key may hold any bytes and any length; its digest doesn't.
  return operation_prefix + digest_of(operation).substr(0, digest_letters);
}

// The record that claims the operation; nothing where `result` says what stands there.
static std::optional<operation_record> decide_claim(const std::optional<std::string>& text,
                                                    const operation_record& first, std::int64_t wall,
                                                    claim_result& result) {
  std::optional<operation_record> now;
  if (text) now = operation_record_from_text(*text);
  if (text && !now) {
    result.status = claim_status::unknown_end;
    return std::nullopt;
  }
  bool free = !now || now->state == operation_state::not_run || is_expired(*now, wall);
  if (free) {
    result = {claim_status::claimed, first};
    return first;
  }
  result.record = *now;
  bool own = now->owner == first.owner;
  if (now->state == operation_state::answered)
    result.status = claim_status::answered;
  else if (own || now->deduplicated || broken("operation_claim"))
    result.status = claim_status::claimed;
  else
    result.status = wall <= now->running_until ? claim_status::in_progress : claim_status::unknown_end;
  return std::nullopt;
}

task<claim_result> operation_ledger::claim(std::string operation, operation_record first,
                                           microseconds deadline) {
  auto result = std::make_shared<claim_result>();
  auto runtime = stores_.endpoint().runtime();
  consensus::mutator mutate =
      [first, result, runtime](const std::optional<std::string>& text) -> std::optional<std::string> {
    auto next = decide_claim(text, first, runtime.wall(), *result);
    if (!next) return std::nullopt;
    return to_text(*next);
  };
  auto changed = co_await stores_.change(operation_record_key(operation), mutate, deadline);
  claim_result out = *result;
  if (changed.status == change_status::unknown) out.status = claim_status::uncertain;
  bool not_written =
      changed.status == change_status::unreachable || changed.status == change_status::disk_full;
  if (not_written) out.status = claim_status::unreachable;
  co_return out;
}

task<bool> operation_ledger::finish(std::string operation, operation_record last, microseconds deadline) {
  auto finished = std::make_shared<bool>(false);
  consensus::mutator mutate =
      [last, finished](const std::optional<std::string>& text) -> std::optional<std::string> {
    *finished = false;
    auto now = text ? operation_record_from_text(*text) : std::nullopt;
    if (!now || now->owner != last.owner) return std::nullopt;
    *finished = true;
    if (now->state != operation_state::claimed) {
      *finished = now->state == last.state;
      return std::nullopt;
    }
    return to_text(last);
  };
  auto changed = co_await stores_.change(operation_record_key(operation), mutate, deadline, true);
  co_return changed.known() && *finished;
}

}  // namespace herontally::ledger
