// Internal to the proxy: what its parts share. The node owns it; parts keep it alive while their tasks run.
#pragma once
#include <limits>

#include "config_distribution/change_trace.h"
#include "config_distribution/config_store.h"
#include "config_distribution/freshness.h"
#include "configuration/snapshot.h"
#include "http_api/responses.h"
#include "ledger/call_ledger.h"
#include "ledger/conversation_ledger.h"
#include "proxy/attempt_plan.h"
#include "proxy/node.h"

namespace herontally::proxy {

using json = nlohmann::json;
using http_api::executed;
using runtime::microseconds;
using runtime::millisecond;
using runtime::second;
using runtime::task;

// How long the ledger may take for one of its operations.
constexpr microseconds ledger_timeout = 2500 * millisecond;

// Counts something in flight for as long as it lives.
class in_flight_guard {
 public:
  in_flight_guard() = default;
  explicit in_flight_guard(std::function<void()> release) : release_(std::move(release)) {}
  in_flight_guard(in_flight_guard&& other) noexcept : release_(std::exchange(other.release_, {})) {}
  in_flight_guard& operator=(in_flight_guard&& other) noexcept {
    if (release_) release_();
    release_ = std::exchange(other.release_, {});
    return *this;
  }
  ~in_flight_guard() {
    if (release_) release_();
  }

 private:
  std::function<void()> release_;
};

// Requests that wait for an engine to have capacity, first come first.
class capacity_queue {
 public:
  explicit capacity_queue(runtime::handle runtime) : state_(std::make_shared<state>(std::move(runtime))) {}
  // False if the deadline comes first.
  task<bool> wait(microseconds deadline);
  // Wakes all; who finds no capacity waits again.
  void notify_all();
  std::int64_t size() const { return state_->waiting; }

 private:
  struct state {
    runtime::handle runtime;
    std::int64_t waiting = 0;
    std::vector<runtime::slot<bool>> waiters;
    explicit state(runtime::handle handle) : runtime(std::move(handle)) {}
  };
  std::shared_ptr<state> state_;
};

struct context : std::enable_shared_from_this<context> {
  runtime::handle runtime;
  settings::settings place;
  logging::logger logger;
  rpc::endpoint endpoint;
  consensus::proposer stores;
  ledger::conversation_ledger conversations;
  ledger::call_ledger calls;
  platform_options platform;
  engine::engine_monitor engines;
  prefix::index prefixes;  // which engine is believed to hold which blocks of prompts
  config_distribution::change_trace trace;
  capacity_queue capacity;

  // The configuration in force and how fresh it is, as the agent tells; kept by config_follower.
  std::optional<configuration::snapshot> config;
  microseconds fresh_at = -1;
  std::map<std::string, rpc::member> members;  // by name
  proxy_ranks ranks;

  std::int64_t incarnation = 0;
  bool leaving = false;
  // When this process ends: whoever still waits for an engine is answered before.
  microseconds ends_at = std::numeric_limits<microseconds>::max();
  std::int64_t requests_in_flight = 0;
  std::map<std::string, std::int64_t> requests_by_client;
  double turn_seconds = 0.5;  // moving average of a turn's time at its engine

  context(runtime::handle handle, settings::settings given, logging::logger given_logger,
          platform_options options);
  // Whether requests may be served: no acknowledged change can have passed this node by.
  bool is_fresh() const;
  planning_context planning(std::vector<interning::symbol> avoid, int attempt) const;
  const configuration::partner& partner(const std::string& name) const { return config->partners.at(name); }

  // Counts a rejection by its reason.
  void count_rejection(const std::string& reason) const;
  // When a rejected client may come back, in seconds: spread, so that a crowd that was rejected at once
  // doesn't return as one.
  int retry_after(std::int64_t least) const;
  // Counts a request in; nothing if a limit is reached, and then the request was rejected.
  std::optional<in_flight_guard> admit(const std::string& peer, const http_api::writer& out);
  // Holds an attempt's place at its engine until a report from after its end has come: what was given up
  // still counts there.
  task<> linger(in_flight_guard taken, interning::symbol engine);

 private:
  bool has_ended(const std::string& owner, std::int64_t proxy_incarnation) const;
};

}  // namespace herontally::proxy
