// Tracks the engines from the platform's list and from their own metrics: which may get requests, and how
// loaded each one is. Polls the metrics page of every listed engine. Does not choose engines; placement does.
#pragma once
#include "interning/symbol_table.h"
#include "logging/logging.h"
#include "runtime/runtime.h"

namespace herontally::engine {

// One engine. Rows are never removed, so an engine's number stays valid until the process ends. `serves`
// names the model or the application, depending on `kind` ("model" or "application").
struct engine_state {
  interning::symbol number = 0;
  std::string name, kind, partner, serves, address, zone, weights;
  bool listed = false;                // in the latest list
  bool draining_by_platform = false;  // by the list or the agent
  bool draining_by_engine = false;    // by its own metrics
  bool healthy = false;               // its latest report came, and no request failed to reach it since
  double process_start_time = 0;      // seconds since 1970, from its metrics; changes with a restart
  // When the current process became ready, and when the latest report came.
  runtime::microseconds first_ready = 0, reported_at = 0;
  runtime::microseconds report_requested_at = -1;  // when the latest successful report was requested
  std::int64_t queue = 0, running = 0;             // waiting and running requests, by its latest report
  std::int64_t sent_since_report = 0;              // our requests that its latest report may not include
  std::int64_t in_flight = 0;                      // our requests; maintained by the callers
  // KV cache pulls in progress that we requested, with this engine as source or destination; maintained by
  // the callers.
  std::int64_t pulls_as_source = 0, pulls_as_destination = 0;

  bool is_usable() const { return listed && healthy && !draining_by_platform && !draining_by_engine; }
};

// Copies share one state, which lives as long as a copy or a polling task.
class engine_monitor {
 public:
  engine_monitor(runtime::handle runtime, logging::logger logger);
  // Applies the platform's list, a JSON array. An engine missing from it gets no more requests. An entry that
  // can't be read is skipped with a warning; a text that is not an array is ignored.
  void set_list(const std::string& text);
  // Marks these engines as draining, regardless of the list, until a later list says otherwise.
  void set_draining(const std::vector<std::string>& names);
  // Starts polling the engines; polling continues until the process stops.
  void start();
  std::vector<engine_state>& rows();
  engine_state& row(interning::symbol number);
  // Sets the handler called when an engine restarted, changed its address or weights, started draining or
  // left the list: its cache can no longer be relied upon.
  void on_reset(std::function<void(const engine_state&)> handler);
  // Sets the handler called after each list and each poll: an engine may have capacity again or may have
  // changed its state.
  void on_report(std::function<void()> handler);
  // A request failed to reach the engine: it gets no more until its next successful report.
  void mark_unreachable(interning::symbol number);

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace herontally::engine
