// Deduplicates operations: of all requests of one tenant with the same operation key, one runs. Every result
// is agreed by a majority of the storage nodes and synced to their disks. The ledger does not send operations
// to engines and does not remove expired records; see storage_node/expiry.h.
//
// Invariants:
// - An operation is sent to an engine only after its claim is agreed, and only to the service named in the
//   claim.
// - An operation whose outcome is unknown is not claimed again within its retention window. Services whose
//   engines share a deduplication table are the exception: those run an operation once, however often it is
//   sent.
#pragma once
#include <map>

#include "consensus/proposer.h"
#include "ledger/text.h"
#include "serialization/json_fields.h"

namespace herontally::ledger {

enum class operation_state {
  unrecognized,  // a state name that this version doesn't know; the operation may have run
  claimed,       // the operation may be running or have run
  answered,      // the operation ran; the record holds its response
  not_run,       // the claimed attempt never ran; the key may be claimed again
};
NLOHMANN_JSON_SERIALIZE_ENUM(operation_state, {{operation_state::unrecognized, nullptr},
                                               {operation_state::claimed, "claimed"},
                                               {operation_state::answered, "answered"},
                                               {operation_state::not_run, "not-run"}})

// The record of one operation key. Times are wall-clock times in microseconds.
struct operation_record {
  operation_state state = operation_state::claimed;
  std::string owner;          // identifies the claim; unique to one request at one node
  std::string service;        // only its engines may run the operation
  bool deduplicated = false;  // its engines share a deduplication table, so the operation may be sent again
  std::int64_t running_until = 0;              // after this no engine runs the operation for `owner`
  std::int64_t keep_until = 0;                 // after this the key identifies a new operation
  std::int64_t status = 0;                     // HTTP status of the response
  std::map<std::string, std::string> headers;  // of the response
  std::string body;                            // of the response; stored unencoded after the JSON line

  static constexpr auto json_fields() {
    using serialization::json_field;
    return std::make_tuple(
        json_field(&operation_record::state, "state"), json_field(&operation_record::owner, "owner"),
        json_field(&operation_record::service, "service"),
        json_field(&operation_record::deduplicated, "deduplicated"),
        json_field(&operation_record::running_until, "running_until"),
        json_field(&operation_record::keep_until, "keep_until"),
        json_field(&operation_record::status, "status"), json_field(&operation_record::headers, "headers"));
  }
};

// Returns a line of JSON followed by the body.
std::string to_text(const operation_record& record);
// Returns nullopt if this version can't read the text; the operation may have run.
std::optional<operation_record> operation_record_from_text(const std::string& text);
// Returns whether the retention window has ended at wall-clock time `wall`, without a margin for clock
// differences.
bool is_expired(const operation_record& record, std::int64_t wall);

constexpr const char* operation_prefix = "operation/";
// Returns the register key of an operation's record. `operation` is the operation key scoped by its tenant.
std::string operation_record_key(const std::string& operation);

enum class claim_status {
  claimed,          // durable; the operation may be sent to an engine of the record's service
  answered,         // the operation ran; the record holds its response
  in_progress,      // another request with this key may still be running
  outcome_unknown,  // the operation may have run, and its response is lost
  unreachable,      // no majority, or no disk capacity; no claim was made
  uncertain,        // no majority; a claim may have been made, but the operation was not run
};
struct claim_result {
  claim_status status = claim_status::unreachable;
  operation_record record;
};

// Deadlines are times of the runtime's steady clock, in microseconds.
class operation_ledger {
 public:
  explicit operation_ledger(consensus::proposer proposer) : proposer_(std::move(proposer)) {}
  // Claims the operation with the record `initial`, unless its key is already in use.
  runtime::task<claim_result> claim(std::string operation, operation_record initial,
                                    runtime::microseconds deadline);
  // Replaces the claim with its outcome: a response, or that the operation never ran. Returns false if no
  // majority confirmed the write, or if the claim belongs to another request by now.
  runtime::task<bool> finish(std::string operation, operation_record outcome, runtime::microseconds deadline);

 private:
  consensus::proposer proposer_;
};

}  // namespace herontally::ledger
