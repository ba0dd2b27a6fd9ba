// The inner protocol's messages, one struct for each record of schema/inner.avsc.
#pragma once
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "wire/codec.h"

namespace herontally::wire {

struct envelope {
  int version = protocol_version;
  std::string kind, sender, body;
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(envelope, version, kind, sender, body)
};

struct ballot {
  std::int64_t counter = 0, proposer = 0;
  auto operator<=>(const ballot&) const = default;
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(ballot, counter, proposer)
};

struct voter_receipt {
  static constexpr const char* record = "voter_receipt";
  std::string verdict;
  ballot promised, accepted;
  std::string value, view;
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(voter_receipt, verdict, promised, accepted, value, view)
};
struct voter_ask {
  static constexpr const char* record = "voter_ask";
  using receipt = voter_receipt;
  std::string step, voter;
  std::int64_t view = 0;
  std::string key;
  wire::ballot ballot;
  std::string value;
  bool urgent = false;
  // With an accept: the voter promises the proposer's next ballot as well.
  bool ahead = false;
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(voter_ask, step, voter, view, key, ballot, value, urgent, ahead)
};

// Receipts that only carry a verdict.
#define HERONTALLY_VERDICT(name)                  \
  struct name {                                   \
    static constexpr const char* record = #name;  \
    std::string verdict;                          \
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(name, verdict) \
  };
HERONTALLY_VERDICT(content_put_receipt)
HERONTALLY_VERDICT(install_view_receipt)
HERONTALLY_VERDICT(handover_receipt)
HERONTALLY_VERDICT(in_force_receipt)
#undef HERONTALLY_VERDICT

struct content_put {
  static constexpr const char* record = "content_put";
  using receipt = content_put_receipt;
  std::string voter, digest, body;
  bool urgent = false;
  std::int64_t view = 0;  // refused by a voter of another one; 0: of any
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(content_put, voter, digest, body, urgent, view)
};

struct chain_receipt {
  static constexpr const char* record = "chain_receipt";
  std::vector<std::string> bodies;
  // "yes": by the voter that was asked, in the asker's view. Only then is a missing body lacking there.
  std::string verdict;
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(chain_receipt, bodies, verdict)
};
struct chain_ask {
  static constexpr const char* record = "chain_ask";
  using receipt = chain_receipt;
  std::string voter, digest;
  std::int64_t limit = 0;
  std::int64_t view = 0;
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(chain_ask, voter, digest, limit, view)
};

struct keys_receipt {
  static constexpr const char* record = "keys_receipt";
  std::string verdict;
  std::vector<std::string> keys;
  std::vector<ballot> ballots;
  bool more = false;
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(keys_receipt, verdict, keys, ballots, more)
};
struct keys_ask {
  static constexpr const char* record = "keys_ask";
  using receipt = keys_receipt;
  std::string voter, after;
  std::int64_t limit = 0;
  std::int64_t range = -1;  // of this range alone; -1: of all
  std::int64_t view = 0;    // refused by a voter of another one; 0: of any
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(keys_ask, voter, after, limit, range, view)
};

struct sums_receipt {
  static constexpr const char* record = "sums_receipt";
  std::string verdict;
  std::vector<std::int64_t> sums;
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(sums_receipt, verdict, sums)
};
struct sums_ask {
  static constexpr const char* record = "sums_ask";
  using receipt = sums_receipt;
  std::string voter;
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(sums_ask, voter)
};

struct identify_receipt {
  static constexpr const char* record = "identify_receipt";
  std::string voter, view;
  bool empty = true;
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(identify_receipt, voter, view, empty)
};
struct identify_ask {
  static constexpr const char* record = "identify_ask";
  using receipt = identify_receipt;
  std::string group;
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(identify_ask, group)
};

struct install_view {
  static constexpr const char* record = "install_view";
  using receipt = install_view_receipt;
  std::string voter, view;
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(install_view, voter, view)
};

struct handover {
  static constexpr const char* record = "handover";
  using receipt = handover_receipt;
  std::string voter;
  std::int64_t view = 0;
  std::string key;
  wire::ballot ballot;
  std::string value;
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(handover, voter, view, key, ballot, value)
};

struct news_receipt {
  static constexpr const char* record = "news_receipt";
  std::int64_t revision = 0;
  std::string state;  // empty when the asker has it already
  std::int64_t age_milliseconds = -1;
  std::int64_t engines_epoch = 0, engines_sequence = 0;
  std::string engines, members;
  // How old the engine list's last confirmation by the platform is; -1: unknown.
  std::int64_t engines_age_milliseconds = -1;
  // Engines that the agent itself heard of as leaving while the list was old.
  std::vector<std::string> leaving;
  // JSON: how many milliseconds ago each edge told that its revision was not above this receipt's.
  std::string heard;
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(news_receipt, revision, state, age_milliseconds, engines_epoch,
                                 engines_sequence, engines, members, engines_age_milliseconds, leaving, heard)
};
struct news_ask {
  static constexpr const char* record = "news_ask";
  using receipt = news_receipt;
  std::string node;
  std::int64_t revision = 0, in_force = 0, engines_epoch = 0, engines_sequence = 0, wait_milliseconds = 0;
  std::int64_t incarnation = 0;
  std::string http;  // the proxy's inner address, set only by a proxy that asks its agent
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(news_ask, node, revision, in_force, engines_epoch, engines_sequence,
                                 wait_milliseconds, incarnation, http)
};

struct in_force {
  static constexpr const char* record = "in_force";
  using receipt = in_force_receipt;
  std::string node;
  std::int64_t revision = 0;
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(in_force, node, revision)
};

struct chosen_receipt {
  static constexpr const char* record = "chosen_receipt";
  std::int64_t revision = 0;
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(chosen_receipt, revision)
};
struct chosen {
  static constexpr const char* record = "chosen";
  using receipt = chosen_receipt;
  std::int64_t revision = 0;
  std::string state;
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(chosen, revision, state)
};

struct member {
  std::string name, role, zone, inner, http;
  std::int64_t incarnation = 0;
  std::string status = "alive";  // alive, suspect, dead, left
  std::int64_t doubt = 0;        // raised by a live node to refute a suspicion of the same incarnation
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(member, name, role, zone, inner, http, incarnation, status, doubt)
};
struct probe_receipt {
  static constexpr const char* record = "probe_receipt";
  bool reached = true;
  std::vector<member> rumours;
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(probe_receipt, reached, rumours)
};
struct probe {
  static constexpr const char* record = "probe";
  using receipt = probe_receipt;
  std::string target;  // another node's inner address when a second opinion is asked for
  bool full = false;
  std::vector<member> rumours;
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(probe, target, full, rumours)
};

struct engines_push_receipt {
  static constexpr const char* record = "engines_push_receipt";
  std::string verdict;
  std::int64_t epoch = 0;
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(engines_push_receipt, verdict, epoch)
};
struct engines_push {
  static constexpr const char* record = "engines_push";
  using receipt = engines_push_receipt;
  std::int64_t epoch = 0, sequence = 0;
  std::string engines;
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(engines_push, epoch, sequence, engines)
};

struct trace_event {
  std::int64_t revision = 0;
  std::string what, way;
  std::int64_t wall = 0;
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(trace_event, revision, what, way, wall)
};
struct trace_receipt {
  static constexpr const char* record = "trace_receipt";
  std::string node, role;
  std::vector<trace_event> events;
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(trace_receipt, node, role, events)
};
struct trace_ask {
  static constexpr const char* record = "trace_ask";
  using receipt = trace_receipt;
  std::int64_t revision = 0;
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(trace_ask, revision)
};

}  // namespace herontally::wire
