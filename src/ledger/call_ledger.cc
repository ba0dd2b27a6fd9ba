#include "ledger/call_ledger.h"

#include "runtime/breaks.h"
#include "serialization/bounded_json.h"

namespace herontally::ledger {

using consensus::change_status;
using runtime::microseconds;
using runtime::task;

std::string to_text(const call_record& record) { return dump(nlohmann::json(record)); }

std::optional<call_record> call_record_from_text(const std::optional<std::string>& text) {
  if (!text) return std::nullopt;
  auto document = serialization::parse_bounded_object(*text, serialization::max_record_depth);
  if (document) {
    auto record = parse_record<call_record>(dump(with_defaults(*document, {{"keep_until", 0}})));
    if (record && record->state != call_state::unrecognized) return record;
  }
  // A record exists but can't be interpreted, so the call may have run.
  call_record unreadable;
  unreadable.readable = false;
  return unreadable;
}

std::string call_record_key(const std::string& partner, const std::string& route, const std::string& key) {
  constexpr std::size_t digest_length = 40;
  // The client's key may have any length and contain any bytes; its digest is bounded and plain ASCII.
  return "r/" + partner + "/" + route + "/" + digest_of(key).substr(0, digest_length);
}

// Returns the record that starts the call and sets `result`. Returns nullopt if nothing is to be written;
// `result` then says why.
static std::optional<call_record> decide_begin(const std::optional<call_record>& current,
                                               const call_record& initial, call_result& result) {
  if (current && current->body_digest != initial.body_digest) {
    result.status = call_status::mismatch;
    return std::nullopt;
  }
  // After an attempt that is agreed not to have run, the key may be used by the next attempt.
  bool is_owner = current && current->request_id == initial.request_id;
  bool available = !current || current->state == call_state::not_run;
  if (!available || is_owner) {
    // An attempt of this request that another node has ended as not run must not be resumed.
    bool resumed = !available && (is_owner || broken("started"));
    result.status = resumed ? call_status::begun : call_status::found;
    result.record = *current;
    return std::nullopt;
  }
  call_record next = initial;
  next.attempt = current ? current->attempt + 1 : 1;
  result.status = call_status::begun;
  result.record = next;
  return next;
}

task<call_result> call_ledger::begin(std::string key, call_record initial, microseconds deadline) {
  auto result = std::make_shared<call_result>();
  auto mutate = [initial, result](const std::optional<std::string>& text) -> std::optional<std::string> {
    auto next = decide_begin(call_record_from_text(text), initial, *result);
    if (!next) return std::nullopt;
    return to_text(*next);
  };
  auto changed = co_await proposer_.change(std::move(key), mutate, deadline);
  call_result out = *result;
  if (changed.status == change_status::unknown) out.status = call_status::unknown;
  if (changed.status == change_status::unreachable) out.status = call_status::unreachable;
  if (changed.status == change_status::disk_full) out.status = call_status::disk_full;
  co_return out;
}

task<bool> call_ledger::finish(std::string key, call_record final_record, microseconds deadline) {
  auto finished = std::make_shared<bool>(false);
  auto mutate = [final_record,
                 finished](const std::optional<std::string>& text) -> std::optional<std::string> {
    auto current = call_record_from_text(text);
    bool is_owner =
        current && current->request_id == final_record.request_id && current->attempt == final_record.attempt;
    *finished = is_owner && current->state == final_record.state;
    if (!is_owner || current->state != call_state::started) return std::nullopt;
    *finished = true;
    return to_text(final_record);
  };
  auto changed = co_await proposer_.change(std::move(key), mutate, deadline, true);
  co_return changed.known() && *finished;
}

task<call_lookup> call_ledger::read(std::string key, microseconds deadline) {
  auto result = co_await proposer_.read(std::move(key), deadline);
  co_return call_lookup{result.known(), call_record_from_text(result.value)};
}

}  // namespace herontally::ledger
