// Requests and replies between the proposers and the voters of a replicated register group, and between
// voters.
//
// Each struct is one record of schema/inner.avsc. `kind` is the record's name on the wire; the members have
// the names of the record's fields. Struct names end in `_request` and `_reply`, and a request's `reply` is
// the type of its reply. In a request, `voter` is the identity of the voter that it is meant for, and a
// numeric `view` is the number of the view that the sender uses. The protocol itself is in consensus/ and
// replication/.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "serialization/enum_words.h"
#include "serialization/json_fields.h"

namespace herontally::rpc {

// A proposal number. Ballots are ordered by counter, then by proposer; no two proposers use the same ballot.
struct ballot {
  std::int64_t counter = 0, proposer = 0;
  auto operator<=>(const ballot&) const = default;
  HERONTALLY_JSON_FIELDS(ballot, counter, proposer)
};

// The outcome of a request. The strings below are the names on the wire.
enum class reply_status {
  unrecognized,     // a status that this version doesn't know; never sent
  none,             // not specified
  ok,               // done, and durable if the request requires it
  view_mismatch,    // the voter has a different view installed than the request specifies
  ballot_outdated,  // the receiver has promised a higher ballot or has seen a higher epoch
  disk_full,        // no disk capacity for new work; nothing was written
  unknown_voter,    // the request is meant for a voter with a different identity
  failed,           // not done, for a reason other than those above
  content_missing,  // the request only confirmed content, which the receiver doesn't have
};
HERONTALLY_ENUM_WORDS(reply_status, {{reply_status::unrecognized, nullptr},
                                     {reply_status::none, ""},
                                     {reply_status::ok, "yes"},
                                     {reply_status::view_mismatch, "view"},
                                     {reply_status::ballot_outdated, "behind"},
                                     {reply_status::disk_full, "full"},
                                     {reply_status::unknown_voter, "unknown voter"},
                                     {reply_status::failed, "failed"},
                                     {reply_status::content_missing, "lacking"}})

// The phase of a ballot that a `vote_request` asks for.
enum class vote_phase {
  unrecognized,  // a phase that this version doesn't know: refused; never sent
  prepare,       // promise to refuse lower ballots, and return the accepted value
  accept,        // accept the value under the ballot
  read,          // return the accepted value without a promise
};
HERONTALLY_ENUM_WORDS(vote_phase, {{vote_phase::unrecognized, nullptr},
                                   {vote_phase::prepare, "prepare"},
                                   {vote_phase::accept, "accept"},
                                   {vote_phase::read, "fetch"}})

// The voter's state of the key after a `vote_request`.
struct vote_reply {
  static constexpr const char* kind = "voter_receipt";
  reply_status status = reply_status::none;
  ballot promised, accepted;
  std::string value;  // the accepted value; empty in replies to `accept`
  std::string view;   // the voter's view as JSON; set with `view_mismatch` and `unknown_voter`
  HERONTALLY_JSON_FIELDS(vote_reply, status, promised, accepted, value, view)
};
// One phase of a ballot on one key.
struct vote_request {
  static constexpr const char* kind = "voter_ask";
  using reply = vote_reply;
  vote_phase phase = vote_phase::unrecognized;
  std::string voter;
  std::int64_t view = 0;
  std::string key;
  rpc::ballot ballot;
  std::string value;
  bool urgent = false;  // may use the disk capacity reserved for completing operations that were started
  // With `accept`: the voter also promises the proposer's next ballot.
  bool promise_next = false;
  HERONTALLY_JSON_FIELDS(vote_request, phase, voter, view, key, ballot, value, urgent, promise_next)
};

// Replies that only carry a status.
#define HERONTALLY_STATUS_REPLY(name, wire_kind)   \
  struct name {                                    \
    static constexpr const char* kind = wire_kind; \
    reply_status status = reply_status::none;      \
    HERONTALLY_JSON_FIELDS(name, status)           \
  };
HERONTALLY_STATUS_REPLY(put_content_reply, "content_put_receipt")
HERONTALLY_STATUS_REPLY(install_view_reply, "install_view_receipt")
HERONTALLY_STATUS_REPLY(repair_record_reply, "handover_receipt")
HERONTALLY_STATUS_REPLY(config_applied_reply, "in_force_receipt")
#undef HERONTALLY_STATUS_REPLY

// Stores an immutable content object under its digest.
struct put_content_request {
  static constexpr const char* kind = "content_put";
  using reply = put_content_reply;
  std::string voter, digest, body;
  bool urgent = false;
  std::int64_t view = 0;  // refused by a voter with a different view installed; 0: accepted in any view
  HERONTALLY_JSON_FIELDS(put_content_request, voter, digest, body, urgent, view)
};

// Content objects that were read by a `read_chain_request`.
struct read_chain_reply {
  static constexpr const char* kind = "chain_receipt";
  std::vector<std::string> bodies;
  // `ok`: the intended voter replied, in the sender's view. Only then does a missing body mean that the voter
  // doesn't have it.
  reply_status status = reply_status::none;
  HERONTALLY_JSON_FIELDS(read_chain_reply, bodies, status)
};
// Reads a content object and its predecessors, newest first, at most `limit` objects in total.
struct read_chain_request {
  static constexpr const char* kind = "chain_ask";
  using reply = read_chain_reply;
  std::string voter, digest;
  std::int64_t limit = 0;
  std::int64_t view = 0;
  HERONTALLY_JSON_FIELDS(read_chain_request, voter, digest, limit, view)
};

// The keys and ballots of a voter's records.
struct list_records_reply {
  static constexpr const char* kind = "keys_receipt";
  reply_status status = reply_status::none;
  std::vector<std::string> keys;
  std::vector<ballot> ballots;   // accepted ballots, in the order of `keys`
  bool more = false;             // there are more records after the last key
  std::vector<ballot> promised;  // promised ballots, in the order of `keys`
  HERONTALLY_JSON_FIELDS(list_records_reply, status, keys, ballots, more, promised)
};
// Lists at most `limit` of a voter's records in key order, starting after the key `after`.
struct list_records_request {
  static constexpr const char* kind = "keys_ask";
  using reply = list_records_reply;
  std::string voter, after;
  std::int64_t limit = 0;
  std::int64_t range = -1;  // only records in this checksum range; -1: all records
  std::int64_t view = 0;    // refused by a voter with a different view installed; 0: accepted in any view
  HERONTALLY_JSON_FIELDS(list_records_request, voter, after, limit, range, view)
};

// Records in the voter's storage format, in the order of the request. Has fewer values than were requested if
// they don't fit into one message. An empty value means that the voter has no such record.
struct read_records_reply {
  static constexpr const char* kind = "records_receipt";
  reply_status status = reply_status::none;
  std::vector<std::string> values;
  HERONTALLY_JSON_FIELDS(read_records_reply, status, values)
};
// Reads the records of the keys in `records`.
struct read_records_request {
  static constexpr const char* kind = "records_ask";
  using reply = read_records_reply;
  std::string voter;
  std::int64_t view = 0;
  std::vector<std::string> records;
  HERONTALLY_JSON_FIELDS(read_records_request, voter, view, records)
};

// `refused` has the keys of the records that the voter couldn't copy because it had promised a higher ballot.
// The caller runs a consensus round for each of them.
struct catch_up_reply {
  static constexpr const char* kind = "fill_receipt";
  reply_status status = reply_status::none;
  std::vector<std::string> refused;
  HERONTALLY_JSON_FIELDS(catch_up_reply, status, refused)
};
// Tells a voter of a joint view to copy the records that a majority of the previous voters holds.
struct catch_up_request {
  static constexpr const char* kind = "fill_ask";
  using reply = catch_up_reply;
  std::string voter;
  std::int64_t view = 0;
  HERONTALLY_JSON_FIELDS(catch_up_request, voter, view)
};

// Checksums over a voter's records.
struct checksums_reply {
  static constexpr const char* kind = "sums_receipt";
  reply_status status = reply_status::none;
  std::vector<std::int64_t> checksums;  // one per checksum range
  HERONTALLY_JSON_FIELDS(checksums_reply, status, checksums)
};
// Asks a voter for the checksums over its records, to find differences in anti-entropy repair.
struct checksums_request {
  static constexpr const char* kind = "sums_ask";
  using reply = checksums_reply;
  std::string voter;
  HERONTALLY_JSON_FIELDS(checksums_request, voter)
};

// The identity and the view of a node's voter of a group.
struct identify_reply {
  static constexpr const char* kind = "identify_receipt";
  std::string voter;  // the voter's identity; empty: the node has no voter of the group
  std::string view;   // the installed view as JSON; empty: none
  bool empty = true;  // the voter has no records
  HERONTALLY_JSON_FIELDS(identify_reply, voter, view, empty)
};
// Asks a node for the identity and the view of its voter of a group.
struct identify_request {
  static constexpr const char* kind = "identify_ask";
  using reply = identify_reply;
  std::string group;
  HERONTALLY_JSON_FIELDS(identify_request, group)
};

// A voter's right to create the group's first view; see replication/founding_claim.h.
struct founding_claim_reply {
  static constexpr const char* kind = "founding_claim_reply";
  std::vector<std::string> seeds;  // empty: the voter has no claim
  HERONTALLY_JSON_FIELDS(founding_claim_reply, seeds)
};
// Asks a voter for its founding claim.
struct founding_claim_request {
  static constexpr const char* kind = "founding_claim_request";
  using reply = founding_claim_reply;
  std::string group;
  HERONTALLY_JSON_FIELDS(founding_claim_request, group)
};

// Installs a chosen view, given as JSON.
struct install_view_request {
  static constexpr const char* kind = "install_view";
  using reply = install_view_reply;
  std::string voter, view;
  HERONTALLY_JSON_FIELDS(install_view_request, voter, view)
};

// Sends a record to a voter that doesn't have it.
struct repair_record_request {
  static constexpr const char* kind = "handover";
  using reply = repair_record_reply;
  std::string voter;
  std::int64_t view = 0;
  std::string key;
  rpc::ballot ballot;
  std::string value;
  HERONTALLY_JSON_FIELDS(repair_record_request, voter, view, key, ballot, value)
};

}  // namespace herontally::rpc
