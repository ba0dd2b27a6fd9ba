// The engines as the platform lists them and as they report themselves: who may get requests, and how many
// requests each has. Polls each listed engine's metrics page.
#pragma once
#include "interning/symbol_table.h"
#include "logging/logging.h"
#include "runtime/runtime.h"

namespace herontally::engine {

// One engine. Entries are never removed: an engine's number stays valid for the process's life.
struct engine_state {
  interning::symbol number = 0;
  std::string name, kind, partner, serves, address, zone, weights;
  bool listed = false;                // by the newest list
  bool draining_by_platform = false;  // as the list or the agent says
  bool draining_by_engine = false;    // as its own metrics say
  bool healthy = false;               // its last report came, and no request failed to reach it since
  double process_start_time = 0;      // seconds since 1970, from its metrics: tells its incarnations apart
  runtime::microseconds first_ready = 0, reported_at = 0;
  runtime::microseconds report_requested_at = -1;  // when the newest report that came was asked for
  std::int64_t queue = 0, running = 0;             // by its last report
  std::int64_t sent_since_report = 0;              // our requests that its last report may not include
  std::int64_t in_flight = 0;                      // our requests
  std::int64_t our_pulls_from = 0, our_pulls_into = 0;

  bool usable() const { return listed && healthy && !draining_by_platform && !draining_by_engine; }
};

// Copies share one state.
class engine_monitor {
 public:
  engine_monitor(runtime::handle runtime, logging::logger logger);
  // The platform's list, as JSON. An engine that it no longer names gets no requests from now on.
  void set_list(const std::string& text);
  // These drain, whatever the list said; until a list says otherwise.
  void set_draining(const std::vector<std::string>& names);
  // Begins to poll the engines, until the process stops.
  void start();
  std::vector<engine_state>& rows();
  engine_state& row(interning::symbol number);
  // Called when an engine restarted, changed its address or weights, drains or left the list: what it kept
  // is gone.
  void on_reset(std::function<void(const engine_state&)> handler);
  // Called when an engine may have capacity again or changed its state.
  void on_report(std::function<void()> handler);
  // A request failed to reach it: it gets no more until its next report.
  void failed(interning::symbol number);

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace herontally::engine
