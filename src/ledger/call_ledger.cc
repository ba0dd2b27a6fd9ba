#include "ledger/call_ledger.h"

#include "runtime/breaks.h"
#include "serialization/bounded_json.h"

namespace herontally::ledger {

using consensus::change_status;
using runtime::microseconds;
using runtime::task;

std::string to_text(const call_record& content) { return dump(nlohmann::json(content)); }

std::optional<call_record> call_record_from_text(const std::optional<std::string>& text) {
  if (!text) return std::nullopt;
  auto document = serialization::parse_bounded_object(*text, serialization::max_record_depth);
  if (document) {
    auto found = parse<call_record>(dump(with_defaults(*document, {{"keep_until", 0}})));
    if (found && found->state != call_state::unrecognized) return found;
  }
  // There is a record, whatever it says: the call may have run.
  call_record unreadable;
  unreadable.readable = false;
  return unreadable;
}

std::string call_record_key(const std::string& partner, const std::string& route, const std::string& key) {
  constexpr std::size_t digest_letters = 40;
  // The client's key may hold any bytes and any length; its digest doesn't.
  return "r/" + partner + "/" + route + "/" + digest_of(key).substr(0, digest_letters);
}

// The record that begins the call, or nothing and what stands against it.
static std::optional<call_record> decide_begin(const std::optional<call_record>& now,
                                               const call_record& first, call_result& result) {
  if (now && now->body_digest != first.body_digest) {
    result.status = call_status::mismatch;
    return std::nullopt;
  }
  // An attempt that was agreed never to run leaves the key free for the next one.
  bool own = now && now->request_id == first.request_id;
  bool free = !now || now->state == call_state::not_run;
  if (!free || own) {
    // This request's own attempt that was ended as not run, by somebody else, must not come back.
    bool resumed = !free && (own || broken("started"));
    result.status = resumed ? call_status::begun : call_status::found;
    result.record = *now;
    return std::nullopt;
  }
  call_record next = first;
  next.attempt = now ? now->attempt + 1 : 1;
  result.status = call_status::begun;
  result.record = next;
  return next;
}

task<call_result> call_ledger::begin(std::string key, call_record first, microseconds deadline) {
  auto result = std::make_shared<call_result>();
  auto mutate = [first, result](const std::optional<std::string>& text) -> std::optional<std::string> {
    auto next = decide_begin(call_record_from_text(text), first, *result);
    if (!next) return std::nullopt;
    return to_text(*next);
  };
  auto changed = co_await stores_.change(std::move(key), mutate, deadline);
  call_result out = *result;
  if (changed.status == change_status::unknown) out.status = call_status::unknown;
  if (changed.status == change_status::unreachable) out.status = call_status::unreachable;
  if (changed.status == change_status::disk_full) out.status = call_status::disk_full;
  co_return out;
}

task<bool> call_ledger::finish(std::string key, call_record last, microseconds deadline) {
  auto finished = std::make_shared<bool>(false);
  auto mutate = [last, finished](const std::optional<std::string>& text) -> std::optional<std::string> {
    auto now = call_record_from_text(text);
    bool own = now && now->request_id == last.request_id && now->attempt == last.attempt;
    *finished = own && now->state == last.state;
    if (!own || now->state != call_state::started) return std::nullopt;
    *finished = true;
    return to_text(last);
  };
  auto changed = co_await stores_.change(std::move(key), mutate, deadline, true);
  co_return changed.known() && *finished;
}

task<call_lookup> call_ledger::read(std::string key, microseconds deadline) {
  auto result = co_await stores_.read(std::move(key), deadline);
  co_return call_lookup{result.known(), call_record_from_text(result.value)};
}

}  // namespace herontally::ledger
