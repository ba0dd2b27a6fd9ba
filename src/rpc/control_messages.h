// Requests and replies of the control plane: configuration, membership, the engine list, and tracing. Also
// the envelope of all messages.
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

// The envelope of each message: the sender's name and protocol version, and the encoded record `body` of type
// `kind`.
struct envelope {
  int version = protocol_version;
  std::string kind, sender, body;
  HERONTALLY_JSON_FIELDS(envelope, version, kind, sender, body)
};

// The newest configuration, engine list and membership that a core or an agent knows.
struct config_update_reply {
  static constexpr const char* kind = "news_receipt";
  std::int64_t revision = 0;
  std::string config;  // configuration::record as JSON; empty if the requester has this revision
  // The replier knows every change that was acknowledged up to this many milliseconds ago; -1: unknown.
  std::int64_t age_milliseconds = -1;
  std::int64_t engines_epoch = 0, engines_sequence = 0, members_version = 0;
  std::string engines, members;                // as JSON; empty if the requester has this version
  std::int64_t engines_age_milliseconds = -1;  // since the platform confirmed the list; -1: unknown
  // Engines that the agent itself found draining while the engine list was stale.
  std::vector<std::string> draining_engines;
  // JSON object by edge: how many milliseconds ago the edge had a revision not above this reply's.
  std::string peer_ages;
  std::int64_t members_since = 0;  // `members` has the entries changed since this version; 0: all
  HERONTALLY_JSON_FIELDS(config_update_reply, revision, config, age_milliseconds, engines_epoch,
                         engines_sequence, engines, members, engines_age_milliseconds, draining_engines,
                         peer_ages, members_version, members_since)
};
// A long poll for a newer configuration, engine list or membership.
struct config_update_request {
  static constexpr const char* kind = "news_ask";
  using reply = config_update_reply;
  std::string node;
  std::int64_t revision = 0;          // that the requester has
  std::int64_t applied_revision = 0;  // that is applied on the requester's machine
  std::int64_t engines_epoch = 0, engines_sequence = 0;
  std::int64_t wait_milliseconds = 0;  // how long the reply may be delayed to wait for an update
  std::int64_t incarnation = 0, members_version = 0;
  std::string http;  // the proxy's rpc address (not HTTP); set only by a proxy that polls its agent
  bool takes_member_changes = false;  // the requester can merge changed entries into its list
  HERONTALLY_JSON_FIELDS(config_update_request, node, revision, applied_revision, engines_epoch,
                         engines_sequence, wait_milliseconds, incarnation, http, members_version,
                         takes_member_changes)
};

// Sent by an agent to the cores: the revision that is applied on its machine.
struct config_applied_request {
  static constexpr const char* kind = "in_force";
  using reply = config_applied_reply;
  std::string node;
  std::int64_t revision = 0;
  HERONTALLY_JSON_FIELDS(config_applied_request, node, revision)
};

// The newest revision that the receiver knows.
struct config_committed_reply {
  static constexpr const char* kind = "chosen_receipt";
  std::int64_t revision = 0;
  HERONTALLY_JSON_FIELDS(config_committed_reply, revision)
};
// Sent by a core to the other cores: the configuration that was chosen.
struct config_committed_request {
  static constexpr const char* kind = "chosen";
  using reply = config_committed_reply;
  std::int64_t revision = 0;
  std::string config;
  HERONTALLY_JSON_FIELDS(config_committed_request, revision, config)
};

// SWIM's ack, with membership updates piggybacked.
struct probe_reply {
  static constexpr const char* kind = "probe_receipt";
  bool reached = true;  // false: the target of an indirect probe didn't reply
  std::vector<member> updates;
  std::int64_t checksum = 0;  // over the replier's live members; 0: not specified
  HERONTALLY_JSON_FIELDS(probe_reply, reached, updates, checksum)
};
// SWIM's ping; with a target, SWIM's ping-req.
struct probe_request {
  static constexpr const char* kind = "probe";
  using reply = probe_reply;
  std::string target;  // rpc address of the node that the receiver should probe; empty: none
  bool full = false;   // asks for all members, unless the checksums are equal
  std::vector<member> updates;
  std::int64_t checksum = 0;  // over the sender's live members; 0: not specified
  HERONTALLY_JSON_FIELDS(probe_request, target, full, updates, checksum)
};

// Whether the receiver accepted an engine list.
struct engine_list_reply {
  static constexpr const char* kind = "engines_push_receipt";
  reply_status status = reply_status::none;
  std::int64_t epoch = 0;  // the highest epoch that the receiver has seen
  HERONTALLY_JSON_FIELDS(engine_list_reply, status, epoch)
};
// Sent by the core that polls the platform to another core: the engine list.
struct engine_list_request {
  static constexpr const char* kind = "engines_push";
  using reply = engine_list_reply;
  std::int64_t epoch = 0, sequence = 0;
  std::string engines;  // as JSON; empty: confirms the list of this epoch and sequence
  HERONTALLY_JSON_FIELDS(engine_list_request, epoch, sequence, engines)
};

// One step in the distribution of a configuration, recorded on one node.
struct trace_event {
  std::int64_t revision = 0;
  std::string event, source;
  std::int64_t wall = 0;  // microseconds since 1970
  HERONTALLY_JSON_FIELDS(trace_event, revision, event, source, wall)
};
// The trace events that a node has recorded.
struct trace_reply {
  static constexpr const char* kind = "trace_receipt";
  std::string node;
  node_role role = node_role::unrecognized;
  std::vector<trace_event> events;
  HERONTALLY_JSON_FIELDS(trace_reply, node, role, events)
};
// Asks a node for its trace events of a revision.
struct trace_request {
  static constexpr const char* kind = "trace_ask";
  using reply = trace_reply;
  std::int64_t revision = 0;  // 0: all revisions
  HERONTALLY_JSON_FIELDS(trace_request, revision)
};

}  // namespace herontally::rpc
