// Requests and replies between proposers and the voters of a replicated register group, and between voters.
//
// Each struct is one record of schema/inner.avsc. `kind` is the record's name on the wire; the members have
// the names of the record's fields. Names end in `_request` and `_reply`; a request names its reply.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "serialization/enum_words.h"
#include "serialization/json_fields.h"

namespace herontally::rpc {

// A proposal number. Ballots are ordered by counter, then by proposer; no two proposers share one.
struct ballot {
  std::int64_t counter = 0, proposer = 0;
  auto operator<=>(const ballot&) const = default;
  HERONTALLY_JSON_FIELDS(ballot, counter, proposer)
};

// How a node answered a request.
enum class reply_status {
  unrecognized,     // a word that this version doesn't know; never sent
  none,             // not said
  ok,               // done, and durable where the request asks for that
  view_mismatch,    // the voter has another view installed than the request names
  ballot_outdated,  // a higher ballot was promised, or a higher epoch was seen
  disk_full,        // no capacity for new work; nothing was written
  unknown_voter,    // the request names another identity than the voter's
  failed,           // not done, and not for any of the reasons above
  content_missing,  // only confirmed content was sent, and the receiver doesn't have it
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

enum class vote_phase {
  unrecognized,  // refused; never sent
  prepare,       // promise to refuse lower ballots, and tell what was accepted
  accept,        // accept the value under the ballot
  read,          // tell what was accepted, and promise nothing
};
HERONTALLY_ENUM_WORDS(vote_phase, {{vote_phase::unrecognized, nullptr},
                                   {vote_phase::prepare, "prepare"},
                                   {vote_phase::accept, "accept"},
                                   {vote_phase::read, "fetch"}})

struct vote_reply {
  static constexpr const char* kind = "voter_receipt";
  reply_status status = reply_status::none;
  ballot promised, accepted;
  std::string value;  // the accepted value; empty in the reply to an accept
  std::string view;   // the voter's view as JSON, with `view_mismatch` and `unknown_voter`
  HERONTALLY_JSON_FIELDS(vote_reply, status, promised, accepted, value, view)
};
// One phase of a ballot on one key.
struct vote_request {
  static constexpr const char* kind = "voter_ask";
  using reply = vote_reply;
  vote_phase phase = vote_phase::unrecognized;
  std::string voter;  // identity of the voter that is meant
  std::int64_t view = 0;
  std::string key;
  rpc::ballot ballot;
  std::string value;
  bool urgent = false;  // may use the disk capacity that is reserved for finishing what was begun
  // With an accept: the voter promises the proposer's next ballot as well.
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

// Stores an immutable content under its digest.
struct put_content_request {
  static constexpr const char* kind = "content_put";
  using reply = put_content_reply;
  std::string voter, digest, body;
  bool urgent = false;
  std::int64_t view = 0;  // refused by a voter that has another one installed; 0: any will do
  HERONTALLY_JSON_FIELDS(put_content_request, voter, digest, body, urgent, view)
};

struct read_chain_reply {
  static constexpr const char* kind = "chain_receipt";
  std::vector<std::string> bodies;
  // `ok`: by the voter that was meant, in the sender's view. Only then is a missing body absent there.
  reply_status status = reply_status::none;
  HERONTALLY_JSON_FIELDS(read_chain_reply, bodies, status)
};
// Reads a content and those that it follows on, newest first, up to `limit` of them.
struct read_chain_request {
  static constexpr const char* kind = "chain_ask";
  using reply = read_chain_reply;
  std::string voter, digest;
  std::int64_t limit = 0;
  std::int64_t view = 0;
  HERONTALLY_JSON_FIELDS(read_chain_request, voter, digest, limit, view)
};

struct list_records_reply {
  static constexpr const char* kind = "keys_receipt";
  reply_status status = reply_status::none;
  std::vector<std::string> keys;
  std::vector<ballot> ballots;   // accepted, in the order of the keys
  bool more = false;             // there are records after the last key
  std::vector<ballot> promised;  // in the order of the keys
  HERONTALLY_JSON_FIELDS(list_records_reply, status, keys, ballots, more, promised)
};
// Lists a voter's records in the order of their keys, after the key `after`.
struct list_records_request {
  static constexpr const char* kind = "keys_ask";
  using reply = list_records_reply;
  std::string voter, after;
  std::int64_t limit = 0;
  std::int64_t range = -1;  // only of this checksum range; -1: of all
  std::int64_t view = 0;    // refused by a voter that has another one installed; 0: any will do
  HERONTALLY_JSON_FIELDS(list_records_request, voter, after, limit, range, view)
};

// Records as the voter stores them, in the order of the request; fewer when they are too large for one
// message. An empty value: there is none.
struct read_records_reply {
  static constexpr const char* kind = "records_receipt";
  reply_status status = reply_status::none;
  std::vector<std::string> values;
  HERONTALLY_JSON_FIELDS(read_records_reply, status, values)
};
struct read_records_request {
  static constexpr const char* kind = "records_ask";
  using reply = read_records_reply;
  std::string voter;
  std::int64_t view = 0;
  std::vector<std::string> records;
  HERONTALLY_JSON_FIELDS(read_records_request, voter, view, records)
};

// `refused` names the records that the voter could not take over because it had promised a higher ballot; the
// caller settles each of them by a round of its own.
struct catch_up_reply {
  static constexpr const char* kind = "fill_receipt";
  reply_status status = reply_status::none;
  std::vector<std::string> refused;
  HERONTALLY_JSON_FIELDS(catch_up_reply, status, refused)
};
// Tells a voter to fetch what a majority of the previous voters of a joint view holds.
struct catch_up_request {
  static constexpr const char* kind = "fill_ask";
  using reply = catch_up_reply;
  std::string voter;
  std::int64_t view = 0;
  HERONTALLY_JSON_FIELDS(catch_up_request, voter, view)
};

struct checksums_reply {
  static constexpr const char* kind = "sums_receipt";
  reply_status status = reply_status::none;
  std::vector<std::int64_t> checksums;  // one for each range
  HERONTALLY_JSON_FIELDS(checksums_reply, status, checksums)
};
// Asks for the checksums over a voter's records, for anti-entropy repair.
struct checksums_request {
  static constexpr const char* kind = "sums_ask";
  using reply = checksums_reply;
  std::string voter;
  HERONTALLY_JSON_FIELDS(checksums_request, voter)
};

struct identify_reply {
  static constexpr const char* kind = "identify_receipt";
  std::string voter;  // identity; empty: no voter of the group
  std::string view;   // as JSON; empty: none is installed
  bool empty = true;  // no records are held
  HERONTALLY_JSON_FIELDS(identify_reply, voter, view, empty)
};
struct identify_request {
  static constexpr const char* kind = "identify_ask";
  using reply = identify_reply;
  std::string group;
  HERONTALLY_JSON_FIELDS(identify_request, group)
};

// Installs a view that was chosen.
struct install_view_request {
  static constexpr const char* kind = "install_view";
  using reply = install_view_reply;
  std::string voter, view;
  HERONTALLY_JSON_FIELDS(install_view_request, voter, view)
};

// Hands a record to a voter that missed it.
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
