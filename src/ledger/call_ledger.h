// The ledger of calls that may run at most once, by the client's idempotency key. Every answer rests on a
// majority of the storage machines' synced disks.
//
// Invariants: an engine hears of a call only after `started` is agreed for this attempt; "not run" is
// promised only once `not_run` is agreed, which a proxy that was frozen meanwhile can't undo.
#pragma once
#include "consensus/proposer.h"
#include "ledger/text.h"
#include "serialization/json_fields.h"

namespace herontally::ledger {

enum class call_state {
  unrecognized,  // a word that this version doesn't know: it may have run
  started,       // it may have run
  done,          // it ran, with this answer
  not_run,       // this attempt never runs
  expired,       // it ran, and its answer's retention is over
};
NLOHMANN_JSON_SERIALIZE_ENUM(call_state, {{call_state::unrecognized, nullptr},
                                          {call_state::started, "started"},
                                          {call_state::done, "done"},
                                          {call_state::not_run, "not-run"},
                                          {call_state::expired, "gone"}})

// The idempotency record of a call. Times are of the wall clock, in microseconds.
struct call_record {
  call_state state = call_state::started;
  std::string request_id, body_digest, engine, content_type, answer;
  std::int64_t attempt = 0, status = 0, started = 0, keep_until = 0;
  bool readable = true;  // false: there is a record that this version can't read; the call may have run

  static constexpr auto json_fields() {
    using serialization::json_field;
    return std::make_tuple(
        json_field(&call_record::state, "state"), json_field(&call_record::request_id, "request_id"),
        json_field(&call_record::body_digest, "body_digest"), json_field(&call_record::engine, "engine"),
        json_field(&call_record::content_type, "content_type"), json_field(&call_record::answer, "answer"),
        json_field(&call_record::attempt, "attempt"), json_field(&call_record::status, "status"),
        json_field(&call_record::started, "started"), json_field(&call_record::keep_until, "keep_until"));
  }
};
std::string to_text(const call_record& content);
// Nothing if there is no record; one that isn't `readable` if the text can't be read.
std::optional<call_record> call_record_from_text(const std::optional<std::string>& text);
std::string call_record_key(const std::string& partner, const std::string& route, const std::string& key);

enum class call_status {
  begun,        // durable: an engine may hear of the call
  found,        // the key was used before, as the record tells
  mismatch,     // the key was used with another body
  unreachable,  // no majority; certainly not begun
  disk_full,    // no capacity; certainly not begun
  unknown,      // no majority; it may be begun, but nothing was run
};
struct call_result {
  call_status status = call_status::unreachable;
  call_record record;
};
struct call_lookup {
  bool read = false;  // false: no majority could be asked
  std::optional<call_record> record;
};

class call_ledger {
 public:
  explicit call_ledger(consensus::proposer stores) : stores_(std::move(stores)) {}
  runtime::task<call_result> begin(std::string key, call_record first, runtime::microseconds deadline);
  // Moves the record of this request's attempt on; false when it no longer is this attempt's, or can't be
  // settled.
  runtime::task<bool> finish(std::string key, call_record last, runtime::microseconds deadline);
  runtime::task<call_lookup> read(std::string key, runtime::microseconds deadline);

 private:
  consensus::proposer stores_;
};

}  // namespace herontally::ledger
