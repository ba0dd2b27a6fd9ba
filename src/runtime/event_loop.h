// Implements the runtime over libevent: TCP, HTTP, signals and files of one data directory.
#pragma once
#include "runtime/resource_limits.h"
#include "runtime/runtime.h"

struct event_base;

namespace herontally::runtime {

// One per process. Runs all callbacks on the thread that calls `run`, and owns the process's signal handlers.
class event_loop {
 public:
  // Gets the signal's number.
  using signal_handler = std::function<void(int)>;

  // Creates the data directory if needed; an empty path means that this process stores nothing on disk.
  // The limits bound what peers can make the process keep.
  explicit event_loop(std::string data_directory, const resource_limits& limits = {});
  ~event_loop();
  event_loop(const event_loop&) = delete;
  handle runtime() const;
  // Runs the loop until `stop` is called; by default the termination signals call it.
  void run();
  void stop();
  // Sets the handler that the termination signals call instead of `stop`.
  void on_notice(signal_handler handler);
  // Sets the handler of SIGHUP, which is ignored otherwise.
  void on_reload(signal_handler handler);

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace herontally::runtime
