// The plan of one attempt: made as data, without I/O, then carried out as it stands.
#pragma once
#include "engine/completion.h"
#include "engine/watch.h"
#include "placement/placement.h"
#include "runtime/runtime.h"

namespace herontally::gateway {

constexpr std::int64_t longest_pull_milliseconds = 1400;

struct turn_plan {
  std::int64_t desired_revision = 0;  // the view of the desired state that it was made under
  int attempt = 1;
  interning::symbol destination = 0;
  std::string destination_name;
  std::optional<interning::symbol> source;
  std::size_t foretold_blocks = 0, destination_blocks = 0;
  std::vector<std::string> hashes;
  engine::turn_order order;
  runtime::microseconds deadline = 0, lease_end = 0;
};

struct call_plan {
  std::int64_t desired_revision = 0;
  int attempt = 1;
  interning::symbol destination = 0;
  std::string destination_name, address;
  runtime::http_request request;
  runtime::microseconds deadline = 0;
};

// What planning looks at besides the engines.
struct planning_context {
  const configuration::snapshot& state;
  std::int64_t proxies = 1, rank = 0, proxies_before = 0, rank_before = 0;
  runtime::microseconds now = 0;
  std::vector<interning::symbol> avoid;
  int attempt = 1;
};

std::vector<placement::engine> engines_of(const std::vector<engine::engine_row>& rows,
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
// Why there is no plan: engines are busy, or none is there that could ever take it.
enum class unplanned { busy, hopeless };
std::variant<turn_plan, unplanned> plan_turn(const turn_subject& subject, const planning_context& context,
                                             const std::vector<engine::engine_row>& rows,
                                             const prefix::index& held, std::mt19937_64& random);

struct call_subject {
  std::string partner, key, request_id, body, content_type;
  const configuration::route& route;
  const configuration::application& application;
  runtime::microseconds deadline = 0;
};
std::optional<call_plan> plan_call(const call_subject& subject, const planning_context& context,
                                   const std::vector<engine::engine_row>& rows, std::mt19937_64& random);

}  // namespace herontally::gateway
