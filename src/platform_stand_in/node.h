// Stand-in for the platform: lists engines, late and coarsely, and looks whether nodes are ready.
#pragma once
#include "logging/logging.h"
#include "runtime/runtime.h"

namespace herontally::platform_stand_in {

struct options {
  std::string http;
  nlohmann::json engines = nlohmann::json::array();
  std::vector<std::string> nodes;  // HTTP addresses whose readiness is checked each second
  double late_milliseconds = 400;
};

class node {
 public:
  node(runtime::handle runtime, options choice, logging::logger logger);
  ~node();
  runtime::task<std::optional<std::string>> start();
  runtime::task<> leave();
  // Shown to those who ask only after the usual delay.
  void set_engines(nlohmann::json engines);
  const nlohmann::json& engines() const;
  // Silent: it answers nobody. What is set from now on is shown so late.
  void upset(bool silent, double late_milliseconds);

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace herontally::platform_stand_in
