// Receipts of effectful calls.
#include "ledger/book.h"
#include "runtime/breaks.h"

namespace herontally::ledger {

using consensus::change_status;
using runtime::microseconds;
using runtime::task;

task<book::call_result> book::begin_call(std::string key, call_record first, microseconds deadline) {
  auto result = std::make_shared<call_result>();
  auto mutate = [first, result](const std::optional<std::string>& text) -> std::optional<std::string> {
    auto now = call_record_from(text);
    if (now && now->body_digest != first.body_digest) {
      result->end = call_end::mismatch;
      return std::nullopt;
    }
    // A attempt that was agreed never to run leaves the key free for the next one.
    bool free = !now || now->state == "not-run";
    if (!free) {
      result->end =
          now->request_id == first.request_id || broken("started") ? call_end::mine : call_end::found;
      result->record = *now;
      return std::nullopt;
    }
    // This request's own attempt was already ended as not run, by somebody else: it must not come back.
    if (now && now->request_id == first.request_id) {
      result->end = call_end::found;
      result->record = *now;
      return std::nullopt;
    }
    call_record next = first;
    next.attempt = now ? now->attempt + 1 : 1;
    result->end = call_end::mine;
    result->record = next;
    return to_text(next);
  };
  auto changed = co_await stores_.change(std::move(key), mutate, deadline);
  call_result out = *result;
  if (changed.status == change_status::unknown) out.end = call_end::unknown;
  if (changed.status == change_status::unreachable) out.end = call_end::unreachable;
  if (changed.status == change_status::disk_full) out.end = call_end::full;
  co_return out;
}

task<bool> book::end_call(std::string key, call_record last, microseconds deadline) {
  auto mine = std::make_shared<bool>(false);
  auto mutate = [last, mine](const std::optional<std::string>& text) -> std::optional<std::string> {
    auto now = call_record_from(text);
    *mine =
        now && now->request_id == last.request_id && now->attempt == last.attempt && now->state == last.state;
    bool still =
        now && now->request_id == last.request_id && now->attempt == last.attempt && now->state == "started";
    if (!still) return std::nullopt;
    *mine = true;
    return to_text(last);
  };
  auto changed = co_await stores_.change(std::move(key), mutate, deadline, true);
  bool known = changed.known();
  co_return known&&* mine;
}

task<book::call_look> book::look_call(std::string key, microseconds deadline) {
  auto result = co_await stores_.read(std::move(key), deadline);
  call_look look;
  look.read = result.known();
  look.record = call_record_from(result.value);
  co_return look;
}

}  // namespace herontally::ledger
