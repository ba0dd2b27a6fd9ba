// The inner protocol's messages, one struct for each record of schema/inner.avsc.
#pragma once
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "wire/codec.h"
#include "wire/voting.h"

namespace herontally::wire {

struct envelope {
  int version = protocol_version;
  std::string kind, sender, body;
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(envelope, version, kind, sender, body)
};

struct news_receipt {
  static constexpr const char* record = "news_receipt";
  std::int64_t revision = 0;
  std::string state;  // empty when the asker has it already
  std::int64_t age_milliseconds = -1;
  std::int64_t engines_epoch = 0, engines_sequence = 0, members_version = 0;
  std::string engines, members;                // empty for an asker that has this version of them
  std::int64_t engines_age_milliseconds = -1;  // since the platform confirmed the list; -1: unknown
  // Engines that the agent itself heard of as leaving while the list was old.
  std::vector<std::string> leaving;
  // JSON: how many milliseconds ago each edge told that its revision was not above this receipt's.
  std::string heard;
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(news_receipt, revision, state, age_milliseconds, engines_epoch,
                                 engines_sequence, engines, members, engines_age_milliseconds, leaving, heard,
                                 members_version)
};
struct news_ask {
  static constexpr const char* record = "news_ask";
  using receipt = news_receipt;
  std::string node;
  std::int64_t revision = 0, in_force = 0, engines_epoch = 0, engines_sequence = 0, wait_milliseconds = 0;
  std::int64_t incarnation = 0, members_version = 0;
  std::string http;  // the proxy's inner address, set only by a proxy that asks its agent
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(news_ask, node, revision, in_force, engines_epoch, engines_sequence,
                                 wait_milliseconds, incarnation, http, members_version)
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
  std::int64_t sum = 0;  // of the answerer's live rows; 0: it says none
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(probe_receipt, reached, rumours, sum)
};
struct probe {
  static constexpr const char* record = "probe";
  using receipt = probe_receipt;
  std::string target;  // another node's inner address when a second opinion is asked for
  bool full = false;   // all rows are asked for, unless the sums are equal
  std::vector<member> rumours;
  std::int64_t sum = 0;  // of the asker's live rows; 0: it says none
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(probe, target, full, rumours, sum)
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
