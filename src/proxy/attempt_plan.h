// The plan of one attempt of a turn or a call: made as data, without I/O, then carried out as it stands.
#pragma once
#include "engine/completion.h"
#include "engine/engine_monitor.h"
#include "placement/placement.h"
#include "runtime/runtime.h"

namespace herontally::proxy {

constexpr std::int64_t max_pull_milliseconds = 1400;

struct turn_plan {
  std::int64_t config_revision = 0;  // of the configuration that it was made under
  int attempt = 1;
  interning::symbol destination = 0;
  std::string destination_name;
  std::optional<interning::symbol> source;
  std::size_t expected_blocks = 0, destination_blocks = 0;
  std::vector<std::string> hashes;
  engine::completion_request order;
  runtime::microseconds deadline = 0, lease_end = 0;
};

struct call_plan {
  std::int64_t config_revision = 0;
  int attempt = 1;
  interning::symbol destination = 0;
  std::string destination_name, address;
  runtime::http_request request;
  runtime::microseconds deadline = 0;
};

// This proxy's rank among those that share each engine's caps, and how many they are. While the agreed list
// of edges changes, the previous one counts as well. Rank -1: not listed, so that there is no share.
struct proxy_ranks {
  std::int64_t proxies = 1, rank = -1;
  std::int64_t previous_proxies = 0, previous_rank = -1;
};

// What planning looks at besides the engines.
struct planning_context {
  const configuration::snapshot& config;
  proxy_ranks ranks;
  runtime::microseconds now = 0;
  std::vector<interning::symbol> avoid;  // engines that earlier attempts of this request failed on
  int attempt = 1;
};

std::vector<placement::engine> engines_of(const std::vector<engine::engine_state>& rows,
                                          const std::string& kind, const std::string& partner,
                                          const std::string& serves, const planning_context& context);

struct turn_subject {
  std::string partner, program, request_id;
  const configuration::model& model;
  const configuration::program& settings;
  std::vector<std::int64_t> prompt;
  std::size_t shared_tokens = 0;
  std::int64_t most_tokens = 0;
  runtime::microseconds deadline = 0, lease_end = 0;
};
// Why there is no plan.
enum class unplanned {
  busy,      // engines are there, without capacity now
  hopeless,  // no engine is there that could ever take it
};
std::variant<turn_plan, unplanned> plan_turn(const turn_subject& subject, const planning_context& context,
                                             const std::vector<engine::engine_state>& rows,
                                             const prefix::index& held, std::mt19937_64& random);

struct call_subject {
  std::string partner, key, request_id, body, content_type;
  const configuration::route& route;
  const configuration::application& application;
  runtime::microseconds deadline = 0;
};
std::optional<call_plan> plan_call(const call_subject& subject, const planning_context& context,
                                   const std::vector<engine::engine_state>& rows, std::mt19937_64& random);

}  // namespace herontally::proxy
