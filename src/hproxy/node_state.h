// Internal to hproxy.
#pragma once
#include "config_distribution/change_trace.h"
#include "config_distribution/config_store.h"
#include "config_distribution/freshness.h"
#include "forward/door.h"
#include "gateway/http.h"
#include "gateway/plan.h"
#include "hproxy/node.h"
#include "ledger/book.h"

namespace herontally::hproxy {

using json = nlohmann::json;
using runtime::microseconds;
using runtime::millisecond;
using runtime::second;
using runtime::task;

// Counts a request in for as long as it lives.
class seat {
 public:
  seat() = default;
  explicit seat(std::function<void()> leave) : leave_(std::move(leave)) {}
  seat(seat&& other) noexcept : leave_(std::exchange(other.leave_, {})) {}
  seat& operator=(seat&& other) noexcept {
    if (leave_) leave_();
    leave_ = std::exchange(other.leave_, {});
    return *this;
  }
  ~seat() {
    if (leave_) leave_();
  }

 private:
  std::function<void()> leave_;
};

struct turn_request {
  std::string request_id, partner, program, turn, prompt, peer;
  std::int64_t most_tokens = 0;
  gateway::writer out;
};

struct call_request {
  std::string partner, route, key, request_id, body, content_type;
  microseconds deadline = 0;
  gateway::writer out;
};
// What the desired state says of a call's route.
struct call_terms {
  configuration::route route;
  configuration::application application;
};

// What one turn has given out so far, over all its attempts.
struct progress {
  std::int64_t pieces = 0;
  std::string text;
  std::vector<std::int64_t> tokens;
  bool started = false;  // the client has the head of the stream
  bool sent_on = false;  // an engine has heard of the turn
};

enum class attempt_end { complete, failed, client_gone, lease_over, too_slow };

struct node::state : std::enable_shared_from_this<node::state> {
  runtime::handle runtime;
  settings::settings place;
  logging::logger logger;
  rpc::endpoint endpoint;
  consensus::proposer stores;
  ledger::book book;
  adapted to;
  std::optional<forward::door> door;  // clients' requests by the routing table, where there is an adapter
  engine::watch engines;
  prefix::index held;
  std::optional<configuration::snapshot> desired;
  std::int64_t revision = 0, engines_epoch = 0, engines_sequence = 0;
  microseconds fresh_at = -1;
  std::int64_t incarnation = 0;
  bool leaving = false;
  std::string agent_name;
  std::vector<rpc::member> members;
  std::int64_t members_version = 0;
  std::int64_t proxies = 1, rank = -1, proxies_before = 0, rank_before = -1;
  std::int64_t requests = 0, waiting = 0;
  std::map<std::string, std::int64_t> by_peer;
  std::vector<runtime::slot<bool>> room;  // requests that wait for an engine, first come first
  double turn_seconds = 0.5;              // moving average of a turn's time at its engine
  std::vector<rpc::trace_event> trace;
  std::map<std::string, ledger::turn_content> contents;  // immutable, so a copy is as good

  state(runtime::handle handle, settings::settings given, logging::logger lines, adapted spoken);
  bool fresh() const;
  // The addresses that the adapter's settings name; what stands in the way, if anything.
  std::optional<std::string> open_door();
  task<> close_door();
  void tell_door(const rpc::config_update_reply& reply, bool changed);
  bool is_gone(const std::string& owner, std::int64_t life) const;
  void take_news(const rpc::config_update_reply& reply, microseconds asked);
  void take_members(const std::string& text, std::int64_t version);
  void count_doors();
  void refused(const std::string& reason);
  // When to come back, in seconds: spread, so that a crowd that was dropped at once doesn't return as one.
  int retry_after_seconds(std::int64_t least) const;
  task<> feed();
  task<> serve_request(runtime::inbound_request request, gateway::writer out);
  std::optional<seat> take_seat(const std::string& peer, const gateway::writer& out);
  gateway::planning_context context(std::vector<interning::symbol> avoid, int attempt) const;

  // Turns.
  task<> turn(runtime::inbound_request request, gateway::writer out, std::string partner,
              std::string program);
  task<> run_turn(turn_request incoming);
  task<std::optional<std::vector<ledger::turn_content>>> chain_of(ledger::head now, microseconds deadline);
  void keep_content(const std::string& digest, const ledger::turn_content& content);
  void give_again(const turn_request& incoming, const ledger::turn_content& content);
  task<> replay(turn_request incoming, ledger::ending before, microseconds deadline);
  task<attempt_end> carry_out(gateway::turn_plan plan, turn_request incoming, std::shared_ptr<progress> done);
  void learn_from(const gateway::turn_plan& plan, const engine::summary& last,
                  const std::vector<std::int64_t>& output);
  void send_piece(const turn_request& incoming, progress& done, const engine::piece& next);
  void send_end(const turn_request& incoming, progress& done, const std::string& how, json fields);
  bool could_serve(const std::string& kind, const std::string& partner, const std::string& serves) const;
  std::int64_t expected_wait_seconds(const std::string& kind, const std::string& partner,
                                     const std::string& serves) const;
  task<bool> wait_for_room(microseconds deadline);
  void wake_room();
  // What was given up still counts at its engine until a report from after that has come.
  task<> linger(seat taken, interning::symbol engine);

  // Calls.
  task<> call(runtime::inbound_request request, gateway::writer out, std::string partner, std::string route);
  std::optional<call_terms> terms_of(const call_request& incoming) const;
  std::optional<gateway::call_plan> plan_attempt(const call_request& incoming, const call_terms& terms,
                                                 std::vector<interning::symbol> avoid, int attempt);
  bool still_good(const gateway::call_plan& plan);
  seat occupy(interning::symbol number);
  task<> not_begun(call_request incoming, std::string record, std::string why);
  task<> effectful_call(call_request incoming, std::string record);
  task<> plain_call(call_request incoming);
  task<std::optional<runtime::http_response>> ask_outcome(std::string engine, configuration::route route,
                                                          std::string key);
  task<> answer_found(ledger::call_record found, call_request incoming, std::string record);
  task<> look(gateway::writer out, std::string partner, std::string program);
};

}  // namespace herontally::hproxy
