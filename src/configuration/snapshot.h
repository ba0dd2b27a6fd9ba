// The configuration as plain structs, for the code that routes turns and calls. A snapshot is built from a
// valid record and isn't modified afterwards. The defaults here apply to fields that the document omits.
#pragma once
#include <map>
#include <set>

#include "configuration/record.h"

namespace herontally::configuration {

// A model. Durations are in seconds, lengths in tokens.
struct model {
  std::string name, weights, hash_seed;
  std::int64_t block_tokens = 16;
  std::optional<std::int64_t> min_cached_token_delta;  // nullopt: no prefix cache is pulled
  std::int64_t near_tie_tokens = 0;
  double pull_seconds = 2, warm_seconds = 20;
  std::int64_t max_pulls_per_source = 4, max_pulls_per_destination = 4, turns_per_engine = 8, cold_turns = 1;
};
// The limits of one application's calls.
struct application {
  std::int64_t calls_per_engine = 16;
  double warm_seconds = 5;
};
// A routing policy: the weights by which destinations are compared.
struct table {
  double usage_weight = 1, prefix_preference = 0;
  std::map<std::string, double> engine_weights, zone_weights;
  std::map<std::string, std::optional<std::int64_t>> min_cached_token_delta;
};
// A program and its limits on tokens and time. `table` is empty if it uses none.
struct program {
  std::string model, table, shared_prefix;
  std::int64_t budget_tokens = 0, turn_tokens = 256, keep_seconds = 86400;
  double turn_seconds = 30;
};
// A route from a path to an application. `table` is empty if it uses none.
struct route {
  std::string application, path, outcome_path, table;
  bool effectful = true;
  double timeout_seconds = 10;
  std::int64_t answer_retention_seconds = 2592000;  // how long the answer of a completed call is kept
};
// One partner's section, by name within each kind of entry.
struct partner {
  std::map<std::string, model> models;
  std::map<std::string, application> applications;
  std::map<std::string, table> tables;
  std::map<std::string, program> programs;
  std::map<std::string, route> routes;
  // The program of an instance, which is named "program" or "program:instance"; nullptr if there is none.
  const program* find_program(const std::string& instance) const;
  // The table of this name; default values if there is none.
  table table_of(const std::string& name) const;
};
// Limits from the document's shared section; they apply to all partners.
struct limits {
  double queue_seconds = 5;
  std::int64_t client_buffer_kilobytes = 256, requests_per_client = 512;
};
// The whole configuration at one revision.
struct snapshot {
  std::int64_t revision = 0, version = 0;
  std::vector<std::string> edges, previous_edges;  // names of the edges' agents, in the record's order
  std::set<std::string> evacuated_zones, retiring_storage;
  configuration::limits limits;
  std::map<std::string, partner> partners;
  std::optional<routing::table> routing;  // nullopt: no operator has sent one
};

// Builds the snapshot of a record. The document must have passed `validate`.
snapshot snapshot_of(const record& content);

}  // namespace herontally::configuration
