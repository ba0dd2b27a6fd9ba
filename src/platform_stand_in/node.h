// Stand-in for the platform, for tests and local fleets: serves the engine list over HTTP, shows changes of
// it with a delay, and checks the readiness of nodes. It starts and stops no engines.
#pragma once
#include "logging/logging.h"
#include "runtime/runtime.h"

namespace herontally::platform_stand_in {

// `http` is the address to listen on as ip:port, `engines` the initial list.
struct options {
  std::string http;
  nlohmann::json engines = nlohmann::json::array();
  std::vector<std::string> nodes;  // HTTP addresses whose readiness is checked each second
  double late_milliseconds = 400;  // delay until a change of the list is visible
};

// The platform's HTTP server.
class node {
 public:
  node(runtime::handle runtime, options config, logging::logger logger);
  ~node();
  // Begins to serve HTTP and to check the nodes. Returns an error text if the address can't be listened on.
  runtime::task<std::optional<std::string>> start();
  // Returns at once: the stand-in has nothing to finish.
  runtime::task<> leave();
  // Replaces the engine list. HTTP clients see the change after late_milliseconds.
  void set_engines(nlohmann::json engines);
  // The newest list, including changes that HTTP clients don't see yet.
  const nlohmann::json& engines() const;
  // Injects faults. While `silent`, every request's connection is cut without an answer; later changes of the
  // list become visible after `late_milliseconds`.
  void upset(bool silent, double late_milliseconds);

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace herontally::platform_stand_in
