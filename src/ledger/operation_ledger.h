// The ledger of operations: requests of one tenant under one operation key, of which one runs. Every answer
// rests on a majority of the storage machines' synced disks.
//
// Invariants: an engine hears of an operation only after the claim is agreed, and only at the service that
// the claim names. An operation whose end isn't known is never claimed anew within its window, but for
// services whose engines share a table of keys: those run it once, however often it is sent.
#pragma once
#include <map>

#include "consensus/proposer.h"
#include "ledger/text.h"
#include "serialization/json_fields.h"

namespace herontally::ledger {

enum class operation_state {
  unrecognized,  // a word that this version doesn't know: it may have run
  claimed,       // it may run or have run
  answered,      // it ran, with the answer that the record holds
  not_run,       // the claimer's attempt never ran: the key is free
};
NLOHMANN_JSON_SERIALIZE_ENUM(operation_state, {{operation_state::unrecognized, nullptr},
                                               {operation_state::claimed, "claimed"},
                                               {operation_state::answered, "answered"},
                                               {operation_state::not_run, "not-run"}})

// Times are of the wall clock, in microseconds.
struct operation_record {
  operation_state state = operation_state::claimed;
  std::string owner;               // the claim: unique to one request at one node
  std::string service;             // whose engines may run it
  bool deduplicated = false;       // they share a table of keys: the operation may be sent there again
  std::int64_t running_until = 0;  // no engine works on it for its owner any longer
  std::int64_t keep_until = 0;     // the key names this operation until then
  std::int64_t status = 0;
  std::map<std::string, std::string> headers;  // of the answer
  std::string body;                            // kept behind the other fields, as its bytes came

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

// A line of JSON, then the body.
std::string to_text(const operation_record& content);
// Nothing: a text that this version can't read; the operation may have run.
std::optional<operation_record> operation_record_from_text(const std::string& text);
bool is_expired(const operation_record& content, std::int64_t wall);

constexpr const char* operation_prefix = "operation/";
// `operation`: the key, as it is scoped by its tenant.
std::string operation_record_key(const std::string& operation);

enum class claim_status {
  claimed,      // durable: an engine of the record's service may hear of it
  answered,     // it ran: the record holds the answer
  in_progress,  // another request of this key is at work
  unknown_end,  // it may have run, and its answer is lost
  unreachable,  // no majority; certainly not claimed
  uncertain,    // no majority; a claim may stand, but nothing was run
};
struct claim_result {
  claim_status status = claim_status::unreachable;
  operation_record record;
};

class operation_ledger {
 public:
  explicit operation_ledger(consensus::proposer stores) : stores_(std::move(stores)) {}
  runtime::task<claim_result> claim(std::string operation, operation_record first,
                                    runtime::microseconds deadline);
  // Puts the claim's end in its place: an answer, or that it never ran. False: it can't be kept, or the claim
  // is another's by now.
  runtime::task<bool> finish(std::string operation, operation_record last, runtime::microseconds deadline);

 private:
  consensus::proposer stores_;
};

}  // namespace herontally::ledger
