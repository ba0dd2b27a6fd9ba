// Requests and replies of the control plane: configuration, membership, the engine list, and tracing.
//
// Each struct is one record of schema/inner.avsc; see rpc/consensus_messages.h.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "rpc/consensus_messages.h"
#include "rpc/member.h"
#include "rpc/protocol_version.h"

namespace herontally::rpc {

// What surrounds each message: the sender's protocol version, and the record that `body` holds.
struct envelope {
  int version = protocol_version;
  std::string kind, sender, body;
  HERONTALLY_JSON_FIELDS(envelope, version, kind, sender, body)
};

// The newest configuration and engine list that a core or an agent knows.
struct config_update_reply {
  static constexpr const char* kind = "news_receipt";
  std::int64_t revision = 0;
  std::string config;  // configuration::record as JSON; empty when the sender has this revision
  // Every change acknowledged before this many milliseconds ago is known here; -1: unknown.
  std::int64_t age_milliseconds = -1;
  std::int64_t engines_epoch = 0, engines_sequence = 0, members_version = 0;
  std::string engines, members;                // as JSON; empty when the sender has this version of them
  std::int64_t engines_age_milliseconds = -1;  // since the platform confirmed the list; -1: unknown
  // Engines that the agent itself saw draining while the list was old.
  std::vector<std::string> draining_engines;
  // JSON object by edge: how many milliseconds ago it had a revision not above this reply's.
  std::string peer_ages;
  std::int64_t members_since = 0;  // `members` are the rows that changed since this version; 0: all
  HERONTALLY_JSON_FIELDS(config_update_reply, revision, config, age_milliseconds, engines_epoch,
                         engines_sequence, engines, members, engines_age_milliseconds, draining_engines,
                         peer_ages, members_version, members_since)
};
// A long poll for a newer configuration, engine list or membership.
struct config_update_request {
  static constexpr const char* kind = "news_ask";
  using reply = config_update_reply;
  std::string node;
  std::int64_t revision = 0;          // that the sender has
  std::int64_t applied_revision = 0;  // that is in force on the sender's machine
  std::int64_t engines_epoch = 0, engines_sequence = 0;
  std::int64_t wait_milliseconds = 0;  // how long the reply may be held back for an update
  std::int64_t incarnation = 0, members_version = 0;
  std::string http;                   // the proxy's inner address, set only by a proxy that polls its agent
  bool takes_member_changes = false;  // the sender can merge changed rows into those that it has
  HERONTALLY_JSON_FIELDS(config_update_request, node, revision, applied_revision, engines_epoch,
                         engines_sequence, wait_milliseconds, incarnation, http, members_version,
                         takes_member_changes)
};

// An agent tells the cores which revision is in force on its machine.
struct config_applied_request {
  static constexpr const char* kind = "in_force";
  using reply = config_applied_reply;
  std::string node;
  std::int64_t revision = 0;
  HERONTALLY_JSON_FIELDS(config_applied_request, node, revision)
};

struct config_committed_reply {
  static constexpr const char* kind = "chosen_receipt";
  std::int64_t revision = 0;
  HERONTALLY_JSON_FIELDS(config_committed_reply, revision)
};
// A core tells the others which configuration was chosen.
struct config_committed_request {
  static constexpr const char* kind = "chosen";
  using reply = config_committed_reply;
  std::int64_t revision = 0;
  std::string config;
  HERONTALLY_JSON_FIELDS(config_committed_request, revision, config)
};

struct probe_reply {
  static constexpr const char* kind = "probe_receipt";
  bool reached = true;  // the target of an indirect probe answered
  std::vector<member> updates;
  std::int64_t checksum = 0;  // of the replier's live members; 0: not said
  HERONTALLY_JSON_FIELDS(probe_reply, reached, updates, checksum)
};
// SWIM's ping, and its ping-req when a target is named.
struct probe_request {
  static constexpr const char* kind = "probe";
  using reply = probe_reply;
  std::string target;  // inner address of the node that the receiver should probe; empty: none
  bool full = false;   // all members are asked for, unless the checksums are equal
  std::vector<member> updates;
  std::int64_t checksum = 0;  // of the sender's live members; 0: not said
  HERONTALLY_JSON_FIELDS(probe_request, target, full, updates, checksum)
};

struct engine_list_reply {
  static constexpr const char* kind = "engines_push_receipt";
  reply_status status = reply_status::none;
  std::int64_t epoch = 0;  // the highest one that the receiver has seen
  HERONTALLY_JSON_FIELDS(engine_list_reply, status, epoch)
};
// The owner of the platform poll hands its engine list to another core.
struct engine_list_request {
  static constexpr const char* kind = "engines_push";
  using reply = engine_list_reply;
  std::int64_t epoch = 0, sequence = 0;
  std::string engines;  // as JSON; empty: only confirmed
  HERONTALLY_JSON_FIELDS(engine_list_request, epoch, sequence, engines)
};

// One step of a configuration on its way through a node.
struct trace_event {
  std::int64_t revision = 0;
  std::string event, source;
  std::int64_t wall = 0;  // microseconds since 1970
  HERONTALLY_JSON_FIELDS(trace_event, revision, event, source, wall)
};
struct trace_reply {
  static constexpr const char* kind = "trace_receipt";
  std::string node;
  node_role role = node_role::unrecognized;
  std::vector<trace_event> events;
  HERONTALLY_JSON_FIELDS(trace_reply, node, role, events)
};
struct trace_request {
  static constexpr const char* kind = "trace_ask";
  using reply = trace_reply;
  std::int64_t revision = 0;  // 0: all
  HERONTALLY_JSON_FIELDS(trace_request, revision)
};

}  // namespace herontally::rpc
