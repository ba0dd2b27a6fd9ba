// Internal to the proxy: calls of the partners' own applications. Calls on routes without effects may be
// tried at several engines; the others run at most once, over every proxy, by the client's idempotency key.
#pragma once
#include "proxy/context.h"

namespace herontally::proxy {

struct call_request {
  std::string partner, route, key, request_id, body, content_type;
  microseconds deadline = 0;
  http_api::writer out;
};

// What the configuration says of a call's route.
struct call_terms {
  configuration::route route;
  configuration::application application;
};

// What an engine's answer, or the lack of one, says of the call.
enum class call_execution {
  answered,  // it ran, and this is the answer
  not_run,   // certainly not run
  unknown,   // it may have run
};
struct call_outcome {
  call_execution execution = call_execution::unknown;
  bool connection_failed = false;
  runtime::http_response response;
  in_flight_guard occupied;  // its place at the engine, until the outcome has been dealt with
};

class call_handler : public std::enable_shared_from_this<call_handler> {
 public:
  explicit call_handler(std::shared_ptr<context> shared) : context_(std::move(shared)) {}
  // Answers the request.
  task<> serve(runtime::inbound_request request, http_api::writer out, std::string partner,
               std::string route);

 private:
  // The route and its application as they are now; nothing when one of them is gone.
  std::optional<call_terms> terms_of(const call_request& call) const;
  std::optional<call_request> parse(const runtime::inbound_request& request, const http_api::writer& out,
                                    const std::string& partner, const std::string& route) const;
  std::optional<call_plan> plan(const call_request& call, const call_terms& terms,
                                std::vector<interning::symbol> avoid, int attempt);
  // Between a plan and its carrying out this node may have slept, or a change may have come.
  bool is_still_valid(const call_plan& plan);
  // Sends the call and counts it in flight; what may still run there is counted until its engine has
  // reported.
  task<call_outcome> send(call_request call, call_plan plan);
  task<> serve_repeatable(call_request call);

  // Calls that run at most once.
  enum class step { answered, again, planned_anew };
  task<> serve_once(call_request call);
  task<step> try_once(call_request call, std::string record_key, int round,
                      std::shared_ptr<std::vector<interning::symbol>> avoid);
  task<step> run_begun(call_request call, std::string record_key, call_plan plan, call_terms terms,
                       ledger::call_record record);
  task<> reject_unbegun(call_request call, std::string record_key, std::string reason);
  task<> answer_from_record(ledger::call_record found, call_request call, std::string record_key);
  task<bool> store_answer(std::string record_key, ledger::call_record record, runtime::http_response response,
                          call_terms terms);
  // Asks the engine whether it has an outcome for the key; asking runs nothing.
  task<std::optional<runtime::http_response>> query_outcome(std::string engine, configuration::route route,
                                                            std::string key);

  std::shared_ptr<context> context_;
};

// The content type of a response; JSON if it names none.
std::string content_type_of(const runtime::http_response& response);

}  // namespace herontally::proxy
