// Internal to the proxy: handles calls to the partners' own applications. A call on a route without side
// effects may be retried at several engines. A call on an effectful route runs at most once across all
// proxies, identified by the client's idempotency key.
#pragma once
#include "proxy/context.h"

namespace herontally::proxy {

// A parsed call and the writer for its response.
struct call_request {
  std::string partner, route, key, request_id, body, content_type;
  microseconds deadline = 0;
  http_api::writer out;
};

// The configuration of a call's route.
struct route_settings {
  configuration::route route;
  configuration::application application;
};

// Whether a call ran, judged by the engine's response or by how the connection failed.
enum class call_execution {
  answered,  // it ran, and the response is its answer
  not_run,   // it certainly did not run
  unknown,   // it may have run
};

// The result of sending a call to an engine.
struct call_outcome {
  call_execution execution = call_execution::unknown;
  bool connection_failed = false;
  runtime::http_response response;
  in_flight_guard in_flight;  // counts the call at its engine until the outcome has been handled
};

// Handles calls; one per node, kept alive by its running tasks.
class call_handler : public std::enable_shared_from_this<call_handler> {
 public:
  explicit call_handler(std::shared_ptr<context> shared) : context_(std::move(shared)) {}
  // Answers the request. The partner must exist in the configuration.
  task<> serve(runtime::inbound_request request, http_api::writer out, std::string partner,
               std::string route);

 private:
  // The current settings of the call's route and application; nullopt if either no longer exists.
  std::optional<route_settings> route_settings_of(const call_request& call) const;
  // Returns nullopt if the request was rejected.
  std::optional<call_request> parse(const runtime::inbound_request& request, const http_api::writer& out,
                                    const std::string& partner, const std::string& route) const;
  std::optional<call_plan> plan(const call_request& call, const route_settings& settings,
                                std::vector<interning::symbol> avoid, int attempt);
  // Whether a plan may still be executed: this process may have been suspended, or the configuration or the
  // engine may have changed, since it was made.
  bool is_still_valid(const call_plan& plan);
  // Sends the call and counts it in flight at its engine. If it may still be running there, it stays counted
  // until the engine's next report.
  task<call_outcome> send(call_request call, call_plan plan);
  task<> serve_repeatable(call_request call);

  // Calls that run at most once, in idempotent_call.cc.

  // The result of an attempt. `answered`: the client has its answer. `retry`: agreed not to have run.
  // `replan`: the plan was outdated before it was executed.
  enum class attempt_result { answered, retry, replan };
  task<> serve_at_most_once(call_request call);
  task<attempt_result> try_attempt(call_request call, std::string record_key, int round,
                                   std::shared_ptr<std::vector<interning::symbol>> avoid);
  task<attempt_result> run_started_attempt(call_request call, std::string record_key, call_plan plan,
                                           route_settings settings, ledger::call_record record);
  // Rejects a call that can't be attempted now, unless the record of an earlier request with its key answers
  // it.
  task<> reject_before_start(call_request call, std::string record_key, std::string reason);
  // Answers a call whose key was used before with the stored answer or with what is known of its execution.
  task<> answer_from_record(ledger::call_record found, call_request call, std::string record_key);
  // Records the answer for repeated calls; false if the ledger could not store it.
  task<bool> store_answer(std::string record_key, ledger::call_record record, runtime::http_response response,
                          route_settings settings);
  // Asks the engine for the outcome recorded under the key, without running the call. Nullopt if the route
  // has no outcome path, the engine may not get requests, or it knows no outcome.
  task<std::optional<runtime::http_response>> query_outcome(std::string engine, configuration::route route,
                                                            std::string key);

  std::shared_ptr<context> context_;
};

// The content type of a response; application/json if the header is missing.
std::string content_type_of(const runtime::http_response& response);

}  // namespace herontally::proxy
