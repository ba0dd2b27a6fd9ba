// The configuration as plain structs, for those who place turns and calls. Made from a record, and never
// changed.
#pragma once
#include <map>
#include <set>

#include "configuration/record.h"

namespace herontally::configuration {

struct model {
  std::string name, weights, hash_seed;
  std::int64_t block_tokens = 16;
  std::optional<std::int64_t> min_cached_token_delta;  // nothing: no prefix cache is pulled
  std::int64_t near_tie_tokens = 0;
  double pull_seconds = 2, warm_seconds = 20;
  std::int64_t max_pulls_per_source = 4, max_pulls_per_destination = 4, turns_per_engine = 8, cold_turns = 1;
};
struct application {
  std::int64_t calls_per_engine = 16;
  double warm_seconds = 5;
};
struct table {
  double usage_weight = 1, prefix_preference = 0;
  std::map<std::string, double> engine_weights, zone_weights;
  std::map<std::string, std::optional<std::int64_t>> min_cached_token_delta;
};
struct program {
  std::string model, table, shared_prefix;
  std::int64_t budget_tokens = 0, turn_tokens = 256, keep_seconds = 86400;
  double turn_seconds = 30;
};
struct route {
  std::string application, path, outcome_path, table;
  bool effectful = true;
  double timeout_seconds = 10;
  std::int64_t answer_retention_seconds = 2592000;  // of a call that is done
};
struct partner {
  std::map<std::string, model> models;
  std::map<std::string, application> applications;
  std::map<std::string, table> tables;
  std::map<std::string, program> programs;
  std::map<std::string, route> routes;
  // A program instance is named "program" or "program:instance".
  const program* find_program(const std::string& instance) const;
  table table_of(const std::string& name) const;
};
struct limits {
  double queue_seconds = 5;
  std::int64_t client_buffer_kilobytes = 256, requests_per_client = 512;
};
struct snapshot {
  std::int64_t revision = 0, version = 0;
  std::vector<std::string> edges, previous_edges;  // by their agents' names, in order
  std::set<std::string> evacuated_zones, retiring_storage;
  limits limit;
  std::map<std::string, partner> partners;
  std::optional<routing::table> routing;  // nothing: no operator has sent one
};

// Of a record whose document has no violations.
snapshot snapshot_of(const record& content);

}  // namespace herontally::configuration
