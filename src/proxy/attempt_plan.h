// Internal to the proxy: plans one attempt of a turn or a call. A plan is plain data, computed without I/O
// from the configuration and the engines' state; turn_attempt and call_handler execute it without changing
// it.
#pragma once
#include "engine/completion.h"
#include "engine/engine_monitor.h"
#include "placement/placement.h"
#include "runtime/runtime.h"

namespace herontally::proxy {

// Upper bound of a KV cache pull. A draining engine serves pulls for 3 s, and what this proxy knows of it may
// already be out of date by the maximum age of its knowledge.
constexpr std::int64_t max_pull_milliseconds = 1400;

// One attempt of a turn at a model engine.
struct turn_plan {
  std::int64_t config_revision = 0;  // of the configuration it was planned under
  int attempt = 1;
  interning::symbol destination = 0;
  std::string destination_name;
  std::optional<interning::symbol> source;  // the engine to pull KV cache blocks from; empty: no pull
  // Leading blocks of the prompt: how many the pull should bring, and how many the destination is believed to
  // hold already.
  std::size_t expected_blocks = 0, destination_blocks = 0;
  std::vector<std::string> hashes;  // of all whole blocks of the prompt
  engine::completion_request request;
  runtime::microseconds deadline = 0, lease_end = 0;
};

// One attempt of a call at an application engine.
struct call_plan {
  std::int64_t config_revision = 0;
  int attempt = 1;
  interning::symbol destination = 0;
  std::string destination_name, address;
  runtime::http_request request;
  runtime::microseconds deadline = 0;
};

// The number of proxies that share each engine's concurrency caps, and this proxy's rank among them. While
// the agreed list of edges changes, the previous list counts as well. Rank -1: not listed, which means no
// share.
struct proxy_ranks {
  std::int64_t proxies = 1, rank = -1;
  std::int64_t previous_proxies = 0, previous_rank = -1;
};

// The inputs of planning that are common to turns and calls, besides the engines.
struct planning_context {
  const configuration::snapshot& config;
  proxy_ranks ranks;
  runtime::microseconds now = 0;
  std::vector<interning::symbol> avoid;  // engines on which earlier attempts of this request failed
  int attempt = 1;
};

// Converts the monitored engines of one kind ("model" or "application") that serve `serves` for `partner`,
// with their evacuation state, to the input of placement. Cached blocks are left at 0.
std::vector<placement::engine> placement_engines(const std::vector<engine::engine_state>& rows,
                                                 const std::string& kind, const std::string& partner,
                                                 const std::string& serves, const planning_context& context);

// What planning needs to know of a turn.
struct turn_plan_input {
  std::string partner, program, request_id;
  const configuration::model& model;
  const configuration::program& settings;
  std::vector<std::int64_t> prompt;  // as tokens, including output of earlier attempts
  std::size_t shared_tokens = 0;     // leading tokens of the shared prefix
  std::int64_t max_tokens = 0;
  runtime::microseconds deadline = 0, lease_end = 0;
};

// Why no plan could be made.
enum class plan_failure {
  no_capacity,       // a usable engine exists, but none has capacity now
  no_usable_engine,  // no engine could take the turn even with free capacity
};
// Chooses the destination and, where it pays, a source for a KV cache pull. `prefixes` says which blocks each
// engine is believed to hold; `random` decides between equal destinations and in the choice of the source.
std::variant<turn_plan, plan_failure> plan_turn(const turn_plan_input& input, const planning_context& context,
                                                const std::vector<engine::engine_state>& rows,
                                                const prefix::index& prefixes, std::mt19937_64& random);

// What planning needs to know of a call.
struct call_plan_input {
  std::string partner, key, request_id, body, content_type;
  const configuration::route& route;
  const configuration::application& application;
  runtime::microseconds deadline = 0;
};
// Chooses the engine of a call; nullopt if none can take it now.
std::optional<call_plan> plan_call(const call_plan_input& input, const planning_context& context,
                                   const std::vector<engine::engine_state>& rows, std::mt19937_64& random);

}  // namespace herontally::proxy
