// The event_loop making of a runtime: libevent, TCP, evhttp and files under one data folder.
#pragma once
#include "runtime/runtime.h"

struct event_base;

namespace herontally::runtime {

class event_loop {
 public:
  // An empty folder means that this process keeps nothing on disk.
  explicit event_loop(std::string data_folder);
  ~event_loop();
  event_loop(const event_loop&) = delete;
  handle runtime() const;
  // Returns after `stop` or, when a notice handler is set, once that handler has called `stop`.
  void run();
  void stop();
  // SIGTERM and SIGINT call this once; without it they stop the loop.
  void on_notice(std::function<void()> handler);
  // SIGHUP calls this; without it SIGHUP does nothing.
  void on_reload(std::function<void()> handler);

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace herontally::runtime
