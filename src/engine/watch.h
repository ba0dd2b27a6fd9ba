// The engines as the platform lists them and as they report themselves.
#pragma once
#include "interning/symbol_table.h"
#include "logging/logging.h"
#include "runtime/runtime.h"

namespace herontally::engine {

struct engine_row {
  interning::symbol number = 0;
  std::string name, kind, partner, serves, address, zone, weights;
  bool listed = false, leaving = false;    // by the platform
  bool answers = false, draining = false;  // by itself
  double born = 0;                         // its life, as its metrics page tells it
  runtime::microseconds first_ready = 0, reported_at = 0;
  runtime::microseconds report_asked = -1;  // when the newest report that came was asked for
  std::int64_t queue = 0, running = 0;
  std::int64_t sent_since_report = 0, ours = 0, our_pulls_from = 0, our_pulls_into = 0;
  std::uint64_t report_number = 0;
  bool usable() const { return listed && !leaving && answers && !draining; }
};

class watch {
 public:
  watch(runtime::handle runtime, logging::logger logger);
  // The platform's list. An engine that it no longer names is left at once.
  void list(const std::string& text);
  // Leaving, whatever the list says; until a list says otherwise.
  void leaving(const std::vector<std::string>& names);
  void start();
  std::vector<engine_row>& rows();
  engine_row& row(interning::symbol number);
  // Called when an engine began a new life, changed weights, drains or left.
  void on_reset(std::function<void(const engine_row&)> handler);
  // Called when an engine has room again or changed its state.
  void on_report(std::function<void()> handler);
  // A request of ours failed to reach it: it must answer a report before it gets the next one.
  void failed(interning::symbol number);

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace herontally::engine
