// Runs calls at most once, using a replicated idempotency record for each client key. Every result is agreed
// by a majority of the storage nodes and synced to their disks. The ledger does not send calls to engines;
// proxies do so according to its results.
//
// Invariants:
// - A call is sent to an engine only after `started` is agreed for this attempt.
// - A client receives "not run" for a call only after `not_run` is agreed. A proxy that was suspended
//   meanwhile can't undo that when it resumes, because it finds its attempt no longer in the state
//   `started`.
#pragma once
#include "consensus/proposer.h"
#include "ledger/text.h"
#include "serialization/json_fields.h"

namespace herontally::ledger {

enum class call_state {
  unrecognized,  // a state name that this version doesn't know; the call may have run
  started,       // the call may have run
  done,          // the call ran; the record holds its response
  not_run,       // this attempt has not run and never will
  expired,       // the call ran, and the retention of its response has ended
};
NLOHMANN_JSON_SERIALIZE_ENUM(call_state, {{call_state::unrecognized, nullptr},
                                          {call_state::started, "started"},
                                          {call_state::done, "done"},
                                          {call_state::not_run, "not-run"},
                                          {call_state::expired, "gone"}})

// The idempotency record of a call. `started` and `keep_until` are wall-clock times in microseconds;
// `attempt` counts attempts from 1; `status` is the HTTP status of the response.
struct call_record {
  call_state state = call_state::started;
  std::string request_id, body_digest, engine, content_type, answer;
  std::int64_t attempt = 0, status = 0, started = 0, keep_until = 0;
  bool readable = true;  // false if a record exists that this version can't read; the call may have run

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
std::string to_text(const call_record& record);
// Returns nullopt if there is no record, and a record with `readable == false` if the text can't be parsed.
std::optional<call_record> call_record_from_text(const std::optional<std::string>& text);
// Returns the register key of a call's record. `key` is the client's idempotency key.
std::string call_record_key(const std::string& partner, const std::string& route, const std::string& key);

enum class call_status {
  begun,        // the start is durable; the call may be sent to an engine
  found,        // the key was used before; `record` holds the earlier call
  mismatch,     // the key was used with a different request body
  unreachable,  // no majority; the start was not written
  disk_full,    // no disk capacity for new calls; the start was not written
  unknown,      // no majority; the start may have been written, but the call was not run
};
struct call_result {
  call_status status = call_status::unreachable;
  call_record record;
};
struct call_lookup {
  bool read = false;  // false if no majority answered before the deadline
  std::optional<call_record> record;
};

// Deadlines are times of the runtime's steady clock, in microseconds.
class call_ledger {
 public:
  explicit call_ledger(consensus::proposer proposer) : proposer_(std::move(proposer)) {}
  // Writes the record that starts the call, unless the key is already in use. Must complete with `begun`
  // before the call is sent to an engine.
  runtime::task<call_result> begin(std::string key, call_record initial, runtime::microseconds deadline);
  // Replaces the `started` record of this request's attempt with its final state. Returns false if the record
  // belongs to another attempt by now, or if no majority confirmed the write. May use the disk capacity
  // reserved for completing started calls.
  runtime::task<bool> finish(std::string key, call_record final_record, runtime::microseconds deadline);
  // Reads the agreed record of a key.
  runtime::task<call_lookup> read(std::string key, runtime::microseconds deadline);

 private:
  consensus::proposer proposer_;
};

}  // namespace herontally::ledger
