// Internal to the proxy: the state shared by its request handlers, its configuration follower and its
// platform ingress. The node owns the context; the others keep it alive while their tasks run.
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

// Timeout of one ledger operation.
constexpr microseconds ledger_timeout = 2500 * millisecond;

// Runs a release function once, when destroyed or overwritten; used to count requests in flight.
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

// Requests that wait for an engine with capacity, in order of arrival. Copies share one state.
class capacity_queue {
 public:
  explicit capacity_queue(runtime::handle runtime) : state_(std::make_shared<state>(std::move(runtime))) {}
  // Waits for the next notify_all(); false if the deadline comes first.
  task<bool> wait(microseconds deadline);
  // Wakes all waiters; those that find no capacity wait again.
  void notify_all();
  // The number of waiting requests.
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
  settings::settings node_settings;
  logging::logger logger;
  rpc::endpoint endpoint;
  consensus::proposer stores;  // client of the storage nodes that hold the ledgers
  ledger::conversation_ledger conversations;
  ledger::call_ledger calls;
  platform_options platform;
  engine::engine_monitor engines;
  prefix::index prefixes;  // which prompt blocks each engine is believed to hold
  config_distribution::change_trace trace;
  capacity_queue capacity;

  // The configuration in force; empty until the agent has sent one. Written by config_follower.
  std::optional<configuration::snapshot> config;
  // Every change acknowledged before this time is known here, by the agent's word. -1: nothing is certain
  // yet.
  microseconds config_fresh_at = -1;
  std::map<std::string, rpc::member> members;  // by name
  proxy_ranks ranks;

  std::int64_t incarnation = 0;  // wall-clock time of the process start: grows with each restart
  bool shutting_down = false;
  // Requests still waiting for an engine at this time are rejected, so that they get an answer before the
  // process exits.
  microseconds queue_deadline = std::numeric_limits<microseconds>::max();
  std::int64_t requests_in_flight = 0;
  std::map<std::string, std::int64_t> requests_by_client;
  double turn_seconds = 0.5;  // moving average of a turn's duration at its engine

  context(runtime::handle handle, settings::settings given, logging::logger given_logger,
          platform_options options);
  // Whether requests may be served: the configuration is recent enough that no acknowledged change older than
  // max_config_age is missing here.
  bool is_fresh() const;
  // Requires a configuration.
  planning_context make_planning_context(std::vector<interning::symbol> avoid, int attempt) const;
  // Throws std::out_of_range if the configuration has no such partner.
  const configuration::partner& partner(const std::string& name) const { return config->partners.at(name); }

  // Counts a rejection in herontally_rejections_total under this reason.
  void count_rejection(const std::string& reason) const;
  // The Retry-After value for a rejected client, in seconds: at least `min_seconds` (at most 30), plus a
  // random offset so that clients rejected at the same time don't all return at once.
  int retry_after(std::int64_t min_seconds) const;
  // Admits a request and counts it while the guard lives; nullopt if the node's or the client's limit is
  // reached, in which case the request has been rejected.
  std::optional<in_flight_guard> admit(const std::string& peer, const http_api::writer& out);
  // Keeps an abandoned attempt counted in flight until its engine sends a report requested after the
  // attempt's end, because the engine may still be working on it.
  task<> hold_until_reported(in_flight_guard guard, interning::symbol engine);

 private:
  // Whether this incarnation of a proxy is known to have ended: a newer one is listed, or it is listed as not
  // live.
  bool has_ended(const std::string& owner, std::int64_t proxy_incarnation) const;
};

}  // namespace herontally::proxy
